"""Stand in for a sound model engine that may crash and start again."""

import asyncio
import time
from collections import Counter
from contextlib import closing, contextmanager

from review.harness2.http_wire import Head, encode, read_body, read_head

MS_PER_S = 1000
LAST_CHUNK = b'0\r\n\r\n'


class ModelEngine:
    """Answer each request with a stream of events, several at the same time."""

    def __init__(
        self, server_id: str, *, prefill_s: float, event_s: float, events: int
    ) -> None:
        self.server_id = server_id
        self._prefill_s = prefill_s
        self._event_s = event_s
        self._events = events
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.born_ms = 0
        self.running = 0
        self.runs_by_id: Counter[str] = Counter()

    async def start(self, host: str, port: int) -> None:
        """Start, as a new incarnation under the same id."""
        self.born_ms = int(time.time() * MS_PER_S)
        self._server = await asyncio.start_server(self._serve, host, port)

    def crash(self) -> None:
        """Refuse connections, and reset those that are open."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with closing(writer):
            try:
                await self._serve_requests(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                # The entry has closed the connection, or this engine has crashed.
                return
            finally:
                self._writers.discard(writer)

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await read_head(reader)
        while head is not None:
            await read_body(reader, head)
            await self._answer(head, writer)
            head = await read_head(reader)

    async def _answer(self, head: Head, writer: asyncio.StreamWriter) -> None:
        if head.headers.get('marjoramfall-expect-instance') != self.server_id:
            headers = {'Marjoramfall-Instance-Id': self.server_id}
            writer.write(encode('HTTP/1.1 421 Misdirected Request', headers))
            return
        with self._counting():
            await self._stream(head.headers['marjoramfall-attempt-id'], writer)

    @contextmanager
    def _counting(self):
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    async def _stream(self, attempt_id: str, writer: asyncio.StreamWriter) -> None:
        self.runs_by_id[attempt_id] += 1
        await asyncio.sleep(self._prefill_s)
        head = (
            'HTTP/1.1 200 OK\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n'
            f'Marjoramfall-Attempt-Id: {attempt_id}\r\n'
            f'Marjoramfall-Response-Seal: seal.{attempt_id}\r\n\r\n'
        )
        writer.write(head.encode())
        number = 0
        while number < self._events:
            number += 1
            event = f'id: {number}\ndata: {attempt_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._event_s)
        writer.write(LAST_CHUNK)
        await writer.drain()
