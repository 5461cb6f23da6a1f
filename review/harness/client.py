"""Send requests as clients do."""

import asyncio
import itertools
import time
from contextlib import closing
from dataclasses import dataclass

from harness.entries import EntryProcess
from harness.http_wire import (
    IncompleteMessageError,
    Message,
    encode_message,
    read_message,
)
from harness.record import Record

HOST = 'a.example'
API_KEY = 'key-of-team-a'
MS_PER_S = 1000
# How long the record waits past a client's deadline.
MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Request:
    """Hold what a client asks for."""

    method: str
    path: str
    deadline_ms: int
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold how an attempt ended; `status` is 0 if there was no complete answer."""

    attempt_id: str
    path: str
    status: int
    sent_s: float
    ended_s: float

    @property
    def took_s(self) -> float:
        """Return the time from the sending to the end."""
        return self.ended_s - self.sent_s


class Connection:
    """Carry the requests of a client to one entry, one at a time."""

    def __init__(self, entry: EntryProcess) -> None:
        self.entry = entry
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def exchange(self, message: bytes) -> Message:
        """Send a request and return its answer; connects first if needed.

        Raises `IncompleteMessageError` or `OSError`.
        """
        if self._writer is None:
            address = (self.entry.ip, self.entry.ports.front)
            reader, writer = await asyncio.open_connection(*address)
            self._reader = reader
            self._writer = writer
        self._writer.write(message)
        await self._writer.drain()
        return await read_message(self._reader)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Client:
    """Send requests and record how they end."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = itertools.count(1)

    async def send(self, entry: EntryProcess, request: Request) -> Answer:
        """Send a request on a new connection to an entry; return how it ended."""
        with closing(Connection(entry)) as connection:
            return await self.send_on(connection, request)

    async def send_on(self, connection: Connection, request: Request) -> Answer:
        """Send a request on a connection, which is kept if the answer is whole."""
        attempt_id = f'{next(self._numbers):016x}'
        name = f'{attempt_id} {request.method} {request.path}'
        self._record.write(f'client sends {name} to {connection.entry.name}')
        sent_s = time.monotonic()
        answer, failure = await _try_exchange(connection, attempt_id, request)
        ended_s = time.monotonic()
        if answer is None or answer.header_by_name.get('connection') == 'close':
            connection.close()
        if answer is None:
            self._record.write(f'client ends {name}, {failure}')
            return Answer(attempt_id, request.path, 0, sent_s, ended_s)
        self._record.write(f'client ends {name}, status {answer.status}')
        return Answer(attempt_id, request.path, answer.status, sent_s, ended_s)


async def _try_exchange(
    connection: Connection, attempt_id: str, request: Request
) -> tuple[Message | None, str]:
    """Return the answer, or None and why there is none."""
    headers = {
        'Host': HOST,
        'Marjoramfall-Attempt-Id': attempt_id,
        'Marjoramfall-Deadline-Ms': str(request.deadline_ms),
        'Authorization': f'Bearer {API_KEY}',
    }
    start_line = f'{request.method} {request.path} HTTP/1.1'
    message = encode_message(start_line, headers, request.body)
    try:
        async with asyncio.timeout(request.deadline_ms / MS_PER_S + MARGIN_S):
            return await connection.exchange(message), ''
    except TimeoutError:
        return None, 'no answer by the deadline'
    except (IncompleteMessageError, OSError) as error:
        return None, f'the connection ended without a complete answer: {error}'
