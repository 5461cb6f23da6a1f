"""Bound the additional arrivals at a service."""

from collections import defaultdict, deque
from dataclasses import dataclass

# Leaves room for what peers and late counts add.
SAFETY_FACTOR = 0.75


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bound repeats by a share of the requests in a window of milliseconds.

    `slack` repeats a window are allowed to all entries together without any
    request; each takes its part of them.
    """

    share: float
    slack: float
    window_ms: float


class RetryBudget:
    """Allow repeats up to a share of the requests in a sliding window."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def use_bounds(self, bounds: RetryBounds) -> None:
        """Use other bounds; what was counted stays."""
        self._bounds = bounds

    def on_request(self, now_ms: float) -> None:
        """Count a request's first arrival."""
        self._requests.append(now_ms)

    def try_retry(self, now_ms: float, members: int) -> bool:
        """Count and allow a repeat, or return False when none is left."""
        self._drop_expired(now_ms)
        bounds = self._bounds
        allowed = bounds.share * len(self._requests) + bounds.slack / max(1, members)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._bounds.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_ms:
                times.popleft()


class RetryBudgets:
    """Keep an allowance for each service."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            self._create_budget
        )

    def find(self, service_id: str) -> RetryBudget:
        """Return the allowance of a service."""
        return self._budget_by_service[service_id]

    def use_bounds(self, bounds: RetryBounds) -> None:
        """Use other bounds for all services."""
        self._bounds = bounds
        for budget in self._budget_by_service.values():
            budget.use_bounds(bounds)

    def _create_budget(self) -> RetryBudget:
        return RetryBudget(self._bounds)
