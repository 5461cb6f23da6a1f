"""Bound the additional arrivals at a service."""

from collections import deque

# Leaves room for what peers and late counts add.
SAFETY = 0.75


class RetryAllowance:
    """Allow repeats up to a share of the requests in a sliding window.

    `slack` repeats a window are allowed to all entries together without any
    request; each takes its part of them.
    """

    def __init__(self, *, share: float, slack: float, window_ms: float) -> None:
        self._share = share * SAFETY
        self._slack = slack * SAFETY
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def on_request(self, now_ms: float) -> None:
        """Count a request's first arrival."""
        self._requests.append(now_ms)

    def try_repeat(self, now_ms: float, members: int) -> bool:
        """Count and allow a repeat, or return False when none is left."""
        self._forget(now_ms)
        allowed = self._share * len(self._requests) + self._slack / max(1, members)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()
