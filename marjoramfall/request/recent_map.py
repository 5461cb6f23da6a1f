"""Keep the most recently written keys of a mapping in bounded memory."""

from collections.abc import Iterable


class RecentMap:
    """Map prefix hashes to strings and evict the older half when full.

    Two plain dicts cost a fraction of an ordered one, and a grant writes
    dozens of hashes.
    """

    def __init__(self, max_entries: int) -> None:
        self._generation_size = max_entries // 2
        self._young: dict[int, str] = {}
        self._old: dict[int, str] = {}

    def __contains__(self, key: int) -> bool:
        return key in self._young or key in self._old

    def get(self, key: int) -> str | None:
        """Return the value of a key, or None."""
        value = self._young.get(key)
        return self._old.get(key) if value is None else value

    def put(self, key: int, value: str) -> None:
        """Set the value of a key."""
        self._young[key] = value
        self._rotate()

    def put_all(self, keys: Iterable[int], value: str) -> None:
        """Set the same value for all keys."""
        self._young.update(dict.fromkeys(keys, value))
        self._rotate()

    def remove(self, key: int) -> None:
        """Remove a key if it is present."""
        self._young.pop(key, None)
        self._old.pop(key, None)

    def _rotate(self) -> None:
        if len(self._young) > self._generation_size:
            self._old = self._young
            self._young = {}
