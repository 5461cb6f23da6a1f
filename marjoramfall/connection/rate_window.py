"""Measure a rate that forgets old observations."""

import math


class RateWindow:
    """Estimate an amount per millisecond with exponential forgetting."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._amount = float(0)
        self._covered = float(0)
        self._updated_ms: float | None = None

    def add(self, amount: float, now_ms: float) -> None:
        """Count an amount at a time in milliseconds."""
        self._forget(now_ms)
        self._amount += amount

    def amount(self, now_ms: float) -> float:
        """Return the amount that is not forgotten yet."""
        self._forget(now_ms)
        return self._amount

    def per_ms(self, now_ms: float) -> float:
        """Return the amount per millisecond, 0 before any time has passed."""
        self._forget(now_ms)
        if self._covered <= 0:
            return 0
        return self._amount / (self._window_ms * self._covered)

    def _forget(self, now_ms: float) -> None:
        if self._updated_ms is None:
            self._updated_ms = now_ms
        passed_ms = max(0, now_ms - self._updated_ms)
        kept = math.exp(-passed_ms / self._window_ms)
        self._amount *= kept
        # The share of the window that was observed corrects a young estimate.
        self._covered = 1 - (1 - self._covered) * kept
        self._updated_ms = max(now_ms, self._updated_ms)
