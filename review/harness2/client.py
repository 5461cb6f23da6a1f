"""Send requests as clients do."""

import asyncio
import secrets
from dataclasses import dataclass

from review.harness2.deployment import API_KEY, HOST
from review.harness2.entries import FRONT_PORT
from review.harness2.http_wire import Head, encode, read_body, read_head


@dataclass
class Answer:
    """Hold an answer; without a head if the connection ended before one came."""

    head: Head | None
    body: bytes = b''
    is_whole: bool = False

    @property
    def status(self) -> int:
        """Return the status, 0 without an answer."""
        return 0 if self.head is None else self.head.status


def new_id() -> str:
    """Return the id of a new attempt."""
    return secrets.token_hex(8)


def encode_request(
    method: str,
    target: str,
    body: bytes,
    *,
    attempt_id: str,
    deadline_ms: int,
    more_headers: dict[str, str] | None = None,
) -> bytes:
    """Encode a request of a client."""
    headers = {
        'Host': HOST,
        'Marjoramfall-Attempt-Id': attempt_id,
        'Marjoramfall-Deadline-Ms': deadline_ms,
        'Authorization': f'Bearer {API_KEY}',
        **(more_headers or {}),
    }
    return encode(f'{method} {target} HTTP/1.1', headers, body)


class Client:
    """Keep one connection to an entry."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host: str) -> 'Client':
        """Connect to an entry."""
        return cls(*await asyncio.open_connection(host, FRONT_PORT))

    async def send(self, message: bytes) -> None:
        """Send bytes."""
        self.writer.write(message)
        await self.writer.drain()

    async def receive(self) -> Answer:
        """Return the next answer."""
        head = await read_head(self.reader)
        if head is None:
            return Answer(None)
        try:
            return Answer(head, await read_body(self.reader, head), is_whole=True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(head)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
