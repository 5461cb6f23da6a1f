"""Find a place for a request at a server of its service."""

from gevent.event import AsyncResult

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.overload import OverloadError
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.servers.shedding import Waiter


class PlaceSearch:
    """Wait in the queue of a service for a place, and free one that is not used."""

    def __init__(self, fleet: Fleet, demand: Demand, clock: Clock) -> None:
        self._fleet = fleet
        self._demand = demand
        self._clock = clock
        self._queue = fleet.queue(demand.service_id)
        self._assigned: AsyncResult = AsyncResult()
        self._waiter = Waiter(demand, self._assigned.set, self._assigned.set_exception)
        self._is_taken = False

    def submit(self) -> None:
        """Enter the queue; raises `OverloadError`."""
        self._queue.submit(self._waiter)
        self._fleet.notify_peers()

    def wait(self) -> Assignment:
        """Return the place; raises `OverloadError` or `gevent.Timeout`."""
        wait_ms = max(0, self._demand.give_up_ms - self._clock.monotonic_ms())
        assignment = self._assigned.get(timeout=wait_ms / MS_PER_SECOND)
        self._is_taken = True
        return assignment

    @property
    def rejection(self) -> OverloadError | None:
        """Return why no place will be found, None while one may be."""
        return self._assigned.exception

    def is_found(self) -> bool:
        """Return whether a place was found."""
        return self._assigned.successful()

    def is_revoked(self) -> bool:
        """Return whether a rule excludes the place since it was found."""
        return self._fleet.revoked_by(self._assigned.value) is not None

    def take(self) -> Assignment:
        """Return the place that was found."""
        self._is_taken = True
        return self._assigned.value

    def end(self) -> None:
        """Leave the queue, and free a place that was found but not taken.

        The caller may have disconnected just as its request was assigned.
        """
        self._queue.withdraw(self._waiter)
        if not self._is_taken and self._assigned.successful():
            self._is_taken = True
            self._fleet.finish(self._assigned.value)
