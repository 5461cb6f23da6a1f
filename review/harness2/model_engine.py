"""Stand in for a sound model engine whose streams may be resumed."""

import asyncio
from contextlib import ExitStack, closing
from dataclasses import dataclass

from review.harness2.http_wire import Head, encode, read_body, read_head

LAST_CHUNK = b'0\r\n\r\n'


@dataclass
class Work:
    """Hold when an engine has worked on a request, from and until which event."""

    server_id: str
    attempt_id: str
    first_event: int
    last_event: int
    begun_s: float
    ended_s: float | None = None

    def end(self) -> None:
        """Note the end of the work."""
        self.ended_s = asyncio.get_running_loop().time()


class ModelEngine:
    """Answer each request with a stream of events, several at the same time.

    Most engines drop a request when its connection closes; this one may go on.
    """

    def __init__(
        self, server_id: str, *, event_s: float, events: int, drops_closed: bool
    ) -> None:
        self.server_id = server_id
        self._event_s = event_s
        self._events = events
        self._drops_closed = drops_closed
        self.works: list[Work] = []

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer):
            try:
                await self._serve_requests(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                # The entry has closed the connection.
                return

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await read_head(reader)
        while head is not None:
            await read_body(reader, head)
            await self._answer(head, reader, writer)
            head = await read_head(reader)

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if head.headers.get('marjoramfall-expect-instance') != self.server_id:
            headers = {'Marjoramfall-Instance-Id': self.server_id}
            writer.write(encode('HTTP/1.1 421 Misdirected Request', headers))
            return
        loop = asyncio.get_running_loop()
        first = 1 + int(head.headers.get('last-event-id', '0'))
        work = Work(
            self.server_id,
            head.headers['marjoramfall-attempt-id'],
            first_event=first,
            last_event=first - 1,
            begun_s=loop.time(),
        )
        self.works.append(work)
        with ExitStack() as stack:
            stack.callback(work.end)
            await self._stream(work, reader, writer)

    async def _stream(
        self, work: Work, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (
            'HTTP/1.1 200 OK\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n'
            f'Marjoramfall-Attempt-Id: {work.attempt_id}\r\n'
            f'Marjoramfall-Response-Seal: seal.{work.attempt_id}\r\n\r\n'
        )
        writer.write(head.encode())
        while work.last_event < self._events:
            await asyncio.sleep(self._event_s)
            is_closed = reader.at_eof() or writer.is_closing()
            if is_closed and self._drops_closed:
                return
            work.last_event += 1
            if not is_closed:
                writer.write(_encode_event(work))
        if not writer.is_closing():
            writer.write(LAST_CHUNK)


def _encode_event(work: Work) -> bytes:
    event = f'id: {work.last_event}\ndata: {work.attempt_id}\n\n'.encode()
    return b'%x\r\n%b\r\n' % (len(event), event)
