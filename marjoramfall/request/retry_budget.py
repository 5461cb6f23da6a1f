"""Bound retries to a share of recent requests."""

from marjoramfall.connection.rate_window import RateWindow

RETRY_SHARE = 0.1
WINDOW_MS = 10_000
# A service with little traffic may still retry now and then.
MIN_RETRIES = 1


class RetryBudget:
    """Allow retries up to a share of the requests of the last seconds."""

    def __init__(self, *, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._requests = RateWindow(WINDOW_MS)
        self._retries = RateWindow(WINDOW_MS)

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._requests.add(1, now_ms)

    def take_retry(self, now_ms: float) -> bool:
        """Count and allow a retry, or return False when the budget is spent."""
        requests = self._requests.amount(now_ms)
        retries = self._retries.amount(now_ms)
        if retries + 1 > max(MIN_RETRIES, self._share * requests):
            return False
        self._retries.add(1, now_ms)
        return True
