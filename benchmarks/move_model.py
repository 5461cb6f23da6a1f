"""Simulate the traffic of one service during a move, on a paused clock."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramfall.model import Move
from marjoramfall.request.events import FinishReport, WaitingRequest, WorkEstimate
from marjoramfall.version.actions import MoveAction, WithdrawVersion
from marjoramfall.version.move_router import MoveRouter

TICK_MS = 100
ROUTES = ('/v1/chat/completions', '/v1/completions')
ROUTE_WEIGHTS = (0.8, 0.2)
GOOD_FAILURE_RATE = 0.003


@dataclass(frozen=True, slots=True)
class Circumstances:
    """Describe when and where a request runs; the time is since the start."""

    elapsed_ms: float
    route: str
    high_load: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Behaviour:
    """Say how a version behaves; ratios are against the old version."""

    failure_rate: float = GOOD_FAILURE_RATE
    first_token_ratio: float = 1
    output_ratio: float = 1


GOOD = Behaviour()
Profile = Callable[[Circumstances], Behaviour]


@dataclass(slots=True, kw_only=True)
class Scenario:
    """Set the traffic, the new version and the time of one move."""

    name: str
    seed: int
    profile: Profile
    requests_per_s: float = 50
    duration_ms: float = 600_000
    plain: bool = False
    slowdown_at_ms: float = float('inf')


@dataclass(slots=True)
class MoveResult:
    """Hold what one simulated move led to; times are in milliseconds."""

    kind: str = ''
    state: str = ''
    reason: str = ''
    ended_ms: float = 0
    requests: int = 0
    new_requests: int = 0
    bad_requests: int = 0
    new_tokens: int = 0
    tokens: int = 0
    requests_while_bad: int = 0
    first_bad_ms: float | None = None
    last_bad_ms: float = 0
    withdrawn: bool = False
    grants_after_withdrawal: int = 0
    actions: list[MoveAction] = field(default_factory=list)

    @property
    def bad_share(self) -> float:
        """Return the share of requests that met the fault, while it lasted."""
        return self.bad_requests / max(self.requests_while_bad, 1)

    @property
    def bad_to_none_ms(self) -> float:
        """Return the time from the first to the last bad request."""
        return self.last_bad_ms - (self.first_bad_ms or self.last_bad_ms)


class MoveModel:
    """Drive a `MoveRouter` with Poisson arrivals and seeded results."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._now_ms = float(0)
        self._running: list[tuple[float, int, FinishReport]] = []
        self._outcome = MoveResult()
        self._requests_before = 0
        move = Move('m', 's', 'old', 'new', int(scenario.duration_ms))
        self.router = MoveRouter(move, now_ms=0, deadline_ms=scenario.duration_ms)

    def run(self) -> MoveResult:
        """Run until the deadline and return the result."""
        next_tick_ms = float(TICK_MS)
        while self._now_ms < self._scenario.duration_ms:
            arrival_ms = self._now_ms + self._gap_ms()
            while next_tick_ms <= arrival_ms:
                self._finish_until(next_tick_ms)
                self._note(self.router.tick(next_tick_ms), next_tick_ms)
                next_tick_ms += TICK_MS
            self._finish_until(arrival_ms)
            self._now_ms = arrival_ms
            self._arrive()
        return self._outcome

    def _high_load(self) -> bool:
        return (self._now_ms // 20_000) % 3 == 2

    def _gap_ms(self) -> float:
        factor = 2 if self._high_load() else 0.5
        rate = self._scenario.requests_per_s * factor
        return self._random.expovariate(rate) * 1000

    def _note(self, actions: list[MoveAction], now_ms: float) -> None:
        self._outcome.actions += actions
        kinds = {type(action) for action in actions}
        self._outcome.withdrawn |= WithdrawVersion in kinds
        if self._outcome.state or self.router.controller.running:
            return
        self._outcome.state = self.router.controller.state
        self._outcome.reason = self.router.controller.reason
        self._outcome.ended_ms = now_ms

    def _arrive(self) -> None:
        outcome = self._outcome
        outcome.requests += 1
        work = self._work()
        waiting = WaitingRequest(
            request_id=str(outcome.requests),
            entry_id='e',
            tier_rank=0,
            team_id='t',
            team_weight=1,
            deadline_ms=self._now_ms + 10_000,
            arrived_ms=self._now_ms,
            work=work,
            route=self._random.choices(ROUTES, ROUTE_WEIGHTS)[0],
        )
        version = self.router.preferred_versions(waiting, self._now_ms)[0]
        self.router.on_granted(waiting, version, self._now_ms)
        outcome.tokens += work.total_tokens
        self._dispatch(waiting, version)

    def _work(self) -> WorkEstimate:
        if self._scenario.plain:
            return WorkEstimate(1, 0)
        prefill = min(int(self._random.lognormvariate(6, 1)), 20_000)
        return WorkEstimate(prefill, 1 + int(self._random.expovariate(1 / 100)))

    def _dispatch(self, waiting: WaitingRequest, version: str) -> None:
        circumstances = Circumstances(self._now_ms, waiting.route, self._high_load())
        behaviour = GOOD
        if version == 'new':
            behaviour = self._scenario.profile(circumstances)
            self._outcome.new_requests += 1
            self._outcome.new_tokens += waiting.work.total_tokens
            self._outcome.grants_after_withdrawal += self._outcome.withdrawn
        is_bad = behaviour != GOOD
        if is_bad:
            self._note_bad()
        report = self._report(waiting, version, behaviour)
        ends_ms = self._now_ms + report.total_ms
        entry = (ends_ms, self._outcome.requests, report)
        heapq.heappush(self._running, entry)

    def _note_bad(self) -> None:
        outcome = self._outcome
        outcome.bad_requests += 1
        outcome.last_bad_ms = self._now_ms
        if outcome.first_bad_ms is None:
            outcome.first_bad_ms = self._now_ms
            self._requests_before = outcome.requests - 1
        outcome.requests_while_bad = outcome.requests - self._requests_before

    def _report(
        self, waiting: WaitingRequest, version: str, behaviour: Behaviour
    ) -> FinishReport:
        slowdown = 3 if self._now_ms >= self._scenario.slowdown_at_ms else 1
        slowdown *= 1.5 if self._high_load() else 1
        noise = self._random.lognormvariate(0, 0.35)
        first_ms = (20 + waiting.work.prefill_tokens * 0.1) * noise * slowdown
        first_ms *= behaviour.first_token_ratio
        per_token = 25 * self._random.lognormvariate(0, 0.15) * slowdown
        output_ms = waiting.work.decode_tokens * per_token * behaviour.output_ratio
        succeeded = self._random.random() >= behaviour.failure_rate
        return FinishReport(
            request_id=waiting.request_id,
            server_id=version,
            version_id=version,
            route=waiting.route,
            succeeded=succeeded,
            dispatched=True,
            first_token_ms=None if self._scenario.plain else first_ms,
            total_ms=first_ms + output_ms if succeeded else first_ms,
            work=waiting.work,
            decode_tokens=waiting.work.decode_tokens if succeeded else 0,
        )

    def _finish_until(self, now_ms: float) -> None:
        while self._running and self._running[0][0] <= now_ms:
            ends_ms, _, report = heapq.heappop(self._running)
            self.router.on_finished(report, ends_ms)


def good_profile(circumstances: Circumstances) -> Behaviour:
    """Return the behaviour of a version that equals the old one."""
    return GOOD
