"""Play streams of callers that never pause, and count how they end."""

import bisect
import itertools
import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from tests.soak.plays.callers import Ending, Stream, StreamCaller
from tests.soak.plays.servers import EVENT_COUNT, EVENT_INTERVAL_S, Arrival, ModelServer
from tests.soak.plays.system import Plan, PlaySystem
from tests.soak.plays.troubles import Troubles

TEAM = {'name': 'hule930', 'apiKeys': ['key-a']}
SLOTS = 5
# Time in which the entries hear of each other.
SETTLING_S = 3.5
PAUSE_AFTER_FAILURE_S = 0.1
# A run elsewhere may begin this long before the earlier one has ended.
OVERLAP_MS = 400
BUDGET_WINDOW_MS = 10_000
BUDGET_RATIO = 0.2
BUDGET_SLACK = 58


@dataclass(frozen=True, slots=True)
class Budget:
    """Hold the repeated requests of the worst window, and what the rule allows."""

    repeats: int = 0
    allowed: float = BUDGET_SLACK


@dataclass(slots=True)
class StreamReport:
    """Hold what callers and servers saw."""

    max_attempts: int
    streams: list[Stream] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    longest_lag_ms: float = 0

    @property
    def counted(self) -> list[Stream]:
        """Return the streams of callers whose entry was not killed meanwhile."""
        return [stream for stream in self.streams if not stream.is_excused]

    @property
    def count_by_ending(self) -> Counter[str]:
        """Return how many streams ended how, errors by their status."""
        return Counter(map(_name_ending, self.counted))

    def having_ended(self, ending: Ending) -> list[Stream]:
        """Return the counted streams with an ending."""
        return [stream for stream in self.counted if stream.ending is ending]

    @property
    def faults(self) -> list[str]:
        """Return what no trouble excuses, a line for each kind."""
        budget = self.budget()
        count_by_fault = {
            'cut': len(self.having_ended(Ending.CUT)),
            'left': len(self.having_ended(Ending.LEFT)),
            'at two servers at the same time': len(self.at_two_servers()),
            'at more servers than maxAttempts': len(self.beyond_attempts()),
            'repeated beyond the budget': max(0, math.ceil(_excess(budget))),
        }
        return [
            f'FAULT: {count} {name}' for name, count in count_by_fault.items() if count
        ]

    def at_two_servers(self) -> list[str]:
        """Return the attempts that ran at two servers at the same time."""
        return [
            attempt_id
            for attempt_id, runs in self._runs_by_attempt().items()
            if _overlap(runs)
        ]

    def beyond_attempts(self) -> list[str]:
        """Return the attempts that ran at more sound servers than the route allows."""
        found: list[str] = []
        for attempt_id, runs in self._runs_by_attempt().items():
            sound = {run.server_id for run in runs if not run.was_broken}
            if len(sound) > self.max_attempts:
                found.append(attempt_id)
        return found

    def budget(self) -> Budget:
        """Return the window that comes nearest to the bound of repeated requests."""
        seen: set[str] = set()
        repeats_ms: list[float] = []
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at_ms):
            if arrival.attempt_id in seen:
                repeats_ms.append(arrival.at_ms)
            seen.add(arrival.attempt_id)
        sent_ms = sorted(stream.sent_ms for stream in self.streams)
        budgets = [_window(repeats_ms, sent_ms, end_ms) for end_ms in repeats_ms]
        return max(budgets, key=_excess, default=Budget())

    def _runs_by_attempt(self) -> dict[str, list[Arrival]]:
        runs_by_attempt: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at_ms):
            if arrival.has_run:
                runs_by_attempt[arrival.attempt_id].append(arrival)
        return runs_by_attempt


class StreamPlay:
    """Run callers beside troubles for one plan."""

    def __init__(self, plan: Plan, directory: Path) -> None:
        self._plan = plan
        self._numbers = itertools.count(1)
        self._report = StreamReport(plan.max_attempts)
        self._is_over = False
        servers = [
            ModelServer(f'i-{number}', SLOTS, random.Random(plan.seed + number))
            for number in range(plan.servers)
        ]
        self._system = PlaySystem(plan, servers, TEAM, directory)

    def run(self) -> StreamReport:
        """Play for the seconds of the plan and return what was seen."""
        with self._system.running():
            self._system.wait_until_ready()
            gevent.sleep(SETTLING_S)
            troubles = Troubles(self._system, kills_at_once=1)
            troubles.start()
            callers = [self._start_caller() for _ in range(self._plan.callers)]
            gevent.sleep(self._plan.seconds)
            self._is_over = True
            gevent.joinall(callers)
            self._report.longest_lag_ms = self._system.longest_lag_ms
            troubles.stop()
        for server in self._system.servers:
            self._report.arrivals.extend(server.arrivals)
        return self._report

    def _start_caller(self) -> gevent.Greenlet:
        delay_s = self._system.rng.uniform(0, EVENT_COUNT * EVENT_INTERVAL_S)
        return gevent.spawn_later(delay_s, self._call)

    def _call(self) -> None:
        clock = self._system.clock
        while not self._is_over:
            entry = self._system.choose_entry()
            attempt_id = f'{next(self._numbers):016x}'
            stream = Stream(attempt_id, entry.vm, clock.monotonic_ms())
            self._report.streams.append(stream)
            StreamCaller(stream, clock).call(entry.address)
            stream.is_excused = entry.was_killed(stream.sent_ms, stream.ended_ms)
            if stream.ending is not Ending.WHOLE:
                gevent.sleep(PAUSE_AFTER_FAILURE_S)


def _name_ending(stream: Stream) -> str:
    if stream.ending is Ending.ANSWERED:
        return f'{stream.ending.value} {stream.status}'
    return stream.ending.value


def _overlap(runs: list[Arrival]) -> bool:
    """Return whether a run began before one of another server had ended."""
    return any(
        later.server_id != earlier.server_id
        and later.at_ms < earlier.ended_ms - OVERLAP_MS
        for earlier, later in itertools.combinations(runs, 2)
    )


def _window(repeats_ms: list[float], sent_ms: list[float], end_ms: float) -> Budget:
    """Return the repeated requests of the window that ends at `end_ms`."""
    begin_ms = end_ms - BUDGET_WINDOW_MS
    repeats = _count(repeats_ms, begin_ms, end_ms)
    requests = _count(sent_ms, begin_ms, end_ms)
    return Budget(repeats, BUDGET_RATIO * requests + BUDGET_SLACK)


def _count(times_ms: list[float], begin_ms: float, end_ms: float) -> int:
    begin = bisect.bisect_right(times_ms, begin_ms)
    return bisect.bisect_right(times_ms, end_ms) - begin


def _excess(budget: Budget) -> float:
    return budget.repeats - budget.allowed
