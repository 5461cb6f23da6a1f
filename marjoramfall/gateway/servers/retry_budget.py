"""Bound the retries that entries send to a service."""

from collections import defaultdict, deque
from dataclasses import dataclass

# Leaves a margin for the retries of peers and for counts that arrive late.
SAFETY_FACTOR = 0.75


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bound retries by a share of the requests in a window of milliseconds.

    `slack` retries per window are allowed without any request, to all entries
    together; each entry gets an equal part.
    """

    share: float
    slack: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class RetryUse:
    """Count the requests and retries in a window."""

    requests: int
    retries: int


class RetryBudget:
    """Allow retries up to a share of the requests in a sliding window."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def replace_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds and keep the counts of the window."""
        self._bounds = bounds

    def on_request(self, now_ms: float) -> None:
        """Count a request once, at its arrival."""
        self._requests.append(now_ms)

    @property
    def use(self) -> RetryUse:
        """Return what the window held when a retry was last asked for."""
        return RetryUse(len(self._requests), len(self._retries))

    def try_retry(self, now_ms: float, entry_count: int) -> bool:
        """Count and allow a retry, or return False if the budget is spent."""
        self._drop_expired(now_ms)
        bounds = self._bounds
        allowed = bounds.share * len(self._requests) + bounds.slack / max(
            1, entry_count
        )
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
    """Keep a retry budget for each service."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            self._create_budget
        )

    def find(self, service_id: str) -> RetryBudget:
        """Return the budget of a service, created on first use."""
        return self._budget_by_service[service_id]

    def replace_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds of all services."""
        self._bounds = bounds
        for budget in self._budget_by_service.values():
            budget.replace_bounds(bounds)

    def _create_budget(self) -> RetryBudget:
        return RetryBudget(self._bounds)
