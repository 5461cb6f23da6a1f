"""Know all backend servers, their load here and at the peers, and the limits."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import spawn_later
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.call import Call
from marjoramfall.gateway.connection_pool import ConnectionPool, max_idle_connections
from marjoramfall.gateway.exchange import FIRST_SERVER_ERROR_STATUS
from marjoramfall.gateway.model import BackendServer, Configuration, Service
from marjoramfall.gateway.outcome import Ending, Outcome
from marjoramfall.gateway.own_load import OwnLoad
from marjoramfall.gateway.peer_loads import PeerLoads
from marjoramfall.gateway.peer_state import (
    PeerState,
)
from marjoramfall.gateway.peer_table import PeerTable
from marjoramfall.gateway.retry_allowance import RetryAllowances
from marjoramfall.gateway.server_load import ServerLoad
from marjoramfall.gateway.service_queue import Place, ServiceQueue
from marjoramfall.gateway.version_moves import (
    ANY_VERSION,
    VersionChoice,
    VersionMoves,
)

# What a server in another data centre costs more than one nearby.
DISTANCE_MS = 5.0
# In a large system the load of distant servers is known late. They are used
# only when those nearby are full, and a place of theirs is left to others.
FAR_DISTANCE_MS = 200.0
FAR_RESERVE = 1
ASSIGN_INTERVAL_MS = 15.0


class Fleet:
    """Hold a queue for each service and the load of each server."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTable,
        pool: ConnectionPool,
        moves: VersionMoves,
        *,
        data_centre: str,
        allowances: RetryAllowances,
        notify: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._pool = pool
        self._moves = moves
        self._data_centre = data_centre
        self._service_by_id: dict[str, Service] = {}
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self._load_by_id: dict[str, ServerLoad] = {}
        self._peer_loads = PeerLoads(self._load_by_id, self.queue)
        self.own_load = OwnLoad(clock, peers, self._load_by_id, self._queue_by_service)
        self._allowances = allowances
        self._is_assigning = False
        self.notify = notify

    def set_config(self, config: Configuration) -> None:
        """Take over the services of a configuration."""
        self._service_by_id = config.service_by_id

    def set_servers(self, servers: list[BackendServer]) -> None:
        """Take over the registered servers; known ones keep what was learnt."""
        by_id = {server.server_id: server for server in servers}
        for server_id in tuple(self._load_by_id):
            if server_id not in by_id:
                self._remove(server_id)
        for server in servers:
            self._add(server)
        self.assign()

    def queue(self, service_id: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._queue_by_service.get(service_id)
        if queue is None:
            queue = ServiceQueue(self._clock, is_model=self._is_model(service_id))
            self._queue_by_service[service_id] = queue
        return queue

    def choose_version(self, service_id: str) -> VersionChoice:
        """Return which version the next request of a service may use."""
        choice = self._moves.choose(service_id)
        loads = self.queue(service_id).load_by_id.values()
        # A version that no server runs yet must not fail requests.
        if any(choice.allows(load.server.version) for load in loads):
            return choice
        return ANY_VERSION

    def on_outcome(
        self, call: Call, place: Place, outcome: Outcome, *, status: int
    ) -> None:
        """Let moves learn from the end of a request at a server."""
        if outcome.ending.guarantees_not_run:
            return
        delivered = outcome.ending is Ending.DELIVERED
        first_ms = None
        if call.first_byte_ms is not None:
            first_ms = call.first_byte_ms - place.run.started_ms
        self._moves.on_result(
            place.load.server.service_id,
            place.load.server.version,
            route=call.route.name,
            failed=not delivered or status >= FIRST_SERVER_ERROR_STATUS,
            first_ms=first_ms,
        )

    def on_request(self, call: Call) -> None:
        """Count a request for the allowance of repeats."""
        allowance = self._allowances.find(call.service_id)
        allowance.on_request(self._clock.monotonic_ms())

    def try_repeat(self, call: Call) -> bool:
        """Count and allow sending a request once more."""
        allowance = self._allowances.find(call.service_id)
        allowed = allowance.try_repeat(
            self._clock.monotonic_ms(), self._peers.member_count()
        )
        if not allowed:
            logger.bind(
                request=call.fields.attempt_id, service=call.service_id
            ).warning('repeat not allowed by the shared budget')
        return allowed

    @contextmanager
    def held(self, place: Place) -> Iterator[None]:
        """Free a place at the end of the block."""
        try:
            yield
        finally:
            self.finish(place)

    def finish(self, place: Place) -> None:
        """Free a place."""
        self.queue(place.load.server.service_id).finish(place)
        self.notify()

    def fresh_peer_count(self) -> int:
        """Return how many peers' load is counted."""
        return self._peer_loads.peer_count

    def assign(self) -> None:
        """Let waiting requests have the places that are free now."""
        for queue in self._queue_by_service.values():
            if queue.waiters:
                queue.assign()

    def on_peer_state(self, state: PeerState, heard_ms: float) -> None:
        """Replace what is known of a peer's requests."""
        self._peer_loads.replace(state, heard_ms)
        self._assign_soon()

    def forget_silent(self) -> None:
        """Stop counting the requests of peers that fell silent."""
        members = self._peers.member_count()
        for load in self._load_by_id.values():
            self._set_distance(load)
            self._limit_idle(load, members)
        self._peer_loads.keep_only({peer.state.vm for peer in self._peers.fresh()})
        self.assign()

    def _assign_soon(self) -> None:
        if not self._peers.is_large:
            self.assign()
        elif not self._is_assigning:
            # Hundreds of datagrams a second need not each be acted upon.
            self._is_assigning = True
            spawn_later(ASSIGN_INTERVAL_MS / MS_PER_SECOND, self._assign_later)

    def _assign_later(self) -> None:
        self._is_assigning = False
        self.assign()

    def _add(self, server: BackendServer) -> None:
        known = self._load_by_id.get(server.server_id)
        if known is not None and known.server.born_ms == server.born_ms:
            if known.server.address != server.address:
                self._pool.close_idle(server.server_id)
            known.use_server(server)
            return
        if known is not None:
            self._remove(server.server_id)
        service = self._service_by_id.get(server.service_id)
        tokens_per_event = service.tokens_per_event if service else 1
        load = ServerLoad(
            server,
            is_model=self._is_model(server.service_id),
            events_per_token=1 / tokens_per_event,
            distance_ms=0,
        )
        self._load_by_id[server.server_id] = load
        self._set_distance(load)
        self._limit_idle(load, self._peers.member_count())
        self._peer_loads.count_for(load)
        self.queue(server.service_id).load_by_id[server.server_id] = load

    def _set_distance(self, load: ServerLoad) -> None:
        is_near = load.server.data_centre == self._data_centre
        is_large = self._peers.is_large
        # Plain services have few servers, which all data centres share.
        prefers_near = is_large and load.is_model
        far_ms = FAR_DISTANCE_MS if prefers_near else DISTANCE_MS
        load.distance_ms = 0 if is_near else far_ms
        load.keep_free(FAR_RESERVE if prefers_near and not is_near else 0)
        queue = self.queue(load.server.service_id)
        queue.spreads = is_large and not load.is_model

    def _limit_idle(self, load: ServerLoad, members: int) -> None:
        service = self._service_by_id.get(load.server.service_id)
        limit = max_idle_connections(
            service.max_connections if service else 0,
            slots=load.server.slots,
            entry_count=members,
        )
        self._pool.set_max_idle(load.server.server_id, limit)

    def _remove(self, server_id: str) -> None:
        load = self._load_by_id.pop(server_id)
        self.queue(load.server.service_id).load_by_id.pop(server_id, None)
        self._pool.remove(server_id)

    def _is_model(self, service_id: str) -> bool:
        service = self._service_by_id.get(service_id)
        return service is not None and service.is_model


def pick_weighted(weights: list[float]) -> int:
    """Return the index of a random choice by weight."""
    return random.choices(range(len(weights)), weights)[0]
