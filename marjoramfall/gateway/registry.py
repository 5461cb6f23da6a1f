"""Hold the configuration and the backend servers known to an entry."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import BackendServer, Configuration, VersionMove
from marjoramfall.gateway.revision import era_of, number_of

# Servers whose registration lapsed during an outage of the store register again
# within 2 s of its end.
LAPSE_GRACE_MS = 2100.0
# A removal within this time after an outage may be such a lapse.
LAPSE_DETECTION_MS = 1500.0


@dataclass(frozen=True, slots=True)
class ServerChange:
    """Hold a registration made at a revision, or a removal if `server` is None."""

    server_id: str
    server: BackendServer | None
    revision: int


@dataclass(frozen=True, slots=True)
class LapsingServer:
    """Name a server whose registration may have lapsed in an outage of the store.

    It is removed unless it registers again within `remaining_ms`.
    """

    server_id: str
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the configuration and servers of an entry for transfer to a peer."""

    config: Configuration | None
    config_revision: int
    config_as_of: int
    servers: tuple[ServerChange, ...]
    servers_as_of: int
    # Absent in snapshots of versions in which every entry followed the store.
    orders: tuple[VersionMove, ...] = ()
    lapsing: tuple[LapsingServer, ...] = ()


@dataclass(slots=True)
class TableState:
    """Hold the revisions of a table.

    `as_of` is the revision up to which all changes are known, `changed` the
    revision of the last change.
    """

    as_of: int = 0
    changed: int = 0


