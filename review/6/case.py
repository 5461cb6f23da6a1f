"""Answer a request before its long body was read, and read on later."""

import asyncio
import socket
import sys
from functools import partial
from pathlib import Path

from review.harness2.client import Client, encode_request, new_id
from review.harness2.deployment import (
    Deployment,
    deploying,
    is_troubled,
    make_config,
    repeat,
    run_case,
)
from review.harness2.http_wire import Head, encode, read_head
from review.harness2.record import Record

SERVER_PORT = 8300
# Within `maxBodyBytes` of the configuration.
BODY_BYTES = 4_000_000
# What the entry has not passed on by then waits in it, as the engine's buffers are
# full.
ANSWER_DELAY_S = 0.8
# The engine reads on so long after its answer.
READ_ON_DELAY_S = 1.5
UPLOAD_DEADLINE_MS = 8000
BOOKING_DEADLINE_MS = 3000
ROUNDS = 3
FILLER = b'a'
WINDOW_BYTES = 4096
SHOWN_BYTES = 160
# The entry learns from these how fast the engine answers.
QUICK_BOOKINGS = 20


class EarlyEngine:
    """Answer uploads before or after their bodies are read, and bookings at once."""

    def __init__(self, record: Record, *, is_early: bool) -> None:
        self._record = record
        self._is_early = is_early
        self.foreign_bodies = 0
        self.booked_ids: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a kept connection, one request at a time."""
        port = writer.get_extra_info('peername')[1]
        self._record.add(f'engine: connection {port} is open')
        try:
            head = await read_head(reader)
            while head is not None:
                await self._serve_one(reader, writer, head, port)
                head = await read_head(reader)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self._record.add(f'engine: connection {port} ends: {error!r}')
        finally:
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
        port: int,
    ) -> None:
        attempt_id = head.headers.get('marjoramfall-attempt-id', '')
        self._record.add(f'engine: {head.first_line} {attempt_id} on {port}')
        if not head.target.startswith('/uploads/'):
            await reader.readexactly(head.length)
            self.booked_ids.append(attempt_id)
            writer.write(_encode_answer(attempt_id))
            return
        if self._is_early:
            await asyncio.sleep(ANSWER_DELAY_S)
            writer.write(_encode_answer(attempt_id))
            self._record.add(f'engine: answers {attempt_id} before its body is read')
            await asyncio.sleep(READ_ON_DELAY_S)
        try:
            body = await reader.readexactly(head.length)
        except asyncio.IncompleteReadError as error:
            self._check_body(error.partial, attempt_id)
            raise
        self._check_body(body, attempt_id)
        if not self._is_early:
            await asyncio.sleep(ANSWER_DELAY_S)
            writer.write(_encode_answer(attempt_id))

    def _check_body(self, body: bytes, attempt_id: str) -> None:
        foreign = body.lstrip(FILLER)
        if foreign:
            self.foreign_bodies += 1
            self._record.add(
                f'engine: where the rest of the body of {attempt_id} is due, it gets '
                f'{len(foreign)} other bytes: {foreign[:SHOWN_BYTES]!r}'
            )
        else:
            self._record.add(
                f'engine: has read {len(body)} bytes of the body of {attempt_id}'
            )


def _encode_answer(attempt_id: str) -> bytes:
    return encode(
        'HTTP/1.1 200 OK',
        {
            'Marjoramfall-Attempt-Id': attempt_id,
            'Marjoramfall-Response-Seal': f'seal.{attempt_id}',
        },
        b'done',
    )


async def play(record: Record) -> bool:
    """Return whether the engine got other bytes in place of a body."""
    async with deploying(record, entry_count=1) as deployment:
        engine = EarlyEngine(record, is_early=is_troubled())
        server = await asyncio.start_server(
            engine.serve, sock=_listen(deployment.server_host)
        )
        _configure(deployment)
        await deployment.start_entries()
        await repeat(ROUNDS, partial(_play_round, record, deployment))
        server.close()
        return bool(engine.foreign_bodies)


def _listen(host: str) -> socket.socket:
    """Listen with small windows, as those of the links are."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    listener.bind((host, SERVER_PORT))
    return listener


def _configure(deployment: Deployment) -> None:
    route = {
        'timeoutMs': 10000,
        'targetLatencyMs': 3000,
        'priority': 0,
        'service': 'app',
        'maxAttempts': 2,
    }
    deployment.store.put(
        'op',
        'config',
        make_config(
            [
                {**route, 'name': 'u', 'prefix': '/uploads/', 'kind': 'idempotent'},
                {**route, 'name': 'b', 'prefix': '/books/', 'kind': 'non_idempotent'},
            ],
            [{'name': 'app', 'healthPath': '/healthz', 'maxConns': 110}],
        ),
    )
    deployment.register('i-1', 'app', SERVER_PORT)


async def _play_round(record: Record, deployment: Deployment) -> None:
    client = await Client.connect(deployment.entries[0].host)
    ask = partial(_ask, record, client)
    book = partial(ask, 'POST', '/books/1', b'{"seats": 1}', BOOKING_DEADLINE_MS)
    await repeat(QUICK_BOOKINGS, book)
    await ask('PUT', '/uploads/1', FILLER * BODY_BYTES, UPLOAD_DEADLINE_MS)
    await book()
    client.close()
    # The engine has read on by then.
    await asyncio.sleep(READ_ON_DELAY_S)


async def _ask(
    record: Record, client: Client, method: str, target: str, body: bytes, left_ms: int
) -> None:
    attempt_id = new_id()
    record.add(f'client: sends {method} {target} {attempt_id}, {len(body)} bytes')
    message = encode_request(
        method, target, body, attempt_id=attempt_id, deadline_ms=left_ms
    )
    await client.send(message)
    answer = await client.receive()
    record.add(f'client: {attempt_id} is answered {answer.status}')


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play))
