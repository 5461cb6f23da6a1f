"""Predict which prompt prefixes a backend server has cached."""

from marjoramfall.request.events import CacheEvent
from marjoramfall.request.recent_map import RecentMap

MAX_HASHES = 32_768
CACHED = 'cached'
SMOOTHING = 0.1
MIN_ACCURACY = 0.1


class PrefixIndex:
    """Predict prefix cache hits from placements, cache events and responses.

    Cache events arrive late and some are lost, so the prediction is scaled by
    the share of predicted tokens that responses report as cached.
    """

    def __init__(self) -> None:
        self._hashes = RecentMap(MAX_HASHES)
        self._accuracy = float(1)

    def record(self, prefix_hashes: tuple[int, ...]) -> None:
        """Record prefixes that the server is expected to cache."""
        self._hashes.put_all(prefix_hashes, CACHED)

    def on_event(self, event: CacheEvent) -> None:
        """Apply a change that the server reports of its cache."""
        if event.stored:
            self.record((event.prefix_hash,))
        else:
            self._hashes.remove(event.prefix_hash)

    def count_cached_blocks(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached.

        A block's hash covers all blocks before it, and the block is evicted no
        later than they are, so a binary search finds the last cached one.
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
        """Return how many prefill tokens are expected to be cached."""
        if not prefix_hashes:
            return 0
        share = self.count_cached_blocks(prefix_hashes) / len(prefix_hashes)
        return share * prefill_tokens * self._accuracy

    def calibrate(self, expected_tokens: float, cached_tokens: int) -> None:
        """Update the accuracy from the cached tokens that a response reports."""
        if expected_tokens > 0:
            observed = min(1, self._accuracy * cached_tokens / expected_tokens)
            self._accuracy += SMOOTHING * (observed - self._accuracy)
            self._accuracy = max(self._accuracy, MIN_ACCURACY)
