"""Spread the returns of refused callers over the time in which room comes free."""

import math
from collections import deque
from dataclasses import dataclass

MIN_RETRY_AFTER_MS = 100.0
# Bounds the memory; promises beyond it are spread, but not kept room for.
MAX_PROMISES = 500
# Added to what a caller may need to come back to another entry.
RETURN_SLACK_MS = 300.0
# Callers for whom no room is foreseen come back after this part of the time that they
# would honour, or later.
MIN_OVERFLOW_SHARE = 0.5
GOLDEN_RATIO = 0.618034


@dataclass(frozen=True, slots=True)
class PromisedReturn:
    """Hold when a refused caller was told to come back, and what it will need."""

    due_ms: float
    slot_ms: float


class PromisedReturns:
    """Keep the schedule of the returns that this entry promised, by priority.

    Callers come back to any entry. Each keeps only its own promises and supposes that
    the others have made as many.
    """

    def __init__(self) -> None:
        self._returns_by_priority: dict[int, deque[PromisedReturn]] = {}
        self._overflow_count = 0

    def promise(
        self,
        priority: int,
        *,
        now_ms: float,
        wait_ms: float,
        slot_ms: float,
        rate: float,
        longest_ms: float,
    ) -> float:
        """Return after how long a refused caller is to come back.

        Room comes free for the callers of this entry at `rate`, in slot-time per time.
        The first is told to come when room is expected, each later one after those
        before it. None comes later than it would honour; those for whom that is too
        early are spread too, and no room is kept for them.
        """
        returns = self._open(priority, now_ms)
        due_ms = now_ms + max(MIN_RETRY_AFTER_MS, wait_ms)
        if returns:
            due_ms = max(due_ms, returns[-1].due_ms + slot_ms / rate)
        if due_ms - now_ms > longest_ms:
            return max(MIN_RETRY_AFTER_MS, longest_ms * self._next_overflow_share())
        if len(returns) < MAX_PROMISES:
            returns.append(PromisedReturn(due_ms, slot_ms))
        return due_ms - now_ms

    def slot_ms_due(self, priority: int, now_ms: float, until_ms: float) -> float:
        """Return the slot-time promised until then to callers who go before.

        These are of the same or a higher priority.
        """
        return sum(
            promised.slot_ms
            for known in self._returns_by_priority
            if known <= priority
            for promised in self._open(known, now_ms)
            if promised.due_ms <= until_ms
        )

    def _open(self, priority: int, now_ms: float) -> deque[PromisedReturn]:
        returns = self._returns_by_priority.setdefault(priority, deque())
        while returns and returns[0].due_ms + RETURN_SLACK_MS < now_ms:
            returns.popleft()
        return returns

    def _next_overflow_share(self) -> float:
        """Return shares that fill the end of the time evenly, however many come."""
        self._overflow_count += 1
        position = math.modf(self._overflow_count * GOLDEN_RATIO)[0]
        return 1 - (1 - MIN_OVERFLOW_SHARE) * position
