"""Stand in for a sound engine of a plain service."""

import asyncio
from collections import Counter
from contextlib import closing

from review.harness2.http_wire import Head, encode, read_body, read_head

REGISTERED_FIELDS = ('Marjoramfall-Attempt-Id', 'Marjoramfall-Response-Seal')


def encode_answer(attempt_id: str, body: bytes = b'done') -> bytes:
    """Encode a success with the id that the request named, and a seal."""
    seal = f'seal.{attempt_id}'
    headers = dict(zip(REGISTERED_FIELDS, (attempt_id, seal), strict=True))
    return encode('HTTP/1.1 200 OK', headers, body)


class PlainEngine:
    """Answer each request after a time, one at a time on a connection."""

    def __init__(self, server_id: str, work_s: float = 0.0) -> None:
        self._server_id = server_id
        self._work_s = work_s
        self.runs_by_id: Counter[str] = Counter()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._serve, host, port)

    async def answer(self, head: Head, body: bytes) -> bytes:
        """Run one request and return the encoded answer."""
        attempt_id = head.headers.get('marjoramfall-attempt-id', '')
        if head.headers.get('marjoramfall-expect-instance') != self._server_id:
            headers = {'Marjoramfall-Instance-Id': self._server_id}
            return encode('HTTP/1.1 421 Misdirected Request', headers)
        self.runs_by_id[attempt_id] += 1
        if self._work_s:
            await asyncio.sleep(self._work_s)
        return encode_answer(attempt_id)

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
            body = await read_body(reader, head)
            writer.write(await self.answer(head, body))
            await writer.drain()
            head = await read_head(reader)
