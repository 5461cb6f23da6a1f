"""Spread the returns of refused callers over the time in which room comes free."""

import math

MIN_RETRY_AFTER_MS = 100.0
# Callers for whom no room is foreseen come back after this part of the time that they
# would honour, or later.
MIN_OVERFLOW_SHARE = 0.5
GOLDEN_RATIO = 0.618034


class PromisedReturns:
    """Keep the schedule of the returns that this entry promised, by priority.

    Callers come back to any entry. Each keeps only its own promises and supposes that
    the others have made as many.
    """

    def __init__(self) -> None:
        self._latest_ms_by_priority: dict[int, float] = {}
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
        early are spread too.
        """
        due_ms = now_ms + max(MIN_RETRY_AFTER_MS, wait_ms)
        latest_ms = self._latest_ms_by_priority.get(priority)
        if latest_ms is not None and latest_ms > now_ms:
            due_ms = max(due_ms, latest_ms + slot_ms / rate)
        if due_ms - now_ms > longest_ms:
            return max(MIN_RETRY_AFTER_MS, longest_ms * self._next_overflow_share())
        self._latest_ms_by_priority[priority] = due_ms
        return due_ms - now_ms

    def _next_overflow_share(self) -> float:
        """Return shares that fill the end of the time evenly, however many come."""
        self._overflow_count += 1
        position = math.modf(self._overflow_count * GOLDEN_RATIO)[0]
        return 1 - (1 - MIN_OVERFLOW_SHARE) * position
