"""Send requests as clients do."""

import asyncio
import itertools
import time
from contextlib import closing
from dataclasses import dataclass

from harness.entries import EntryProcess
from harness.http_wire import IncompleteMessageError, encode_message, read_message
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
    body: bytes = b''
    failure: str = ''

    @property
    def took_s(self) -> float:
        """Return the time from the sending to the end."""
        return self.ended_s - self.sent_s


class Client:
    """Send each request on a new connection and record how it ends."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = itertools.count(1)

    async def send(self, entry: EntryProcess, request: Request) -> Answer:
        """Send a request to an entry and return how it ended."""
        attempt_id = f'{next(self._numbers):016x}'
        name = f'{attempt_id} {request.method} {request.path}'
        self._record.write(f'client sends {name} to {entry.name}')
        sent_s = time.monotonic()
        status, body, failure = 0, b'', ''
        try:
            async with asyncio.timeout(request.deadline_ms / MS_PER_S + MARGIN_S):
                status, body = await _exchange(entry, attempt_id, request)
        except TimeoutError:
            failure = 'no answer by the deadline'
        except (IncompleteMessageError, OSError) as error:
            failure = f'connection ended without a complete answer: {error}'
        ended_s = time.monotonic()
        outcome = failure or f'status {status}, {len(body)} bytes'
        self._record.write(f'client ends {name}, {outcome}')
        return Answer(attempt_id, request.path, status, sent_s, ended_s, body, failure)


async def _exchange(
    entry: EntryProcess, attempt_id: str, request: Request
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(entry.ip, entry.ports.front)
    headers = {
        'Host': HOST,
        'Marjoramfall-Attempt-Id': attempt_id,
        'Marjoramfall-Deadline-Ms': str(request.deadline_ms),
        'Authorization': f'Bearer {API_KEY}',
    }
    start_line = f'{request.method} {request.path} HTTP/1.1'
    with closing(writer):
        writer.write(encode_message(start_line, headers, request.body))
        answer = await read_message(reader)
    return answer.status, answer.body
