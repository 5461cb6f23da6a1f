"""Bound the retries that all entries together send to a service."""

import random
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf, sqrt

from marjoramfall.gateway.peers.peer_state import RetryUse
from marjoramfall.gateway.servers.retry_chances import (
    Draw,
    RetryChances,
    RetryContenders,
)
from marjoramfall.gateway.servers.retry_reports import NO_USE, SharedRetryUse

# Leave a margin for the retries of entries that do not report theirs and for counts
# that arrive late. The last part is kept for streams that have begun at their callers.
SAFETY_FACTOR = 0.75
BEGUN_SAFETY_FACTOR = 0.85
# A stream that moves for speed leaves the rest to requests that have failed.
MOVE_SAFETY_FACTOR = 0.4
# How far a chance sum may lie above its mean, in standard deviations. More than chance
# requires, as a cut may hide from both sides what was spent just before it.
MAX_DEVIATIONS = 6.0


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bound retries by a share of the requests in a window of milliseconds.

    `slack` retries per window are allowed without any request, to all entries
    together.
    """

    share: float
    slack: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class RetryAsk:
    """Hold what a retry is decided on besides the counts of this entry.

    `running` requests of the service are known at all entries, `own_running` of them
    here, with the one that asks; reports of others may be `delay_ms` old.
    `known_share` is the part of the window that this entry knows, less than 1 after
    a start. A request that `has_waited` for a reporting delay knows of all others that
    failed together with it. One that `is_move` goes on at its server if it is refused.
    """

    entry_count: int = 1
    others: SharedRetryUse = NO_USE
    running: int = 1
    own_running: int = 1
    delay_ms: float = 0.0
    known_share: float = 1.0
    is_begun: bool = False
    has_waited: bool = False
    is_move: bool = False

    @property
    def safety_factor(self) -> float:
        """Return the part of the bound that the retry may use."""
        if self.is_move:
            return MOVE_SAFETY_FACTOR
        return BEGUN_SAFETY_FACTOR if self.is_begun else SAFETY_FACTOR


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Say whether a retry is allowed, and on which counts that was decided.

    `left` retries may be used.
    """

    is_allowed: bool
    requests: int
    retries: int
    left: float
    contenders: RetryContenders


class RetryBudget:
    """Allow retries up to a share of the requests in a sliding window.

    All entries spend from one budget. As they hear of each other late, each spends
    no more than its part of what is left until the others know of it.
    """

    def __init__(self, bounds: RetryBounds, draw: Draw = random.random) -> None:
        self._bounds = bounds
        self._chances = RetryChances(draw)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        # Requests that wait for this budget here.
        self.waiting = 0

    def replace_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds and keep the counts of the window."""
        self._bounds = bounds

    def on_request(self, now_ms: float) -> None:
        """Count a request once, at its arrival."""
        self._drop_expired(now_ms)
        self._requests.append(now_ms)

    def use(self, service_id: str, now_ms: float) -> RetryUse:
        """Return what the window holds here."""
        self._drop_expired(now_ms)
        return RetryUse(
            service_id, len(self._requests), len(self._retries), self.waiting
        )

    @contextmanager
    def waiting_request(self) -> Iterator[None]:
        """Count a request as waiting for the budget within the block."""
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1

    def try_retry(self, now_ms: float, entry_count: int) -> bool:
        """Count and allow a retry of an entry that hears of no others."""
        return self.decide(now_ms, RetryAsk(entry_count)).is_allowed

    def decide(self, now_ms: float, ask: RetryAsk) -> RetryDecision:
        """Count and allow a retry, or refuse it as the budget is spent."""
        self._drop_expired(now_ms)
        requests = len(self._requests) + ask.others.requests
        retries = len(self._retries) + ask.others.retries
        bound = self._bound(requests, ask)
        left = ask.safety_factor * bound - retries
        contenders = self._contenders(requests, ask)
        part = self._part(left, bound - retries, contenders)
        is_allowed = self._chances.try_take(part, now_ms, ask.delay_ms)
        decision = RetryDecision(is_allowed, requests, retries, left, contenders)
        if is_allowed:
            self._retries.append(now_ms)
        return decision

    def _bound(self, requests: int, ask: RetryAsk) -> float:
        reporters = ask.others.reporters + 1
        slack_share = min(1, reporters / max(1, ask.entry_count))
        bounds = self._bounds
        return ask.known_share * (bounds.share * requests + bounds.slack * slack_share)

    def _contenders(self, requests: int, ask: RetryAsk) -> RetryContenders:
        if ask.has_waited:
            own = 1 + self.waiting
            return RetryContenders(own, own + ask.others.waiting)
        own = ask.own_running + self.waiting
        if not ask.others.reporters:
            return RetryContenders(own, own)
        waiting = self.waiting + ask.others.waiting
        # Requests that arrive meanwhile have no part of their own.
        arriving = requests * ask.delay_ms / self._bounds.window_ms
        known = ask.running + waiting + arriving
        return RetryContenders(own, max(own, known))

    def _part(self, left: float, room: float, contenders: RetryContenders) -> float:
        """Return how many retries this entry may allow in a reporting delay."""
        if left < 1:
            return 0
        if contenders.known <= max(left, contenders.own):
            return inf
        return contenders.own_part(min(left, _safe_mean(room)))

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._bounds.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_ms:
                times.popleft()


def _safe_mean(room: float) -> float:
    """Return the mean of a count of chances that hardly ever exceeds the room.

    The variance of such a count is at most its mean, so that the mean and
    `MAX_DEVIATIONS` times its root fit into the room.
    """
    half = MAX_DEVIATIONS / 2
    return (sqrt(half * half + room) - half) ** 2
