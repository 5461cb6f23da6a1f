"""Measure the throughput of a saturated group of servers."""

from marjoramfall.connection.rate_window import RateWindow

WINDOW_MS = 5000
# The first requests that finish in an overload were granted before it, at a
# lower load, so the measurement starts later.
WARM_UP_MS = 5000
MIN_MEASURED_MS = 3000
# An overload is over once the group was not saturated for this long.
OVERLOAD_END_MS = 2000


class DrainRate:
    """Measure finished tokens per millisecond while all servers are full.

    Only the time in which they are full counts, so that pauses between overloads
    do not lower the rate.
    """

    def __init__(self) -> None:
        self._finished = RateWindow(WINDOW_MS)
        self._measured_ms = float(0)
        self._updated_ms = float(0)
        self._saturated = False
        self._overload_since_ms = float(0)
        self._saturated_last_ms = float('-inf')

    def on_saturation(self, *, saturated: bool, now_ms: float) -> None:
        """Record whether requests are waiting because all servers are full."""
        self._measure(now_ms)
        self._saturated = saturated
        if not saturated:
            return
        if now_ms - self._saturated_last_ms > OVERLOAD_END_MS:
            self._overload_since_ms = now_ms
        self._saturated_last_ms = now_ms

    def on_finished(self, tokens: int, now_ms: float) -> None:
        """Count the tokens of a request that finished during the measurement."""
        self._measure(now_ms)
        if self._is_measuring(now_ms):
            self._finished.add(tokens, self._measured_ms)

    def overload_ms(self, now_ms: float) -> float:
        """Return the time since the current or last overload began."""
        return now_ms - self._overload_since_ms

    def tokens_per_ms(self, now_ms: float) -> float:
        """Return the finished tokens per millisecond, or 0 while unknown."""
        self._measure(now_ms)
        if self._measured_ms < MIN_MEASURED_MS:
            return 0
        return self._finished.per_ms(self._measured_ms)

    def _measure(self, now_ms: float) -> None:
        if self._is_measuring(now_ms):
            self._measured_ms += now_ms - self._updated_ms
        self._updated_ms = now_ms

    def _is_measuring(self, now_ms: float) -> bool:
        return self._saturated and self.overload_ms(now_ms) >= WARM_UP_MS