@dataclass(slots=True)
class Registry:
    """Apply changes from the store and from peers, ignoring outdated ones."""

    clock: Clock
    on_config: Callable[[Configuration], None]
    on_servers: Callable[[], None]
    on_order: Callable[[VersionMove], None]
    order_by_service: dict[str, VersionMove] = field(default_factory=dict)
    config: Configuration | None = None
    config_state: TableState = field(default_factory=TableState)
    servers_state: TableState = field(default_factory=TableState)
    change_by_id: dict[str, ServerChange] = field(default_factory=dict)
    lapse_deadline_ms_by_id: dict[str, float] = field(default_factory=dict)
    outage_ended_ms: float = float('-inf')

    @property
    def servers(self) -> list[BackendServer]:
        """Return the registered servers and those within the grace period."""
        return [
            change.server
            for change in self.change_by_id.values()
            if change.server is not None
        ]

    @property
    def is_informed(self) -> bool:
        """Return whether a configuration and the servers are known."""
        return self.config is not None and self.servers_state.as_of > 0

    def put_config(self, config: Configuration, revision: int) -> None:
        """Apply a configuration if it is newer.

        A restored store may hold an older version for a moment.
        """
        if not self._is_newer(config, revision):
            return
        self.config = config
        self.config_state.changed = max(self.config_state.changed, revision)
        logger.bind(
            version=config.version,
            era=era_of(revision),
            revision=number_of(revision),
            routes=_count_routes(config),
        ).info('configuration applied')
        self.on_config(config)

    def put_order(self, order: VersionMove) -> None:
        """Apply the order of a version move if it is newer."""
        known = self.order_by_service.get(order.service_id)
        if known is not None and known.revision >= order.revision:
            return
        self.order_by_service[order.service_id] = order
        self.config_state.changed = max(self.config_state.changed, order.revision)
        self.on_order(order)

    def set_config_as_of(self, revision: int) -> None:
        """Record that all configuration changes up to a revision are known."""
        self.config_state.as_of = max(self.config_state.as_of, revision)

    def apply_changes(self, changes: Iterable[ServerChange], as_of: int) -> None:
        """Apply individual changes of servers, complete up to `as_of`."""
        for change in changes:
            self._apply(change)
        self._advance_servers(as_of)

    def apply_all(self, changes: Iterable[ServerChange], as_of: int) -> None:
        """Replace all servers by those of a complete read, unless it is outdated."""
        if as_of < self.servers_state.as_of:
            logger.bind(
                era=era_of(as_of),
                as_of=number_of(as_of),
                known_era=era_of(self.servers_state.as_of),
                known_as_of=number_of(self.servers_state.as_of),
            ).warning('outdated list of servers ignored')
            return
        if era_of(as_of) > era_of(self.servers_state.as_of):
            # Servers that registered in the lost seconds will do so again.
            self.note_outage_end()
        listed = {change.server_id: change for change in changes}
        for server_id in tuple(self.change_by_id):
            if server_id not in listed:
                self._apply(ServerChange(server_id, None, as_of))
        for change in listed.values():
            self._apply(change)
        self._advance_servers(as_of)

    def note_outage_end(self) -> None:
        """Record that the store is reachable again after an outage."""
        self.outage_ended_ms = self.clock.monotonic_ms()

    def drop_lapsed(self) -> None:
        """Remove servers that did not register again within the grace period."""
        now_ms = self.clock.monotonic_ms()
        lapsed_ids = [
            server_id
            for server_id, deadline_ms in self.lapse_deadline_ms_by_id.items()
            if deadline_ms <= now_ms
        ]
        for server_id in lapsed_ids:
            self.lapse_deadline_ms_by_id.pop(server_id)
            self._remove(server_id, 'lapsed')
        if lapsed_ids:
            self.on_servers()

    def snapshot(self) -> Snapshot:
        """Return what this entry knows of the store."""
        now_ms = self.clock.monotonic_ms()
        return Snapshot(
            config=self.config,
            config_revision=self.config_state.changed,
            config_as_of=self.config_state.as_of,
            servers=tuple(self.change_by_id.values()),
            servers_as_of=self.servers_state.as_of,
            orders=tuple(self.order_by_service.values()),
            lapsing=tuple(
                LapsingServer(server_id, deadline_ms - now_ms)
                for server_id, deadline_ms in self.lapse_deadline_ms_by_id.items()
            ),
        )

    def merge(self, snapshot: Snapshot) -> None:
        """Apply the parts of a peer's snapshot that are newer."""
        if snapshot.config is not None:
            self.put_config(snapshot.config, snapshot.config_revision)
            for order in snapshot.orders:
                self.put_order(order)
            self.set_config_as_of(snapshot.config_as_of)
        if snapshot.servers_as_of > self.servers_state.as_of:
            self.apply_all(snapshot.servers, snapshot.servers_as_of)
            self._expect_lapses(snapshot.lapsing)

    def _is_newer(self, config: Configuration, revision: int) -> bool:
        known = self.config
        if known is None or config.version != known.version:
            return known is None or config.version > known.version
        # A version that was lost may have been given out again.
        is_later = era_of(revision) > era_of(self.config_state.changed)
        return is_later and config != known

    def _expect_lapses(self, lapsing: Iterable[LapsingServer]) -> None:
        now_ms = self.clock.monotonic_ms()
        for server in lapsing:
            deadline_ms = now_ms + server.remaining_ms
            self.lapse_deadline_ms_by_id.setdefault(server.server_id, deadline_ms)

    def _advance_servers(self, as_of: int) -> None:
        self.servers_state.as_of = max(self.servers_state.as_of, as_of)
        self.on_servers()

    def _apply(self, change: ServerChange) -> None:
        server_id = change.server_id
        known = self.change_by_id.get(server_id)
        if known is not None and change.revision <= known.revision:
            _log_outdated(known, change)
            return
        self.servers_state.changed = max(self.servers_state.changed, change.revision)
        if change.server is not None:
            self.lapse_deadline_ms_by_id.pop(server_id, None)
            self.change_by_id[server_id] = change
            self._log_registration(known, change)
        elif known is not None:
            self._unregister(known)

    def _unregister(self, known: ServerChange) -> None:
        now_ms = self.clock.monotonic_ms()
        leaving = known.server is not None and known.server.is_leaving
        if not leaving and now_ms - self.outage_ended_ms < LAPSE_DETECTION_MS:
            lapse_deadline_ms = self.outage_ended_ms + LAPSE_GRACE_MS
            self.lapse_deadline_ms_by_id.setdefault(known.server_id, lapse_deadline_ms)
            return
        self._remove(known.server_id, 'unregistered')

    def _remove(self, server_id: str, reason: str) -> None:
        self.change_by_id.pop(server_id, None)
        self.lapse_deadline_ms_by_id.pop(server_id, None)
        logger.bind(server=server_id, reason=reason).info('server removed')

    def _log_registration(
        self, known: ServerChange | None, change: ServerChange
    ) -> None:
        server = change.server
        if known is not None and known.server == server:
            return
        logger.bind(
            server=change.server_id,
            service=server.service_id,
            address=server.address,
            version=server.version,
            leaving=server.is_leaving,
            era=era_of(change.revision),
            revision=number_of(change.revision),
        ).info('server registered')


def _log_outdated(known: ServerChange, change: ServerChange) -> None:
    if change.revision < known.revision and change.server != known.server:
        logger.bind(
            server=change.server_id,
            era=era_of(change.revision),
            revision=number_of(change.revision),
            known_era=era_of(known.revision),
            known_revision=number_of(known.revision),
            leaving=change.server is None or change.server.is_leaving,
        ).info('outdated change of a server ignored')


def _count_routes(config: Configuration) -> int:
    return sum(map(len, config.routes_by_host.values()))
