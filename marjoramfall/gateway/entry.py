"""Assemble and run an entry, one process of the gateway."""

import gc
from collections.abc import Callable

from gevent import event, spawn
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.callers.entry_listeners import EntryListeners
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.entry_settings import EntryBounds, GatewaySettings
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.forwarder import Forwarder
from marjoramfall.gateway.gateway import Gateway
from marjoramfall.gateway.internal_endpoints import InternalEndpoints
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.model import Configuration
from marjoramfall.gateway.peers.digest_builder import DigestBuilder
from marjoramfall.gateway.peers.group_digest import GroupDigest, Scope
from marjoramfall.gateway.peers.outside_groups import source_of
from marjoramfall.gateway.peers.peer_exchange import PeerExchange, PeerListener
from marjoramfall.gateway.peers.peer_loads import report_of_digest, report_of_state
from marjoramfall.gateway.peers.peer_state import LimitLevel, PeerState
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.peers.watch_duty import WatchDuty
from marjoramfall.gateway.placement_orders import PlacementOrders
from marjoramfall.gateway.registry import Registry
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.tasks import start_task
from marjoramfall.gateway.versions.version_moves import VersionMoves

CONNECT_TIMEOUT_MS = 250
MAINTENANCE_INTERVAL_MS = 250
# The load balancer checks readiness once a second and sends callers elsewhere
# after two failed checks.
BALANCER_REACTION_MS = 2600
# The process exits this long before it would be killed.
STOP_MARGIN_MS = 250
# Time for the answers to the last callers that were accepted, within this margin.
LAST_ANSWERS_MS = 100
# Time to tell the callers of unfinished requests that these have failed.
LAST_FAILURES_MS = 50


