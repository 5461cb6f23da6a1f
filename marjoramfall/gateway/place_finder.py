"""Find the place of a call's next attempt, and wait for one if it has run."""

from contextlib import ExitStack

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.place_search import PlaceSearch
from marjoramfall.gateway.servers.demand import Demand, give_up_ms
from marjoramfall.gateway.servers.overload import NoServerError
from marjoramfall.gateway.servers.service_queue import Assignment

# Between two tries of a request that no server takes for the moment.
RETURN_PAUSE_MS = 100.0


class PlaceFinder:
    """Find a place for a call at a server that may get it."""

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock

    def find(self, call: Call) -> Assignment:
        """Return a place; raises `OverloadError` or `gevent.Timeout`.

        A request that has run may return to servers that have failed it, and waits
        while there is none. A peer that has none leaves it to others.
        """
        if call.has_failed_again:
            self._clock.sleep_ms(RETURN_PAUSE_MS)
        while True:
            demand = self._build_demand(call)
            try:
                return self._search(call, demand)
            except NoServerError as error:
                if call.may_be_given_back or not self._may_wait(demand):
                    raise
                self._log_wait(call, error)
            self._clock.sleep_ms(RETURN_PAUSE_MS)

    def _build_demand(self, call: Call) -> Demand:
        demand = self._fleet.build_demand(call)
        demand.may_return = demand.has_run
        demand.give_up_ms = give_up_ms(call)
        return demand

    def _may_wait(self, demand: Demand) -> bool:
        return demand.has_run and self._clock.monotonic_ms() < demand.give_up_ms

    def _search(self, call: Call, demand: Demand) -> Assignment:
        search = PlaceSearch(self._fleet, demand, self._clock)
        with ExitStack() as stack:
            stack.callback(search.end)
            search.submit()
            assignment = search.wait()
        self._log_placement(call, assignment, demand)
        return assignment

    def _log_wait(self, call: Call, error: NoServerError) -> None:
        logger.bind(
            request=call.fields.attempt_id,
            service=call.service_id,
            reason=str(error),
            excluded_servers=len(call.excluded_server_ids),
            is_begun=call.is_begun_stream,
        ).info('no server takes the request yet: waiting')

    def _log_placement(
        self, call: Call, assignment: Assignment, demand: Demand
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        load = assignment.load
        logger.bind(
            request=call.fields.attempt_id,
            server=load.server.server_id,
            rank=demand.rank(now_ms),
            waited_ms=round(now_ms - call.received_ms, 1),
            expected_first_ms=round(load.first_response_ms(demand), 1),
            expected_ms=round(load.response_ms(demand, demand.output_tokens)),
            cautious_ms=round(load.response_ms(demand, demand.cautious_output_tokens)),
            left_ms=round(demand.deadline_ms - now_ms),
            is_speed_known=load.speeds.is_known,
            running=load.running,
            running_at_peers=load.peer_running,
            slots=load.server.slots,
            is_local=load.distance.is_local,
            has_failed_before=load.server.server_id in call.excluded_server_ids,
            peers_heard=self._fleet.live_peer_count(),
        ).info('request assigned')
