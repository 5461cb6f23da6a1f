"""Find the next request to dispatch and its backend server."""

from collections.abc import Iterable
from itertools import islice

from marjoramfall.request.events import WaitingRequest
from marjoramfall.request.placement import Placement, best_placement
from marjoramfall.request.request_queue import RequestQueue
from marjoramfall.request.server_group import AvailableServers, ServerGroup
from marjoramfall.request.server_state import ServerState
from marjoramfall.version.router import VersionRouter

# Bounds the search for a request that an available server may serve.
MAX_SKIPPED_REQUESTS = 256


class PlacementSearch:
    """Search the queue in order for a request that can be placed."""

    def __init__(
        self, queue: RequestQueue, group: ServerGroup, router: VersionRouter
    ) -> None:
        self._queue = queue
        self._group = group
        self._router = router

    def next_placement(
        self, available: AvailableServers, now_ms: float
    ) -> Placement | None:
        """Return the placement of the first request that has one, or None."""
        first = self._queue.first()
        if first is None:
            return None
        placement = self._place_with_affinity(first, available, now_ms)
        if placement is not None or not available.unreserved:
            return placement
        for waiting in islice(self._queue, MAX_SKIPPED_REQUESTS):
            # Only the first request may use the capacity reserved for sessions.
            placement = self._choose_placement(waiting, available.unreserved, now_ms)
            if placement is not None:
                return placement
        return None

    def place_new(
        self, waiting: WaitingRequest, available: AvailableServers, now_ms: float
    ) -> Placement | None:
        """Return a placement of a new request while no server has unreserved capacity.

        Returns None unless the request is the first of the queue.
        """
        if available.by_id and waiting is self._queue.first():
            return self._place_with_affinity(waiting, available, now_ms)
        return None

    def _place_with_affinity(
        self, waiting: WaitingRequest, available: AvailableServers, now_ms: float
    ) -> Placement | None:
        if not waiting.work.decode_tokens:
            # Calls of plain services have no prefix; reserved capacity is open to
            # them.
            return self._choose_placement(waiting, available.by_id.values(), now_ms)
        session_server = self._group.session_server(waiting, available)
        if session_server is None or session_server in available.unreserved:
            return self._choose_placement(waiting, available.unreserved, now_ms)
        return self._choose_placement(
            waiting, (*available.unreserved, session_server), now_ms
        )

    def _choose_placement(
        self, waiting: WaitingRequest, servers: Iterable[ServerState], now_ms: float
    ) -> Placement | None:
        if not servers:
            return None
        for version_id in self._router.preferred_versions(waiting, now_ms):
            placement = best_placement(waiting, servers, version_id, now_ms)
            if placement is not None:
                return placement
        return None