class Entry(PeerListener):
    """Connect the components of an entry, serve callers and exchange peer state.

    The creator has to feed configuration and servers into `registry` and the
    addresses of the other entries into `peers`. Raises `CannotListenError`.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        clock: Clock,
        *,
        ready_path: str,
        on_stale_watch: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._bounds = settings.bounds
        self._clock = clock
        self._on_stale_watch = on_stale_watch
        self._incarnation = clock.wall_ms()
        self._started_ms = clock.monotonic_ms()
        self._sequence = 0
        self._is_listening = False
        self._is_leaving = False
        self._stopped = event.Event()
        peer_address = f'{settings.ip}:{settings.peer_port}'
        self.peer_address = peer_address
        self.peers = PeerTable(
            clock, own_vm=settings.vm, data_centre=settings.data_centre
        )
        self._pool = ConnectionPool(clock, connect_timeout_ms=CONNECT_TIMEOUT_MS)
        self._retry_budgets = RetryBudgets(
            self._bounds.retry_bounds,
            restarted_ms=None if settings.is_first_start else self._started_ms,
        )
        self._limits = SharedLimits(
            tolerance_share=self._bounds.limit_tolerance_share,
            tolerance=self._bounds.limit_tolerance,
            starts_full=settings.is_first_start,
        )
        self.moves = VersionMoves(clock, expose_share=self._bounds.expose_share)
        self._orders = PlacementOrders(settings, clock)
        self._fleet = Fleet(
            clock,
            self.peers,
            self._pool,
            self.moves,
            data_centre=settings.data_centre,
            retry_budgets=self._retry_budgets,
            limits=self._limits,
            notify_peers=self._notify_peers,
            rules=self._orders.rules,
        )
        self._fleet.delegates.homes = self._orders.homes
        self.registry = Registry(
            clock,
            self._on_config,
            self._on_servers,
            self.moves.begin,
            evacuations=self._orders.evacuations,
            on_evacuation=self._on_evacuation,
        )
        self._fleet.cold.bounds = self._bounds.cold_bounds
        self._metrics = GatewayMetrics(vm=settings.vm)
        self._orders.add_gauges(self._metrics, self.registry)
        self._fleet.cold.add_gauges(self._metrics)
        self._fleet.memory.add_gauges(self._metrics)
        self._metrics.add_gauge(
            'marjoramfall_gateway_unmeasured_servers',
            'Model servers whose speed no entry has measured.',
            self._fleet.speeds.unmeasured_count,
        )
        self._metrics.add_gauge(
            'marjoramfall_gateway_spared_fast_slots',
            'Requests since the start that left a fast slot to longer ones.',
            self._fleet.speeds.spared_count,
        )
        self.quarantine = CrashQuarantine(clock, notify_peers=self._notify_peers)
        forwarder = Forwarder(
            self._fleet,
            self._pool,
            self.quarantine,
            dialect,
            clock,
            metrics=self._metrics,
        )
        self._stream_moves = forwarder.moves
        self._gateway = Gateway(
            self.registry,
            self._limits,
            self.peers,
            forwarder,
            dialect,
            self._metrics,
            clock,
            homes=self._orders.homes,
        )
        self.watch_duty = WatchDuty(
            self.peers,
            own_vm=settings.vm,
            uptime_ms=self.uptime_ms,
            on_change=self._notify_peers,
            needs_state=self._needs_state,
        )
        self._digests = DigestBuilder(
            clock,
            self.peers,
            self._limits,
            self.moves,
            self._retry_budgets,
            model_speeds=self._fleet.speeds.for_digest,
        )
        self._exchange = PeerExchange(
            peer_address, self.peers, self.registry, self, clock, own_vm=settings.vm
        )
        self._endpoints = InternalEndpoints(
            settings,
            self.registry,
            self._metrics,
            ready_path=ready_path,
            is_ready=self._is_ready,
        )
        self._listeners = EntryListeners(settings, self._gateway, clock)

    def listen(self) -> None:
        """Listen for callers, peers and operators; raises `CannotListenError`."""
        self._listeners.start()
        self._endpoints.start()
        self._is_listening = True

    def run(self) -> None:
        """Serve, after `listen`, until a stop has completed."""
        self._exchange.start()
        start_task(self._maintain, self._clock, name='maintain')
        logger.bind(
            data_centre=self._settings.data_centre, front=self._settings.front_address
        ).info('entry started')
        # Objects made at start-up live as long as the process; freezing them spares the
        # garbage collector from scanning them.
        gc.collect()
        gc.freeze()
        self._stopped.wait()
        logger.info('entry stopped')

    def use_bounds(self, bounds: EntryBounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._retry_budgets.replace_bounds(bounds.retry_bounds)
        self._limits.replace_tolerance(
            tolerance_share=bounds.limit_tolerance_share,
            tolerance=bounds.limit_tolerance,
        )
        self.moves.set_expose_share(bounds.expose_share)
        self._fleet.cold.bounds = bounds.cold_bounds

    def begin_stop(self) -> None:
        """Report not ready, finish requests in flight, and end `run`."""
        if not self._is_leaving:
            self._is_leaving = True
            logger.bind(in_flight=self._gateway.in_flight).info('entry stopping')
            self._notify_peers()
            spawn(self._stop)

    def own_state(self, *, with_speeds: bool, with_all_limits: bool) -> PeerState:
        """Return the current state for the peers under a new sequence number."""
        self._sequence += 1
        registry = self.registry
        limits = self._limits
        own = self._fleet.own_load
        return PeerState(
            vm=self._settings.vm,
            address=self.peer_address,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            uptime_ms=self.uptime_ms(),
            sequence=self._sequence,
            is_leaving=self._is_leaving,
            config_version=registry.config.version if registry.config else 0,
            config_revision=registry.config_state.changed,
            servers_revision=registry.servers_state.changed,
            uses=own.uses(),
            waiting=own.waiting(),
            speeds=own.speeds() if with_speeds else None,
            limit_uses=limits.uses() if with_all_limits else limits.changed_uses(),
            has_all_limits=with_all_limits,
            unreachable_server_ids=own.unreachable_server_ids(),
            moves=self.moves.reports(),
            is_store_unreachable=not self.watch_duty.is_store_reachable,
            crash_evidence=self.quarantine.report(is_full=with_speeds),
            server_limits=self._fleet.server_limits.reports(is_full=with_speeds),
            delegation_address=self._settings.delegation_address,
            reached_service_ids=self._fleet.paths.reached_service_ids(),
            retry_uses=self._retry_budgets.uses(self._clock.monotonic_ms()),
            limit_levels=self._limit_levels() if with_speeds else None,
            unlisted_work=own.unlisted_work(),
        )

    def own_digest(self, scope: Scope, *, with_all_limits: bool) -> GroupDigest:
        """Return the sum of the own group, or of all others, from what is known."""
        self._sequence += 1
        return self._digests.build(
            scope,
            self.own_state(with_speeds=with_all_limits, with_all_limits=True),
            with_all_limits=with_all_limits,
        )

    def uptime_ms(self) -> int:
        """Return the time since the start of the process."""
        return int(self._clock.monotonic_ms() - self._started_ms)

    def on_digest(self, digest: GroupDigest) -> None:
        """Apply the digest of another group, or of all others."""
        recent_share = min(1, self.uptime_ms() / max(1, digest.uptime_ms))
        now_ms = self._clock.monotonic_ms()
        self._limits.add_digest(
            digest,
            now_ms,
            recent_share=recent_share,
            own_group=self.peers.groups.own_group,
        )
        self._retry_budgets.add_digest(digest, now_ms)
        self.moves.on_reports(source_of(digest), digest.moves)
        self.quarantine.merge(digest.crash_evidence)
        self._fleet.on_report(report_of_digest(digest))

    def on_peer_state(self, state: PeerState) -> None:
        """Apply the new state of a peer."""
        now_ms = self._clock.monotonic_ms()
        self._limits.add_state(state, now_ms, uptime_ms=self.uptime_ms())
        self._retry_budgets.add_state(state, now_ms)
        self.moves.on_reports(state.vm, state.moves)
        self.quarantine.merge(state.crash_evidence)
        self._fleet.on_report(report_of_state(state))

    def on_relay_change(self) -> None:
        """Drop the load and results of groups that are now known otherwise."""
        sources = set(filter(self.peers.groups.has_member, self.peers.member_by_vm))
        self.moves.keep_sources(sources | self.peers.outside.live_sources())
        self._fleet.drop_silent_peers()

    def follows_store(self) -> bool:
        """Return whether this entry follows the store itself."""
        return self.watch_duty.is_due()

    def on_stale_watch(self) -> None:
        """Reconnect to the store, as its current connections may be dead."""
        self._on_stale_watch()

    def _limit_levels(self) -> list[LimitLevel]:
        # After a pause of this process, the levels lack what others admitted meanwhile.
        if not self.peers.is_in_touch():
            return []
        return self._limits.levels(self._clock.monotonic_ms())

    def _notify_peers(self) -> None:
        self._exchange.schedule_datagram()

    def _on_config(self, config: Configuration) -> None:
        self._limits.set_teams(config.team_by_name, self._clock.monotonic_ms())
        self._orders.homes.use_config(config)
        self._fleet.set_config(config)
        self._fleet.set_servers(self.registry.servers)
        self._notify_peers()

    def _on_servers(self) -> None:
        if self.registry.config is not None:
            self._fleet.set_servers(self.registry.servers)
        self._notify_peers()

    def _on_evacuation(self) -> None:
        self._orders.warn_of_unknown_data_centres()
        self._fleet.use_changed_rules()
        self._notify_peers()

    def _is_ready(self) -> bool:
        if self._is_leaving or not self._is_listening:
            return False
        if self.registry.lacks_evacuations and self.watch_duty.is_store_reachable:
            return False
        return self.registry.is_informed and self.peers.is_known

    def _needs_state(self) -> bool:
        if self.registry.lacks_evacuations:
            return True
        return not self._settings.is_first_start and not self.registry.is_informed

    def _maintain(self) -> None:
        while True:
            self._clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
            self.registry.end_grace_periods()
            self._pool.close_expired()
            self._fleet.drop_silent_peers()
            self._fleet.speeds.compare()
            self._stream_moves.look()

    def _stop(self) -> None:
        self._gateway.stopping = True
        started_ms = self._clock.monotonic_ms()
        grace_ms = self._bounds.grace_s * MS_PER_SECOND - STOP_MARGIN_MS
        self._clock.sleep_ms(BALANCER_REACTION_MS)
        # Callers may still arrive if most entries of a data centre stop.
        self._gateway.set_latest_deadline(started_ms + grace_ms)
        while self._clock.monotonic_ms() - started_ms < grace_ms:
            self._listeners.close_idle()
            is_done = (
                not self._gateway.in_flight and not self._listeners.has_connections
            )
            if is_done and not self._listeners.accept_pending():
                break
            self._clock.sleep_ms(MAINTENANCE_INTERVAL_MS / 5)
        self._listeners.close()
        if self._listeners.has_connections:
            self._clock.sleep_ms(LAST_ANSWERS_MS)
            self._listeners.end_work()
            self._clock.sleep_ms(LAST_FAILURES_MS)
        self._stopped.set()
