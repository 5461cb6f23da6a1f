"""Measure how fast a full group of servers finishes work."""

from marjoramfall.connection.rate_window import RateWindow

WINDOW_MS = 5000
# What finishes first in an overload was granted before it, at less load.
WARM_UP_MS = 5000
MIN_MEASURED_MS = 3000
# An overload ends when a server has been free for so long.
OVERLOAD_END_MS = 2000


class DrainRate:
    """Count finished tokens over the time in which all servers were full."""

    def __init__(self) -> None:
        self._finished = RateWindow(WINDOW_MS)
        self._measured_ms = float(0)
        self._updated_ms = float(0)
        self._saturated = False
        self._overload_since_ms = float(0)
        self._saturated_last_ms = float('-inf')

    def on_saturation(self, *, saturated: bool, now_ms: float) -> None:
        """Note whether requests wait because all servers are full."""
        self._measure(now_ms)
        self._saturated = saturated
        if not saturated:
            return
        if now_ms - self._saturated_last_ms > OVERLOAD_END_MS:
            self._overload_since_ms = now_ms
        self._saturated_last_ms = now_ms

    def on_finished(self, tokens: int, now_ms: float) -> None:
        """Count the tokens of a request that finished."""
        self._measure(now_ms)
        if self._is_measuring(now_ms):
            self._finished.add(tokens, self._measured_ms)

    def overload_ms(self, now_ms: float) -> float:
        """Return for how long the overload has lasted."""
        return now_ms - self._overload_since_ms

    def tokens_per_ms(self, now_ms: float) -> float:
        """Return finished tokens per millisecond, 0 while it is unknown."""
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
