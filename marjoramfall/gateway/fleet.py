"""Manage the backend servers, the service queues and the retry budgets."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.delegation.delegates import Delegates
from marjoramfall.gateway.delegation.service_paths import ServicePaths
from marjoramfall.gateway.model import BackendServer, Configuration, Service
from marjoramfall.gateway.peers.own_load import OwnLoad
from marjoramfall.gateway.peers.peer_loads import LoadReport, PeerLoads
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.retry_gate import RetryGate
from marjoramfall.gateway.servers.assign_timer import AssignTimer
from marjoramfall.gateway.servers.connection_pool import (
    ConnectionPool,
    max_idle_connections,
)
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.servers.server_limits import ServerLimits
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.server_notices import ServerNotices
from marjoramfall.gateway.servers.service_queue import Assignment, ServiceQueue
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.exchange_results import UnansweredResults, result_of
from marjoramfall.gateway.versions.version_moves import (
    ANY_VERSION,
    VersionChoice,
    VersionMoves,
)

# Additional cost of a server in another data centre.
REMOTE_COST_MS = 5.0
# The load that other groups put on a server is known late. Their servers are used
# only when the own ones are full, and one slot of each is left to its own group.
OTHER_GROUP_COST_MS = 200.0
OTHER_GROUP_RESERVED_SLOTS = 1
ASSIGN_INTERVAL_MS = 15.0


@dataclass(frozen=True, slots=True)
class SharingBasis:
    """Hold what the division of servers and connections among entries depends on."""

    entry_count: int
    groups_revision: int
    server_ids: frozenset[str]


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
        retry_budgets: RetryBudgets,
        limits: SharedLimits,
        notify_peers: Callable[[], None],
        rules: PlacementRules | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._pool = pool
        self._moves = moves
        self._rules = rules or PlacementRules()
        self._unanswered_results = UnansweredResults(clock)
        self._data_centre = data_centre
        self._service_by_id: dict[str, Service] = {}
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self._load_by_id: dict[str, ServerLoad] = {}
        self._peer_loads = PeerLoads(self._load_by_id, self.queue)
        self.paths = ServicePaths(
            clock,
            pool,
            load_by_id=self._load_by_id,
            find_queue=self.queue,
            notify_peers=notify_peers,
        )
        self.delegates = Delegates(peers, self.paths)
        self.own_load = OwnLoad(
            clock,
            peers,
            self._load_by_id,
            self._queue_by_service,
            is_path_lost=self.paths.is_lost,
        )
        self.retries = RetryGate(clock, peers, retry_budgets, self.queue, notify_peers)
        self.server_limits = ServerLimits(clock, limits, notify_peers=notify_peers)
        self.server_notices = ServerNotices(
            clock, self._load_by_id.get, entry_count=peers.entry_count
        )
        self._report_timer = AssignTimer(self.assign)
        self._limit_timer = AssignTimer(self.assign)
        self._sharing_basis: SharingBasis | None = None
        self.notify_peers = notify_peers

    def set_config(self, config: Configuration) -> None:
        """Replace the services by those of a configuration."""
        self._sharing_basis = None
        self._service_by_id = config.service_by_id

    def set_servers(self, servers: list[BackendServer]) -> None:
        """Replace the registered servers; known ones keep their load and speeds."""
        by_id = {server.server_id: server for server in servers}
        for server_id in tuple(self._load_by_id):
            if server_id not in by_id:
                self._remove(server_id)
        for server in servers:
            self._add(server)
        self._share_servers()
        self.assign()

    def queue(self, service_id: str) -> ServiceQueue:
        """Return the queue of a service, created on first use."""
        queue = self._queue_by_service.get(service_id)
        if queue is None:
            queue = ServiceQueue(
                self._clock,
                is_model=self._is_model(service_id),
                schedule_assign=self._limit_timer.schedule,
                rules=self._rules,
                entry_count=self._peers.group_entry_count,
            )
            self._queue_by_service[service_id] = queue
        return queue

    def choose_version(self, service_id: str) -> VersionChoice:
        """Return which versions the next request of a service may use."""
        choice = self._moves.choose(service_id, is_in_touch=self._peers.is_in_touch())
        loads = self.queue(service_id).load_by_id.values()
        # While no server runs an allowed version, any version is used rather than
        # failing the request.
        if any(choice.allows(load.server.version) for load in loads):
            return choice
        return ANY_VERSION

    def on_outcome(
        self, call: Call, assignment: Assignment, outcome: Outcome, *, status: int
    ) -> None:
        """Record what the result of a request says of its server and the path."""
        if outcome.is_broken_off:
            return
        self._record_path(assignment, outcome)
        if outcome.ending is Ending.NOT_REACHED:
            return
        run = assignment.load.server.run
        result = result_of(
            call,
            assignment,
            outcome,
            status=status,
            now_ms=self._clock.monotonic_ms(),
        )
        if not outcome.is_answered:
            self._unanswered_results.add(run, result)
            return
        for earlier in self._unanswered_results.take_answered(run):
            self._moves.on_result(earlier)
        if outcome.ending is not Ending.NOT_RUN:
            self._moves.on_result(result)

    @contextmanager
    def releasing(self, assignment: Assignment) -> Iterator[None]:
        """Free the slot of an assignment at the end of the block."""
        try:
            yield
        finally:
            self.finish(assignment)

    def finish(self, assignment: Assignment) -> None:
        """Free the slot of an assignment and notify peers."""
        self.queue(assignment.load.server.service_id).finish(assignment)
        self.notify_peers()

    def live_peer_count(self) -> int:
        """Return the number of peers whose load is counted."""
        return self._peer_loads.peer_count

    def assign(self) -> None:
        """Assign free slots to the waiting requests of all services."""
        for queue in self._queue_by_service.values():
            if queue.waiters:
                queue.assign()

    def on_report(self, report: LoadReport) -> None:
        """Replace the load of a peer or group and assign waiting requests."""
        self.server_limits.merge(report.server_limits, self._load_by_id.get)
        self._peer_loads.replace(report, self._clock.monotonic_ms())
        self._assign_soon()

    def drop_silent_peers(self) -> None:
        """Remove the load of silent peers.

        Also updates what depends on the number of peers: remote costs, reserved
        slots and the limits of idle connections.
        """
        self._share_servers()
        sources = {peer.state.vm for peer in self._peers.live_peers()}
        sources |= self._peers.outside.live_sources()
        self._peer_loads.keep_only(sources)
        self.server_limits.refill(self._peers.unresponsive_share())
        self.assign()

    def _record_path(self, assignment: Assignment, outcome: Outcome) -> None:
        server = assignment.load.server
        if not outcome.is_answered:
            self.paths.on_failure(server)
        elif outcome.ending is not Ending.NOT_RUN or outcome.response is not None:
            self.paths.on_response(server, assignment.request.started_ms)

    def _assign_soon(self) -> None:
        if self._peers.is_large:
            # Hundreds of datagrams arrive per second; one run serves many of them.
            self._report_timer.schedule(ASSIGN_INTERVAL_MS)
        else:
            self.assign()

    def _add(self, server: BackendServer) -> None:
        known = self._load_by_id.get(server.server_id)
        if known is not None and known.server.born_ms == server.born_ms:
            if known.server.address != server.address:
                self._pool.close_idle(server.server_id)
            known.update_server(server)
            return
        if known is not None:
            self._remove(server.server_id)
        self._sharing_basis = None
        service = self._service_by_id.get(server.service_id)
        tokens_per_event = service.tokens_per_event if service else 1
        load = ServerLoad(
            server,
            is_model=self._is_model(server.service_id),
            events_per_token=1 / tokens_per_event,
            remote_cost_ms=0,
        )
        self._load_by_id[server.server_id] = load
        self._peer_loads.apply_to_new_server(load)
        self.server_notices.apply_to_new_server(load)
        self.queue(server.service_id).load_by_id[server.server_id] = load

    def _share_servers(self) -> None:
        entry_count = self._peers.entry_count()
        basis = SharingBasis(
            entry_count, self._peers.groups.revision, frozenset(self._load_by_id)
        )
        if basis == self._sharing_basis:
            return
        self._sharing_basis = basis
        owned_ids = self._owned_server_ids()
        for load in self._load_by_id.values():
            self._apply_locality(load, is_owned=load.server.server_id in owned_ids)
            self._set_idle_limit(load, entry_count)

    def _owned_server_ids(self) -> set[str]:
        """Return the servers that the group of this entry uses first.

        A plain service has few servers, which all groups share.
        """
        servers = [load.server for load in self._load_by_id.values()]
        models = [server for server in servers if self._is_model(server.service_id)]
        plain = [server for server in servers if not self._is_model(server.service_id)]
        owned = self._peers.groups.own_servers(models)
        owned.update(server.server_id for server in plain)
        return owned

    def _apply_locality(self, load: ServerLoad, *, is_owned: bool) -> None:
        is_local = load.server.data_centre == self._data_centre
        load.remote_cost_ms = 0 if is_local else REMOTE_COST_MS
        if not is_owned:
            load.remote_cost_ms = OTHER_GROUP_COST_MS
        load.reserve_slots(0 if is_owned else OTHER_GROUP_RESERVED_SLOTS)
        queue = self.queue(load.server.service_id)
        if is_owned:
            queue.other_group_server_ids.discard(load.server.server_id)
        else:
            queue.other_group_server_ids.add(load.server.server_id)
        queue.randomizes_choice = self._peers.is_large and not load.is_model

    def _set_idle_limit(self, load: ServerLoad, entry_count: int) -> None:
        service = self._service_by_id.get(load.server.service_id)
        limit = max_idle_connections(
            service.max_connections if service else 0,
            slots=load.server.slots,
            entry_count=entry_count,
        )
        self._pool.set_max_idle(load.server.server_id, limit)

    def _remove(self, server_id: str) -> None:
        load = self._load_by_id.pop(server_id)
        queue = self.queue(load.server.service_id)
        queue.load_by_id.pop(server_id, None)
        queue.other_group_server_ids.discard(server_id)
        self._pool.remove(server_id)
        self.server_limits.remove(load.server)

    def _is_model(self, service_id: str) -> bool:
        service = self._service_by_id.get(service_id)
        return service is not None and service.is_model


def pick_weighted(weights: list[float]) -> int:
    """Return a random index, chosen in proportion to the weights."""
    return random.choices(range(len(weights)), weights)[0]
