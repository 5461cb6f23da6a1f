"""Manage the backend servers, the service queues and the retry budgets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.delegation.delegates import Delegates
from marjoramfall.gateway.delegation.service_paths import ServicePaths
from marjoramfall.gateway.fleet_speeds import FleetSpeeds
from marjoramfall.gateway.model import BackendServer, Configuration, Service
from marjoramfall.gateway.peers.own_load import OwnLoad
from marjoramfall.gateway.peers.peer_loads import LoadReport, PeerLoads
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.retry_gate import RetryGate
from marjoramfall.gateway.server_sharing import ServerSharing
from marjoramfall.gateway.servers.assign_timer import AssignTimer
from marjoramfall.gateway.servers.cold_probes import ColdProbes
from marjoramfall.gateway.servers.connection_pool import (
    ConnectionPool,
)
from marjoramfall.gateway.servers.data_centre_exit import DataCentreExit
from marjoramfall.gateway.servers.demand import Demand, build_demand
from marjoramfall.gateway.servers.excluded_waiters import reject_excluded
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.servers.server_limits import ServerLimits
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.server_memory import MemoryRule, ServerMemory
from marjoramfall.gateway.servers.server_notices import ServerNotices
from marjoramfall.gateway.servers.service_queue import Assignment, ServiceQueue
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.exchange_results import UnansweredResults, result_of
from marjoramfall.gateway.versions.version_moves import (
    ANY_VERSION,
    VersionChoice,
    VersionMoves,
)

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
        retry_budgets: RetryBudgets,
        limits: SharedLimits,
        notify_peers: Callable[[], None],
        rules: PlacementRules | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._pool = pool
        self._moves = moves
        self._cold_probes = ColdProbes(clock, pool, is_chosen=peers.is_user_of)
        self.cold = self._cold_probes.servers
        self.memory = ServerMemory()
        self._rules = (rules or PlacementRules()).extended(
            MemoryRule(self.memory), self._cold_probes.rule
        )
        self._unanswered_results = UnansweredResults(clock)
        self._service_by_id: dict[str, Service] = {}
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self._load_by_id: dict[str, ServerLoad] = {}
        self._peer_loads = PeerLoads(self._load_by_id, self.queue)
        self.speeds = FleetSpeeds(
            clock,
            peers,
            self._peer_loads,
            load_by_id=self._load_by_id,
            queue_by_service=self._queue_by_service,
        )
        self.lengths = self.speeds.lengths
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
            clock,
            self._load_by_id.get,
            entry_count=peers.entry_count,
            on_cold=self.cold.on_answer,
        )
        self._report_timer = AssignTimer(self.assign)
        self._limit_timer = AssignTimer(self.assign)
        self._sharing = ServerSharing(
            peers,
            pool,
            data_centre=data_centre,
            load_by_id=self._load_by_id,
            find_queue=self.queue,
            find_service=self.find_service,
        )
        self.notify_peers = notify_peers

    def set_config(self, config: Configuration) -> None:
        """Replace the services by those of a configuration."""
        self._sharing.reset()
        self._service_by_id = config.service_by_id
        self.cold.use_services(config.service_by_id)
        self.memory.use_services(config.service_by_id)

    def set_servers(self, servers: list[BackendServer]) -> None:
        """Replace the registered servers; known ones keep their load and speeds."""
        self.cold.on_servers(servers)
        self.memory.use_servers(servers)
        by_id = {server.server_id: server for server in servers}
        for server_id in tuple(self._load_by_id):
            if server_id not in by_id:
                self._remove(server_id)
        for server in servers:
            self._add(server)
        self._cold_probes.mark(self._load_by_id.values())
        self._share_servers()
        self.assign()

    def find_service(self, service_id: str) -> Service | None:
        """Return what the configuration says of a service, None if nothing."""
        return self._service_by_id.get(service_id)

    def queue(self, service_id: str) -> ServiceQueue:
        """Return the queue of a service, created on first use."""
        queue = self._queue_by_service.get(service_id)
        if queue is None:
            queue = ServiceQueue(
                self._clock,
                is_model=self._is_model(service_id),
                schedule_assign=self._limit_timer.schedule,
                rules=self._rules,
                data_centre_exit=DataCentreExit(service_id),
                entry_count=self._sharing.counter_of(service_id),
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

    def build_demand(self, call: Call) -> Demand:
        """Return what a call requires for its next attempt.

        Where rules exclude all servers of the new version, an old one serves it.
        """
        version = self.choose_version(call.service_id)
        now_ms = self._clock.monotonic_ms()
        demand = build_demand(call, now_ms, version, self.lengths)
        loads = self.queue(call.service_id).load_by_id.values()
        others = VersionChoice(excluded=version.only)
        has_others = any(others.allows(load.server.version) for load in loads)
        is_bound = bool(version.only) and has_others
        if is_bound and not self._rules.allows_any(loads, demand, now_ms):
            demand.version = others
        return demand

    def on_outcome(
        self, call: Call, assignment: Assignment, outcome: Outcome, *, status: int
    ) -> None:
        """Record what the result of a request says of its server and the path."""
        if outcome.is_broken_off:
            return
        self._record_length(call, assignment, outcome)
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

    def use_changed_rules(self) -> None:
        """Place waiting requests anew, or reject them, after a change of the rules."""
        now_ms = self._clock.monotonic_ms()
        for queue in self._queue_by_service.values():
            reject_excluded(queue, self._rules, now_ms)
        self.assign()

    def revoked_by(self, assignment: Assignment) -> str | None:
        """Return the rule that revokes a place not used yet, None if it holds."""
        return self._rules.revoked_by(
            assignment.load, assignment.request.demand, self._clock.monotonic_ms()
        )

    def on_report(self, report: LoadReport) -> None:
        """Replace the load of a peer or group and assign waiting requests."""
        self.server_limits.merge(report.server_limits, self._load_by_id.get)
        self._peer_loads.replace(report, self._clock.monotonic_ms())
        self.memory.replace(report.source, report.uses)
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
        self.memory.keep_only(sources)
        self.server_limits.refill(self._peers.unresponsive_share())
        self._cold_probes.mark(self._load_by_id.values())
        self._cold_probes.probe(self._load_by_id.values())
        self._sharing.update_exits(self._queue_by_service, self._clock.monotonic_ms())
        self.assign()

    def _record_length(
        self, call: Call, assignment: Assignment, outcome: Outcome
    ) -> None:
        """Compare a response with its hint, unless it is the rest of one."""
        event_count = assignment.request.event_count
        is_rest = call.sends > 1 or call.fields.last_event_id is not None
        if not event_count or is_rest or not assignment.load.is_model:
            return
        self.lengths.record(
            call.route.name,
            call.fields.likely_output_tokens,
            event_count / assignment.load.events_per_token,
            team=call.team.name if call.team else '',
            is_whole=outcome.ending is Ending.DELIVERED,
        )

    def _record_path(self, assignment: Assignment, outcome: Outcome) -> None:
        server = assignment.load.server
        if not outcome.is_answered:
            self.paths.on_failure(server)
            if assignment.load.consecutive_failures:
                self.cold.on_unreached(server)
        elif outcome.ending is not Ending.NOT_RUN or outcome.response is not None:
            self.paths.on_response(server, assignment.request.started_ms)
            self.cold.on_reached(server)

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
        self._sharing.reset()
        service = self._service_by_id.get(server.service_id)
        tokens_per_event = service.tokens_per_event if service else 1
        load = ServerLoad(
            server,
            is_model=self._is_model(server.service_id),
            events_per_token=1 / tokens_per_event,
        )
        self._load_by_id[server.server_id] = load
        self._peer_loads.apply_to_new_server(load)
        self.server_notices.apply_to_new_server(load)
        self.queue(server.service_id).load_by_id[server.server_id] = load

    def _share_servers(self) -> None:
        if self._sharing.update():
            self.memory.owned_ids = self._sharing.owned_ids

    def _remove(self, server_id: str) -> None:
        load = self._load_by_id.pop(server_id)
        queue = self.queue(load.server.service_id)
        queue.load_by_id.pop(server_id, None)
        queue.other_group_server_ids.discard(server_id)
        self._pool.remove(server_id)
        self.server_limits.remove(load.server)
        self.speeds.remove(server_id)
        self._peer_loads.forget_speed(server_id)

    def _is_model(self, service_id: str) -> bool:
        service = self._service_by_id.get(service_id)
        return service is not None and service.is_model
