"""Stand in for backend servers: a plain service and a model engine that streams."""

import asyncio
import math
import time
from abc import ABC, abstractmethod
from contextlib import ExitStack, closing, suppress
from dataclasses import dataclass

from harness.http_wire import (
    LAST_CHUNK,
    IncompleteMessageError,
    Message,
    encode_chunk,
    encode_head,
    encode_message,
    read_message,
)
from harness.record import Record

ATTEMPT_ID = 'marjoramfall-attempt-id'
EXPECTED_ID = 'marjoramfall-expect-instance'
OK_LINE = 'HTTP/1.1 200 OK'
MISDIRECTED_LINE = 'HTTP/1.1 421 Misdirected Request'
ANSWER_BODY = b'done' * 200
EVENT_TEXT = b'x' * 45


@dataclass(frozen=True, slots=True)
class Exchange:
    """Hold a request and the connection on which it is answered."""

    request: Message
    writer: asyncio.StreamWriter

    @property
    def attempt_id(self) -> str:
        """Return the id of the client's attempt."""
        return self.request.header_by_name.get(ATTEMPT_ID, '')

    async def send(self, part: bytes) -> None:
        """Send bytes and wait until the connection takes more."""
        self.writer.write(part)
        await self.writer.drain()

    def answer_headers(self) -> dict[str, str]:
        """Return the headers of an engine's answer."""
        return {
            'Marjoramfall-Attempt-Id': self.attempt_id,
            'Marjoramfall-Response-Seal': f'seal-{self.attempt_id}',
        }


@dataclass(slots=True)
class Run:
    """Hold when an engine began to work on an attempt, and when it ended."""

    attempt_id: str
    engine_id: str
    begun_s: float
    ended_s: float = math.inf


class Engine(ABC):
    """Run requests and record each run."""

    service = ''
    slots = 1

    def __init__(self, engine_id: str, record: Record) -> None:
        self.engine_id = engine_id
        self._record = record
        self._address = ''
        self.runs: list[Run] = []

    @property
    def run_ids(self) -> set[str]:
        """Return the attempts that this engine has run."""
        return {run.attempt_id for run in self.runs}

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self._address = f'{host}:{port}'

    def registration(self) -> dict[str, object]:
        """Return what the engine writes about itself to the store."""
        return {
            'service': self.service,
            'address': self._address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': 1,
            'born': 1,
        }

    @abstractmethod
    async def run(self, exchange: Exchange) -> None:
        """Run a request and answer it."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer), suppress(IncompleteMessageError, OSError):
            while True:
                exchange = Exchange(await read_message(reader), writer)
                await self._accept(exchange)

    async def _accept(self, exchange: Exchange) -> None:
        expected_id = exchange.request.header_by_name.get(EXPECTED_ID)
        if expected_id not in {None, self.engine_id}:
            await exchange.send(encode_message(MISDIRECTED_LINE, {}))
            return
        run = Run(exchange.attempt_id, self.engine_id, time.monotonic())
        self.runs.append(run)
        self._record.write(f'run of {run.attempt_id} at {run.engine_id} begins')
        with ExitStack() as stack:
            stack.callback(self._end, run)
            await self.run(exchange)

    def _end(self, run: Run) -> None:
        run.ended_s = time.monotonic()
        self._record.write(f'run of {run.attempt_id} at {run.engine_id} ends')


class PlainEngine(Engine):
    """Answer each request after a fixed time."""

    service = 'app'
    slots = 6
    work_s = 0.03

    async def run(self, exchange: Exchange) -> None:
        """Answer after `work_s`."""
        await asyncio.sleep(self.work_s)
        headers = exchange.answer_headers()
        await exchange.send(encode_message(OK_LINE, headers, ANSWER_BODY))


class ModelEngine(Engine):
    """Answer each request by a stream of events, from the requested one on."""

    service = 'llm'
    slots = 5
    event_count = 50
    event_interval_s = 0.1

    async def run(self, exchange: Exchange) -> None:
        """Send a whole stream."""
        await self.begin_stream(exchange)
        last_id = int(exchange.request.header_by_name.get('last-event-id', '0'))
        while last_id < self.event_count:
            last_id += 1
            await self.pause()
            await self.send_event(exchange, last_id)
        await exchange.send(LAST_CHUNK)

    async def pause(self) -> None:
        """Wait until the next event is due."""
        await asyncio.sleep(self.event_interval_s)

    async def begin_stream(self, exchange: Exchange) -> None:
        """Send the head of a stream."""
        headers = {
            **exchange.answer_headers(),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        await exchange.send(encode_head(OK_LINE, headers))

    async def send_event(self, exchange: Exchange, event_id: int) -> None:
        """Send one event of a stream."""
        event = b'id: %d\ndata: %b\n\n' % (event_id, EVENT_TEXT)
        await exchange.send(encode_chunk(event))


class PausingEngine(ModelEngine):
    """Stream soundly, but for a time in which nothing is sent."""

    def __init__(self, engine_id: str, record: Record) -> None:
        super().__init__(engine_id, record)
        self._silent_until_s = 0.0

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a time, then go on."""
        self._silent_until_s = time.monotonic() + duration_s
        self._record.write(f'{self.engine_id} falls silent for {duration_s} s')

    async def pause(self) -> None:
        """Wait until the next event is due and the engine is not silent."""
        await super().pause()
        await self._wait()

    async def begin_stream(self, exchange: Exchange) -> None:
        """Send the head of a stream once the engine is not silent."""
        await self._wait()
        await super().begin_stream(exchange)

    async def _wait(self) -> None:
        await asyncio.sleep(max(0, self._silent_until_s - time.monotonic()))
