"""Limit the rate of calls to the platform stand-in."""

from http import HTTPStatus

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall_standins.http import HttpError

# Above this wait the real services refuse calls instead of queueing them.
MAX_WAIT_MS = 1000
BURST_MS = 50


class Throttle:
    """Let `rate` calls a second pass, in order."""

    def __init__(self, clock: Clock, *, rate: float) -> None:
        self._clock = clock
        self._interval_ms = MS_PER_SECOND / rate
        self._next_ms = clock.monotonic_ms()

    def wait(self) -> None:
        """Wait for a turn; raises `HttpError` 429 if the queue is too long."""
        now_ms = self._clock.monotonic_ms()
        start_ms = max(self._next_ms, now_ms - BURST_MS)
        wait_ms = start_ms - now_ms
        if wait_ms > MAX_WAIT_MS:
            raise HttpError(HTTPStatus.TOO_MANY_REQUESTS, 'throttled')
        self._next_ms = start_ms + self._interval_ms
        if wait_ms > 0:
            self._clock.sleep_ms(wait_ms)
