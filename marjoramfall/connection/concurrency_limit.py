"""Limit the work inside a backend server by the latency it shows."""

SMOOTHING = 0.05
WINDOW_REPORTS = 8
# Batches up to this latency over the unloaded one still add throughput.
TARGET_RATIO = 2.0
MAX_CUT = 0.85
MAX_GROWTH = 1.1
MIN_USE = 0.7
MIN_SHARE = 0.25


class ConcurrencyLimit:
    """Adapt a limit in tokens to observed against unloaded latency."""

    def __init__(self, max_concurrency: int) -> None:
        self.max_concurrency = max_concurrency
        self._requests = max(1.0, max_concurrency / 2)
        self._mean_tokens = float(0)
        self._ratio_sum = float(0)
        self._reports = 0
        self._most_used = float(0)

    @property
    def requests(self) -> float:
        """Return the limit in requests of mean size."""
        return self._requests

    @property
    def tokens(self) -> float:
        """Return the limit in tokens; unlimited before the first grant."""
        if not self._mean_tokens:
            return float('inf')
        return self._requests * self._mean_tokens

    def on_granted(self, tokens: int, tokens_in_use: int) -> None:
        """Learn the size of a request and how much of the limit is used."""
        if not self._mean_tokens:
            self._mean_tokens = float(tokens)
        self._mean_tokens += SMOOTHING * (tokens - self._mean_tokens)
        self._most_used = max(self._most_used, tokens_in_use / self.tokens)

    def on_finished(self, latency_ratio: float) -> None:
        """Take observed over unloaded latency of a finished request."""
        self._ratio_sum += latency_ratio
        self._reports += 1
        if self._reports >= WINDOW_REPORTS:
            self._adapt(TARGET_RATIO * self._reports / self._ratio_sum)
            self._ratio_sum = float(0)
            self._reports = 0
            self._most_used = float(0)

    def _adapt(self, gradient: float) -> None:
        factor = min(max(gradient, MAX_CUT), MAX_GROWTH)
        if factor > 1 and self._most_used < MIN_USE:
            return
        least = max(1.0, self.max_concurrency * MIN_SHARE)
        self._requests = min(max(self._requests * factor, least), self.max_concurrency)
