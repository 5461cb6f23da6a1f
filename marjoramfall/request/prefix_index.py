"""Remember which prompt prefixes a backend server probably caches."""

from marjoramfall.request.events import CacheEvent
from marjoramfall.request.recent_map import RecentMap

MAX_HASHES = 32_768
CACHED = 'cached'
SMOOTHING = 0.1
MIN_ACCURACY = 0.1


class PrefixIndex:
    """Predict prefix hits from placements, cache events and responses.

    Events come late and with gaps, so that the prediction is scaled by the
    share of predicted tokens that responses report as cached.
    """

    def __init__(self) -> None:
        self._hashes = RecentMap(MAX_HASHES)
        self._accuracy = float(1)

    def record(self, prefix_hashes: tuple[int, ...]) -> None:
        """Assume that the server caches the prefixes of a placed request."""
        self._hashes.put_all(prefix_hashes, CACHED)

    def on_event(self, event: CacheEvent) -> None:
        """Take what the server says of its cache."""
        if event.stored:
            self.record((event.prefix_hash,))
        else:
            self._hashes.remove(event.prefix_hash)

    def count_cached_blocks(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading hashes are cached.

        A hash covers everything before it and is evicted no later than its
        prefix, so that a binary search finds the last cached one.
        """
        low, high = 0, len(prefix_hashes)
        while low < high:
            middle = (low + high) // 2
            if prefix_hashes[middle] in self._hashes:
                low = middle + 1
            else:
                high = middle
        return low

    def expected_tokens(
        self, prefix_hashes: tuple[int, ...], prefill_tokens: int
    ) -> float:
        """Return the tokens of a prompt that are expected to be cached."""
        if not prefix_hashes:
            return 0
        share = self.count_cached_blocks(prefix_hashes) / len(prefix_hashes)
        return share * prefill_tokens * self._accuracy

    def calibrate(self, expected_tokens: float, cached_tokens: int) -> None:
        """Correct the prediction by what a response reported as cached."""
        if expected_tokens > 0:
            observed = min(1, self._accuracy * cached_tokens / expected_tokens)
            self._accuracy += SMOOTHING * (observed - self._accuracy)
            self._accuracy = max(self._accuracy, MIN_ACCURACY)
