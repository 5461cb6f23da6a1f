"""Find which waiting request goes next and to which backend server."""

from collections.abc import Iterable
from itertools import islice

from marjoramfall.request.events import WaitingRequest
from marjoramfall.request.placement import Placement, choose
from marjoramfall.request.request_queue import RequestQueue
from marjoramfall.request.server_group import Rooms, ServerGroup
from marjoramfall.request.server_state import ServerState
from marjoramfall.version.router import VersionRouter

# Requests that no free server may serve are passed over up to this count.
MAX_PASSED_OVER = 256


class PlacementSearch:
    """Search the queue in order for a request that has a server."""

    def __init__(
        self, queue: RequestQueue, group: ServerGroup, router: VersionRouter
    ) -> None:
        self._queue = queue
        self._group = group
        self._router = router

    def next_placement(self, rooms: Rooms, now_ms: float) -> Placement | None:
        """Return the next request with its server, or None."""
        first = self._queue.first()
        if first is None:
            return None
        placement = self._place(first, rooms, now_ms)
        if placement is not None or not rooms.common:
            return placement
        for waiting in islice(self._queue, MAX_PASSED_OVER):
            # Room kept for sessions stays closed to whoever is behind others.
            placement = self._choose(waiting, rooms.common, now_ms)
            if placement is not None:
                return placement
        return None

    def place_new(
        self, waiting: WaitingRequest, rooms: Rooms, now_ms: float
    ) -> Placement | None:
        """Return a server for a new request while nothing else has room."""
        if rooms.by_id and waiting is self._queue.first():
            return self._place(waiting, rooms, now_ms)
        return None

    def _place(
        self, waiting: WaitingRequest, rooms: Rooms, now_ms: float
    ) -> Placement | None:
        if not waiting.work.decode_tokens:
            # Plain calls have no prefix, so that no room is kept from them.
            return self._choose(waiting, rooms.by_id.values(), now_ms)
        home = self._group.home_of(waiting, rooms)
        if home is None or home in rooms.common:
            return self._choose(waiting, rooms.common, now_ms)
        return self._choose(waiting, (*rooms.common, home), now_ms)

    def _choose(
        self, waiting: WaitingRequest, servers: Iterable[ServerState], now_ms: float
    ) -> Placement | None:
        if not servers:
            return None
        for version_id in self._router.preferred_versions(waiting, now_ms):
            placement = choose(waiting, servers, version_id, now_ms)
            if placement is not None:
                return placement
        return None
