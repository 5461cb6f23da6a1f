"""A sound engine falls silent for a second while an entry is stopped as planned."""

import asyncio
import signal
import time
from collections.abc import Sequence
from pathlib import Path

from harness.client import Answer, Request
from harness.deployment import Case, run_case
from harness.engine import Engine, PausingEngine, PlainEngine
from harness.record import Record

SILENCE_S = 1.0
STREAM_DEADLINE_MS = 12_000
# As many as the two engines have slots.
STREAM_COUNT = 10
STREAM_INTERVAL_S = 0.05
BEFORE_STOP_S = 0.5
BEFORE_SILENCE_S = 0.5
GRACE_S = 8
# The rule does not count what is cut in the last sixth of the grace time.
JUDGED_SHARE = 5 / 6


class SilenceCase(Case):
    """Stop an entry that serves as many streams as the engines have slots."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self._pausing = PausingEngine('llm-1', record)
        self._models = (self._pausing, PausingEngine('llm-2', record))

    def engines(self) -> Sequence[Engine]:
        """Return two model engines, one of which pauses, and a plain one."""
        return *self._models, PlainEngine('app-1', self.record)

    async def play(self) -> bool:
        """Return whether all streams were answered whole."""
        streaming = await self._send_streams()
        await asyncio.sleep(BEFORE_STOP_S)
        stopped_s = time.monotonic()
        self.record.write(f'SIGTERM to {self.entries[0].name}')
        self.entries[0].signal(signal.SIGTERM)
        await asyncio.sleep(BEFORE_SILENCE_S)
        if self.has_trouble:
            self._pausing.fall_silent(SILENCE_S)
        answers = await asyncio.gather(*streaming)
        return self._judge(answers, stopped_s)

    async def _send_streams(self) -> list[asyncio.Task[Answer]]:
        tasks = []
        while len(tasks) < STREAM_COUNT:
            plan = Request('POST', f'/plan/{len(tasks)}', STREAM_DEADLINE_MS, b'plan')
            sending = self.client.send(self.entries[0], plan)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(STREAM_INTERVAL_S)
        return tasks

    def _judge(self, answers: list[Answer], stopped_s: float) -> bool:
        judged_until_s = stopped_s + JUDGED_SHARE * GRACE_S
        cut = [
            answer
            for answer in answers
            if not answer.status
            and answer.ended_s < judged_until_s
            and any(answer.attempt_id in engine.run_ids for engine in self._models)
        ]
        self.record.conclude(
            f'{len(answers)} streams in flight at the SIGTERM, {len(cut)} of them were '
            f'cut before the last sixth of graceS'
        )
        return not cut


run_case(SilenceCase, Path(__file__).parent)
