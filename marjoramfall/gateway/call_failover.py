"""Find another place for a call among the servers and peers of an entry."""

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.delegation.delegates import Delegates
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.place_search import PlaceSearch
from marjoramfall.gateway.servers.failover import Failover
from marjoramfall.gateway.servers.overload import OverloadError
from marjoramfall.gateway.servers.service_queue import Assignment

# After a search without a place.
SEARCH_PAUSE_MS = 300.0


class CallFailover(Failover):
    """Look for another place for a call while its server is silent.

    A place and the retry budget are asked for before the exchange ends: without
    them, whatever the server goes on to send is better than nothing.
    """

    def __init__(
        self, call: Call, fleet: Fleet, delegates: Delegates, clock: Clock
    ) -> None:
        self._call = call
        self._fleet = fleet
        self._delegates = delegates
        self._clock = clock
        self._current: Assignment | None = None
        self._search: PlaceSearch | None = None
        self._reserved: Assignment | None = None
        self._paused_until_ms = 0.0
        self._is_moving = False

    def begin(self, assignment: Assignment) -> None:
        """Start anew for the exchange that uses a place."""
        self._current = assignment
        self._paused_until_ms = 0
        self._is_moving = False

    def take_move(self) -> bool:
        """Return whether the last exchange ended for a move that is allowed.

        If it ended otherwise, its search for another place ends as well.
        """
        is_moving = self._is_moving
        self._is_moving = False
        if not is_moving:
            self.cancel()
        return is_moving

    @property
    def has_place(self) -> bool:
        """Return whether a place is reserved."""
        return self._reserved is not None

    def take_place(self) -> Assignment:
        """Return the reserved place."""
        reserved = self._reserved
        self._reserved = None
        return reserved

    def hold(self, place: Assignment) -> None:
        """Go on at a place that was reserved otherwise."""
        self.cancel()
        self._reserved = place
        self._is_moving = True

    @property
    def is_allowed(self) -> bool:
        """Return whether the route lets the request run once more."""
        return self._call.may_repeat and self._call.attempts_left > 0

    def is_possible(self) -> bool:
        """Return whether another server, or a peer, could serve the request."""
        if not self.is_allowed:
            return False
        return (
            self._has_other_server() or self._delegates.choose(self._call) is not None
        )

    def reserve(self) -> bool:
        """Look for another place, and return whether the request can move."""
        if self._clock.monotonic_ms() < self._paused_until_ms:
            return False
        if self._delegates.choose(self._call) is not None:
            return self._try_move()
        if self._search is None and not self._begin_search():
            return False
        if self._search.rejection is not None:
            self._pause(self._search.rejection)
            return False
        if not self._search.is_found():
            return False
        if self._search.is_revoked():
            # A later place may be at a server that serves the request.
            self.cancel()
            return False
        return self._try_move()

    def cancel(self) -> None:
        """Leave the queue, and free a place that is reserved."""
        if self._search is not None:
            self._search.end()
            self._search = None
        if self._reserved is not None:
            self._fleet.finish(self.take_place())

    def _has_other_server(self) -> bool:
        queue = self._fleet.queue(self._call.service_id)
        return queue.has_other_server(self._current)

    def _begin_search(self) -> bool:
        """Enter the queue of the service; return whether there is any server."""
        if not self._has_other_server():
            return False
        call = self._call
        demand = self._fleet.build_demand(call)
        # The wait costs nothing, as the first server may still go on.
        demand.give_up_ms = call.deadline_ms
        demand.excluded_server_ids = {
            *call.excluded_server_ids,
            self._current.load.server.server_id,
        }
        self._search = PlaceSearch(self._fleet, demand, self._clock)
        try:
            self._search.submit()
        except OverloadError as error:
            self._pause(error)
            return False
        return True

    def _try_move(self) -> bool:
        retries = self._fleet.retries
        if not retries.try_retry(self._call, is_running=True):
            self._pause('retry budget spent', retries.pause_ms)
            return False
        if self._search is not None:
            self._reserved = self._search.take()
            self._search = None
        self._is_moving = True
        return True

    def _pause(self, reason: object, pause_ms: float = SEARCH_PAUSE_MS) -> None:
        self.cancel()
        self._paused_until_ms = self._clock.monotonic_ms() + pause_ms
        logger.bind(
            request=self._call.fields.attempt_id,
            server=self._current.load.server.server_id,
            reason=str(reason),
        ).info('no other place yet: waiting for the silent server')
