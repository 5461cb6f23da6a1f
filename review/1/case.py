"""An engine sends line feeds without end as the body of one stream."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

from harness.client import Answer, Request
from harness.deployment import Case, run_case
from harness.engine import Engine, Exchange, ModelEngine, PlainEngine
from harness.http_wire import encode_chunk

# The one request that is answered by bytes without end.
BAD_PATH = '/plan/bad'
JUNK = b'\n' * 4096
# A thirtieth of the link of a machine of the deployment.
JUNK_BYTES_PER_S = 4_000_000
STREAM_DEADLINE_MS = 12_000
# Bookings have a `timeoutMs` of 1,000; these clients would wait longer.
BOOKING_DEADLINE_MS = 3000
TIMEOUT_S = 1.0
# By the rule, a final answer has to come this long after `timeoutMs`.
SLACK_S = 0.5
MIN_MISSED = 8
MAX_MISSED_SHARE = 0.25
BOOKING_COUNT = 300
BOOKING_INTERVAL_S = 0.04


class FloodingEngine(ModelEngine):
    """Stream soundly, but for one request if there is trouble."""

    has_trouble = True

    async def run(self, exchange: Exchange) -> None:
        """Send one event, then line feeds until the caller closes."""
        if not self.has_trouble or exchange.request.target != BAD_PATH:
            await super().run(exchange)
            return
        await self.begin_stream(exchange)
        await self.send_event(exchange, 1)
        sent_bytes = 0
        started_s = time.monotonic()
        while True:
            await exchange.send(encode_chunk(JUNK))
            sent_bytes += len(JUNK)
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(max(0, sent_bytes / JUNK_BYTES_PER_S - elapsed_s))


class FloodCase(Case):
    """Send bookings to all entries while one of them gets the endless body."""

    def engines(self) -> Sequence[Engine]:
        """Return two engines of each service."""
        FloodingEngine.has_trouble = self.has_trouble
        return (
            FloodingEngine('llm-1', self.record),
            FloodingEngine('llm-2', self.record),
            PlainEngine('app-1', self.record),
            PlainEngine('app-2', self.record),
        )

    async def play(self) -> bool:
        """Return whether enough bookings got their final answer in time."""
        stream = Request('POST', BAD_PATH, STREAM_DEADLINE_MS, b'plan')
        streaming = asyncio.create_task(self.client.send(self.entries[0], stream))
        await asyncio.sleep(BOOKING_INTERVAL_S)
        answers = await self._send_bookings()
        await streaming
        return self._judge(answers)

    async def _send_bookings(self) -> list[Answer]:
        booking = Request('POST', '/booking/1', BOOKING_DEADLINE_MS, b'booking')
        tasks = []
        while len(tasks) < BOOKING_COUNT:
            sending = self.client.send(self.balancer.choose(), booking)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(BOOKING_INTERVAL_S)
        return await asyncio.gather(*tasks)

    def _judge(self, answers: list[Answer]) -> bool:
        late = [answer for answer in answers if answer.took_s > TIMEOUT_S]
        missed = [
            answer
            for answer in late
            if not answer.status or answer.took_s > TIMEOUT_S + SLACK_S
        ]
        self.record.conclude(
            f'{len(answers)} bookings, {len(late)} lasted longer than timeoutMs, '
            f'{len(missed)} of them had no final answer 0.5 s after it'
        )
        is_many = len(missed) > MAX_MISSED_SHARE * len(late)
        return len(missed) < MIN_MISSED or not is_many


run_case(FloodCase, Path(__file__).parent)
