"""Limit retries to a share of the recent requests."""

import math

from marjoramfall.connection.rate_window import RateWindow

RETRY_SHARE = 0.1
WINDOW_MS = 10_000
# Lets a service with little traffic retry once in each window: this much of a retry
# is left in the decaying count after one window.
MAX_COUNT_OF_IDLE_SERVICE = math.exp(-1)


class RetryBudget:
    """Allow retries up to a share of the requests; counts decay exponentially."""

    def __init__(self, *, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._requests = RateWindow(WINDOW_MS)
        self._retries = RateWindow(WINDOW_MS)

    def on_request(self, now_ms: float) -> None:
        """Count the first attempt of a request."""
        self._requests.add(1, now_ms)

    def take_retry(self, now_ms: float) -> bool:
        """Count and allow a retry, or return False if the budget is exhausted."""
        requests = self._requests.amount(now_ms)
        retries = self._retries.amount(now_ms)
        if retries > max(MAX_COUNT_OF_IDLE_SERVICE, self._share * requests - 1):
            return False
        self._retries.add(1, now_ms)
        return True
