"""Play a team that books at all entries without pause, and count what it gets."""

import bisect
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from marjoramfall.clock import MS_PER_SECOND
from tests.platform_records import CONFIG
from tests.soak.caller import send_request
from tests.soak.plays.servers import PlainServer
from tests.soak.plays.system import Plan, PlayEntry, PlaySystem
from tests.soak.plays.troubles import Troubles

# What each booking counts for the limit of its team.
TOKENS = 20_000
SLOTS = 50
WINDOW_S = 8
# Once all entries have started and know each other.
STARTED_S = 6
OVER_SHARE = 0.1
SLACK_TOKENS = 190_000
# After a refusal, and until an entry is ready.
PAUSE_S = 0.05
KILLS_AT_ONCE = 2
OK = 200


@dataclass(frozen=True, slots=True)
class BookingLimit:
    """Hold the limit of the team, in bookings."""

    rate_per_s: float
    burst: float

    @property
    def team(self) -> dict[str, object]:
        """Return the team as the operator writes it."""
        return {
            **CONFIG['tenants'][0],
            'plainTokens': TOKENS,
            'ratePerS': self.rate_per_s * TOKENS,
            'burst': self.burst * TOKENS,
        }

    @property
    def most_in_window(self) -> float:
        """Return what the rule allows in each window."""
        regular = self.rate_per_s * WINDOW_S + self.burst
        return regular * (1 + OVER_SHARE) + SLACK_TOKENS / TOKENS


@dataclass(slots=True)
class LimitReport:
    """Hold the times of all runs, from the first on, and the answers, 0 for none."""

    run_s: list[float] = field(default_factory=list)
    count_by_status: Counter[int] = field(default_factory=Counter)
    longest_lag_ms: float = 0

    @property
    def runs_by_second(self) -> list[int]:
        """Return the bookings in each second."""
        counts = Counter(map(int, self.run_s))
        return [counts[second] for second in range(int(self.run_s[-1]) + 1)]

    def most_in_window(self, since_s: float = 0) -> int:
        """Return the most bookings in any window that begins after a time."""
        ends = (bisect.bisect(self.run_s, run_s + WINDOW_S) for run_s in self.run_s)
        first = bisect.bisect(self.run_s, since_s)
        counts = (end - begin for begin, end in enumerate(ends) if begin >= first)
        return max(counts, default=0)


class LimitPlay:
    """Run a caller at each entry beside troubles for one plan."""

    def __init__(self, plan: Plan, limit: BookingLimit, directory: Path) -> None:
        self._plan = plan
        self._numbers = itertools.count(1)
        self._report = LimitReport()
        self._is_over = False
        servers = [
            PlainServer(f'i-{number}', SLOTS, random.Random(plan.seed + number))
            for number in range(plan.servers)
        ]
        self._system = PlaySystem(plan, servers, limit.team, directory)

    def run(self) -> LimitReport:
        """Play for the seconds of the plan from the time when all are ready."""
        with self._system.running():
            callers = [
                gevent.spawn(self._call, entry) for entry in self._system.entries
            ]
            self._system.wait_until_ready()
            troubles = Troubles(self._system, KILLS_AT_ONCE)
            troubles.start()
            gevent.sleep(self._plan.seconds)
            self._is_over = True
            troubles.stop()
            gevent.joinall(callers)
        self._report.longest_lag_ms = self._system.longest_lag_ms
        times_s = sorted(
            arrival.at_ms / MS_PER_SECOND
            for server in self._system.servers
            for arrival in server.arrivals
            if arrival.has_run
        )
        self._report.run_s = [time_s - times_s[0] for time_s in times_s]
        return self._report

    def _call(self, entry: PlayEntry) -> None:
        is_ready = False
        while not self._is_over:
            is_ready = is_ready or entry.asks_for_callers()
            if not is_ready or self._system.is_idle:
                gevent.sleep(PAUSE_S)
                continue
            attempt_id = f'{next(self._numbers):016x}'
            response = send_request(entry.address, attempt_id, 'POST', '/pufi791/1')
            self._report.count_by_status[response.status] += 1
            is_ready = response.status != 0
            if response.status != OK:
                gevent.sleep(PAUSE_S)
