"""Measure the time of a dispatcher's decisions as its queue grows."""

import gc
import random
import sys
import time
from collections.abc import Callable
from statistics import median

from benchmarks.table_writer import TableWriter
from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import (
    Action,
    FinishReport,
    Grant,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.version.router import SingleVersionRouter

WAITING_COUNTS = (100, 1000, 10_000)
SERVER_COUNT = 5
TEAM_COUNT = 20
TIER_COUNT = 4
DECISIONS = 2000
COUNTED_DECISIONS = 200
TARGET_US = 50
MAX_GROWTH = 2
DEADLINE_MS = 10_000_000
US_PER_SECOND = 1_000_000


def run(table_writer: TableWriter) -> None:
    """Time one arrival with one finish at several queue lengths."""
    rows = {waiting: DecisionCost(waiting).measure() for waiting in WAITING_COUNTS}
    table_writer.write(
        'decision cost: median time and function calls per decision',
        ('waiting', 'arrival us', 'finish us', 'tick us', 'calls'),
        [(str(waiting), *row) for waiting, row in rows.items()],
    )
    longest, shortest = rows[WAITING_COUNTS[-1]], rows[WAITING_COUNTS[0]]
    slowest_us = max(longest[:2])
    growth = longest[-1] / shortest[-1]
    table_writer.target(
        'slowest median decision in us',
        slowest_us,
        TARGET_US,
        met=slowest_us <= TARGET_US,
    )
    table_writer.target(
        'growth of calls, 100 to 10,000 waiting',
        growth,
        MAX_GROWTH,
        met=growth <= MAX_GROWTH,
    )


class _CallCounter:
    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, frame: object, event: str, argument: object) -> None:
        self.calls += event in {'call', 'c_call'}


class DecisionCost:
    """Keep a dispatcher saturated with a constant number of waiting requests."""

    def __init__(self, waiting: int) -> None:
        self._rng = random.Random(waiting)
        self._now_ms = float(0)
        self._made = 0
        self._granted: list[tuple[Grant, WorkEstimate]] = []
        self._work_by_id: dict[str, WorkEstimate] = {}
        self._dispatcher = Dispatcher('group', SingleVersionRouter('v1'))
        servers = [
            ServerInfo(
                server_id=f's{number}',
                version_id='v1',
                data_centre='dc-1',
                max_concurrency=32,
            )
            for number in range(SERVER_COUNT)
        ]
        self._dispatcher.set_servers(servers, 0)
        while self._dispatcher.waiting_count < waiting:
            self._enqueue()

    def measure(self) -> tuple[float, float, float, float]:
        """Return median microseconds of decisions and calls per decision."""
        arrivals_us: list[float] = []
        finishes_us: list[float] = []
        ticks_us: list[float] = []
        gc.collect()
        for _ in range(DECISIONS):
            arrivals_us.append(self._enqueue())
            finishes_us.append(self._finish())
            ticks_us.append(self._timed(self._dispatcher.tick))
        return (
            median(arrivals_us),
            median(finishes_us),
            median(ticks_us),
            self._count_calls() / (2 * COUNTED_DECISIONS),
        )

    def _count_calls(self) -> int:
        counter = _CallCounter()
        sys.setprofile(counter)
        for _ in range(COUNTED_DECISIONS):
            self._enqueue()
            self._finish()
        sys.setprofile(None)
        return counter.calls

    def _enqueue(self) -> float:
        waiting = self._make_request()
        self._work_by_id[waiting.request_id] = waiting.work
        return self._timed(lambda now_ms: self._dispatcher.enqueue(waiting, now_ms))

    def _finish(self) -> float:
        grant, work = self._granted.pop(self._rng.randrange(len(self._granted)))
        report = FinishReport(
            request_id=grant.request_id,
            server_id=grant.server_id,
            version_id=grant.version_id,
            route='/v1/completions',
            succeeded=True,
            dispatched=True,
            first_token_ms=work.prefill_tokens * 0.1,
            total_ms=work.prefill_tokens * 0.1 + work.decode_tokens * 20,
            work=work,
            decode_tokens=work.decode_tokens,
        )
        return self._timed(lambda now_ms: self._dispatcher.on_finished(report, now_ms))

    def _timed(self, decide: Callable[[float], list[Action]]) -> float:
        self._now_ms += 0.2
        began = time.perf_counter()
        actions = decide(self._now_ms)
        spent_us = (time.perf_counter() - began) * US_PER_SECOND
        for action in actions:
            if isinstance(action, Grant):
                work = self._work_by_id.pop(action.request_id)
                self._dispatcher.on_started(action.request_id, self._now_ms)
                self._granted.append((action, work))
        return spent_us

    def _make_request(self) -> WaitingRequest:
        self._made += 1
        team = self._rng.randrange(TEAM_COUNT)
        blocks = self._rng.randrange(4, 64)
        return WaitingRequest(
            request_id=f'request-{self._made}',
            entry_id=f'entry-{self._made % 9}',
            tier_rank=team % TIER_COUNT,
            team_id=f'team-{team}',
            team_weight=1,
            deadline_ms=self._now_ms + DEADLINE_MS * self._rng.random() + DEADLINE_MS,
            arrived_ms=self._now_ms,
            work=WorkEstimate(blocks * 64, self._rng.randrange(8, 800)),
            prefix_hashes=tuple(team * 1000 + block for block in range(blocks)),
            route='/v1/completions',
        )
