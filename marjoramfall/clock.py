"""Provide the time to tasks, so that tests can pause and advance it."""

import time
from abc import ABC, abstractmethod

import gevent

MS_PER_SECOND = 1000


class Clock(ABC):
    """Tell the time and wait for it to pass."""

    @abstractmethod
    def monotonic_ms(self) -> float:
        """Return milliseconds since an arbitrary start; never goes back."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""

    @abstractmethod
    def sleep_ms(self, duration_ms: float) -> None:
        """Let other tasks run for the duration in milliseconds."""


class RuntimeClock(Clock):
    """Read the clock of the machine and sleep in gevent."""

    def monotonic_ms(self) -> float:
        """Return the machine's monotonic clock in milliseconds."""
        return time.monotonic() * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Return the machine's Unix time in milliseconds."""
        return int(time.time() * MS_PER_SECOND)

    def sleep_ms(self, duration_ms: float) -> None:
        """Yield to other greenlets for the duration in milliseconds."""
        gevent.sleep(duration_ms / MS_PER_SECOND)


class PausedClock(Clock):
    """Stand still until a test advances it."""

    def __init__(self, *, start_wall_ms: int = 1_700_000_000_000) -> None:
        self._elapsed_ms = float(0)
        self._start_wall_ms = start_wall_ms

    def monotonic_ms(self) -> float:
        """Return the milliseconds that tests have advanced so far."""
        return self._elapsed_ms

    def wall_ms(self) -> int:
        """Return the start time plus the advanced milliseconds."""
        return self._start_wall_ms + int(self._elapsed_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance by the duration in milliseconds without waiting."""
        self.advance_ms(duration_ms)

    def advance_ms(self, duration_ms: float) -> None:
        """Move the time forward by the duration in milliseconds."""
        self._elapsed_ms += duration_ms
