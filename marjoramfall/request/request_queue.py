"""Order the waiting requests of an engine group."""

from collections.abc import Iterator

from sortedcontainers import SortedDict

from marjoramfall.request.events import WaitingRequest


class RequestQueue:
    """Keep waiting requests in the order in which they should be granted."""

    def __init__(self) -> None:
        self._requests_by_key: SortedDict = SortedDict()
        self._keys_by_id: dict[str, tuple[int, float, str]] = {}

    def __len__(self) -> int:
        return len(self._keys_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._keys_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._requests_by_key.values())

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that is not in the queue yet."""
        key = (waiting.tier_rank, waiting.deadline_ms, waiting.request_id)
        self._keys_by_id[waiting.request_id] = key
        self._requests_by_key[key] = waiting

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request and return it, or None if it does not wait."""
        key = self._keys_by_id.pop(request_id, None)
        if key is None:
            return None
        return self._requests_by_key.pop(key)
