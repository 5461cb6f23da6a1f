"""Track the grants whose requests have not finished."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramfall.request.events import Grant, WorkEstimate


@dataclass(slots=True, kw_only=True, eq=False)
class ActiveGrant:
    """Describe a granted request, which uses credits until it finishes.

    `started` is set once the entry process reports the start of the request.
    """

    grant: Grant
    work: WorkEstimate
    started: bool = False
    deadline_ms: float = float('inf')
    expected_cached: float = 0
    predicted_first_ms: float = 0


class ActiveGrants:
    """Index active grants by request, by entry process and by expiry."""

    def __init__(self) -> None:
        self._active_by_id: dict[str, ActiveGrant] = {}
        self._request_ids_by_entry: dict[str, set[str]] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._active_by_id)

    def __iter__(self) -> Iterator[ActiveGrant]:
        return iter(self._active_by_id.values())

    def get(self, request_id: str) -> ActiveGrant | None:
        """Return the active grant of a request, or None."""
        return self._active_by_id.get(request_id)

    def add(self, active: ActiveGrant) -> None:
        """Add a grant; its request must not have one."""
        grant = active.grant
        self._active_by_id[grant.request_id] = active
        self._request_ids_by_entry.setdefault(grant.entry_id, set()).add(
            grant.request_id
        )
        if not active.started:
            heapq.heappush(self._expiries, (grant.expires_ms, grant.request_id))

    def remove(self, request_id: str) -> ActiveGrant | None:
        """Remove the grant of a request and return it, or None."""
        active = self._active_by_id.pop(request_id, None)
        if active is not None:
            ids = self._request_ids_by_entry[active.grant.entry_id]
            ids.discard(request_id)
            if not ids:
                self._request_ids_by_entry.pop(active.grant.entry_id)
        return active

    def request_ids_of_entry(self, entry_id: str) -> list[str]:
        """Return the sorted ids of the requests granted to an entry process."""
        return sorted(self._request_ids_by_entry.get(entry_id, ()))

    def pop_expired(self, now_ms: float) -> list[str]:
        """Return the ids of requests whose grant expired before they started.

        The grants stay until they are removed.
        """
        expired_ids: list[str] = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, request_id = heapq.heappop(self._expiries)
            active = self._active_by_id.get(request_id)
            if active is None or active.started:
                continue
            # A removed grant stays in the heap; the request may have a newer one.
            if active.grant.expires_ms == expires_ms:
                expired_ids.append(request_id)
        return expired_ids
