"""Hold the configuration and the backend servers known to an entry."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.evacuations import EvacuationNews, Evacuations
from marjoramfall.gateway.grace_periods import GracePeriod, GracePeriods
from marjoramfall.gateway.model import BackendServer, Configuration, VersionMove
from marjoramfall.gateway.revision import era_of, number_of

# Servers whose registration lapsed during an outage of the store register again
# within 2 s of its end.
LAPSE_GRACE_MS = 2100.0
# A removal within this time after an outage may be such a lapse.
LAPSE_DETECTION_MS = 1500.0
# A restored store drops the registration of a server that is gone within this time.
RESTORE_GRACE_MS = 4000.0
# News that a peer had before its own path to the store failed may come so late.
LATE_NEWS_MS = 2000.0
# More than leave in the time that a restoration loses.
MAX_REMOVED_SERVERS = 1000


@dataclass(frozen=True, slots=True)
class ServerChange:
    """Hold a registration made at a revision, or a removal if `server` is None."""

    server_id: str
    server: BackendServer | None
    revision: int


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
    # Used, though their registration may have lapsed in an outage of the store.
    lapsing: tuple[GracePeriod, ...] = ()
    # Not used, as they had left before the store came back from an older copy.
    withheld: tuple[GracePeriod, ...] = ()
    # None in snapshots of entries that don't know all up to `config_as_of`, such as
    # those of versions without evacuations.
    evacuations: tuple[EvacuationNews, ...] | None = None
    # How long ago an outage of the store ended; None if not known.
    outage_age_ms: float | None = None


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
    removed_by_id: dict[str, ServerChange] = field(default_factory=dict)
    outage_ended_ms: float = float('-inf')
    # When a peer last told news of the servers.
    peer_news_ms: float = float('-inf')
    evacuations: Evacuations | None = None
    on_evacuation: Callable[[], None] = lambda: None
    lapsing: GracePeriods = field(init=False)
    withheld: GracePeriods = field(init=False)

    def __post_init__(self) -> None:
        """Start without grace periods."""
        self.lapsing = GracePeriods(self.clock)
        self.withheld = GracePeriods(self.clock)
        if self.evacuations is None:
            self.evacuations = Evacuations(self.clock)

    @property
    def servers(self) -> list[BackendServer]:
        """Return the registered servers, and those that may register again."""
        return [
            change.server
            for server_id, change in self.change_by_id.items()
            if change.server is not None and server_id not in self.withheld
        ]

    @property
    def is_informed(self) -> bool:
        """Return whether a configuration and the servers are known."""
        return self.config is not None and self.servers_state.as_of > 0

    @property
    def operator_as_of(self) -> int:
        """Return the revision up to which all that operators wrote is known."""
        return min(self.config_state.as_of, self.evacuations.as_of)

    @property
    def lacks_evacuations(self) -> bool:
        """Return whether a peer without them has told the configuration."""
        return self.evacuations.as_of < self.config_state.as_of

    @property
    def store_era(self) -> int:
        """Return the newest era of the store that is known here; 0 if none."""
        return era_of(max(self.servers_state.as_of, self.config_state.as_of))

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

    def put_evacuation(self, news: EvacuationNews) -> None:
        """Apply the begin or the end of an evacuation if it is newer."""
        lasted_ms = self.evacuations.age_ms(news.data_centre)
        is_changed = self.evacuations.put(news)
        # Peers that lost the order with the store have to hear of it again.
        self.config_state.changed = max(self.config_state.changed, news.revision)
        if not is_changed:
            return
        data_centre = news.data_centre
        log = logger.bind(
            data_centre=data_centre,
            era=era_of(news.revision),
            revision=number_of(news.revision),
            servers=sum(server.data_centre == data_centre for server in self.servers),
        )
        if news.is_evacuated:
            log.info('evacuation begun')
        else:
            log.bind(lasted_ms=round(lasted_ms)).info('evacuation ended')
        self.on_evacuation()

    def set_config_as_of(self, revision: int) -> None:
        """Record that all configuration changes up to a revision are known."""
        self.config_state.as_of = max(self.config_state.as_of, revision)

    def set_operator_as_of(self, revision: int) -> None:
        """Record that all that operators wrote up to a revision is known."""
        self.set_config_as_of(revision)
        self.evacuations.advance(revision)

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
        is_first = not self.servers_state.as_of
        if not is_first and era_of(as_of) > era_of(self.servers_state.as_of):
            # Servers that registered in the lost seconds will do so again.
            self.note_outage_end()
        listed = {change.server_id: change for change in changes}
        for server_id in tuple(self.change_by_id):
            if server_id not in listed:
                self._apply(ServerChange(server_id, None, as_of))
        for change in listed.values():
            self._apply(change)
        self._advance_servers(as_of)

    def note_outage_end(self, failed_ms: float | None = None) -> None:
        """Record that the store is reachable again after an outage.

        Where peers told news of it long after it failed for this entry, it served
        others, and no registration has lapsed.
        """
        if failed_ms is None or self.peer_news_ms < failed_ms + LATE_NEWS_MS:
            self.outage_ended_ms = self.clock.monotonic_ms()

    def end_grace_periods(self) -> None:
        """Remove servers that did not register again, and use those still listed."""
        lapsed_ids = self.lapsing.take_due()
        for server_id in lapsed_ids:
            self._remove(server_id, 'lapsed')
        listed_ids = self.withheld.take_due()
        for server_id in listed_ids:
            logger.bind(server=server_id).info('server of a restored store used again')
        if lapsed_ids or listed_ids:
            self.on_servers()
        for news in self.evacuations.lapsed():
            self.put_evacuation(news)

    def snapshot(self) -> Snapshot:
        """Return what this entry knows of the store."""
        return Snapshot(
            config=self.config,
            config_revision=self.config_state.changed,
            config_as_of=self.config_state.as_of,
            servers=tuple(self.change_by_id.values()),
            servers_as_of=self.servers_state.as_of,
            orders=tuple(self.order_by_service.values()),
            lapsing=self.lapsing.report(),
            withheld=self.withheld.report(),
            evacuations=None if self.lacks_evacuations else self.evacuations.report(),
            outage_age_ms=_recent_outage_age_ms(self),
        )

    def merge(self, snapshot: Snapshot) -> None:
        """Apply the parts of a peer's snapshot that are newer."""
        if snapshot.evacuations is not None:
            for news in snapshot.evacuations:
                self.put_evacuation(news)
            self.evacuations.advance(snapshot.config_as_of)
        if snapshot.config is not None:
            self.put_config(snapshot.config, snapshot.config_revision)
            for order in snapshot.orders:
                self.put_order(order)
            self.set_config_as_of(snapshot.config_as_of)
        if snapshot.servers_as_of > self.servers_state.as_of:
            _note_outage_of_peer(self, snapshot)
            self.apply_all(snapshot.servers, snapshot.servers_as_of)
            self.lapsing.merge(snapshot.lapsing)
            self.withheld.merge(snapshot.withheld)
            self.on_servers()

    def _is_newer(self, config: Configuration, revision: int) -> bool:
        known = self.config
        if known is None or config.version != known.version:
            return known is None or config.version > known.version
        # A version that was lost may have been given out again.
        is_later = era_of(revision) > era_of(self.config_state.changed)
        return is_later and config != known

    def _advance_servers(self, as_of: int) -> None:
        self.servers_state.as_of = max(self.servers_state.as_of, as_of)
        self.on_servers()

    def _apply(self, change: ServerChange) -> None:
        server_id = change.server_id
        known = self.change_by_id.get(server_id)
        if _was_removed(change, self.removed_by_id.get(server_id)):
            return
        if known is not None and _is_outdated(change, known):
            _log_outdated(known, change)
            return
        self.servers_state.changed = max(self.servers_state.changed, change.revision)
        if change.server is not None:
            self.lapsing.cancel(server_id)
            self._withhold_if_gone(change)
            self.change_by_id[server_id] = change
            self._log_registration(known, change)
        elif known is not None:
            self._unregister(known)

    def _unregister(self, known: ServerChange) -> None:
        now_ms = self.clock.monotonic_ms()
        leaving = known.server is not None and known.server.is_leaving
        if not leaving and now_ms - self.outage_ended_ms < LAPSE_DETECTION_MS:
            lapse_deadline_ms = self.outage_ended_ms + LAPSE_GRACE_MS
            self.lapsing.begin(known.server_id, lapse_deadline_ms)
            return
        self._remove(known.server_id, 'unregistered')

    def _withhold_if_gone(self, change: ServerChange) -> None:
        """Don't use a server that had left, as a restored store lists it again."""
        self.withheld.cancel(change.server_id)
        removed = self.removed_by_id.pop(change.server_id, None)
        if removed is None or era_of(change.revision) == era_of(removed.revision):
            return
        if not removed.server.is_older_than(change.server):
            end_ms = self.outage_ended_ms + RESTORE_GRACE_MS
            self.withheld.begin(change.server_id, end_ms)

    def _remove(self, server_id: str, reason: str) -> None:
        self.lapsing.cancel(server_id)
        self.withheld.cancel(server_id)
        removed = self.change_by_id.pop(server_id, None)
        if removed is not None:
            self.removed_by_id[server_id] = removed
        if len(self.removed_by_id) > MAX_REMOVED_SERVERS:
            self.removed_by_id.pop(next(iter(self.removed_by_id)))
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
            withheld=change.server_id in self.withheld,
            era=era_of(change.revision),
            revision=number_of(change.revision),
        ).info('server registered')


def _recent_outage_age_ms(registry: Registry) -> float | None:
    age_ms = registry.clock.monotonic_ms() - registry.outage_ended_ms
    return age_ms if age_ms < LAPSE_GRACE_MS else None


def _note_outage_of_peer(registry: Registry, snapshot: Snapshot) -> None:
    now_ms = registry.clock.monotonic_ms()
    # Entries of versions without evacuations don't tell of outages either.
    if snapshot.evacuations is not None:
        registry.peer_news_ms = now_ms
    if snapshot.outage_age_ms is not None:
        ended_ms = now_ms - snapshot.outage_age_ms
        registry.outage_ended_ms = max(registry.outage_ended_ms, ended_ms)


def _was_removed(change: ServerChange, removed: ServerChange | None) -> bool:
    """Return whether a peer tells of a server what held before its removal."""
    if removed is None or change.server is None:
        return False
    is_same_era = era_of(change.revision) == era_of(removed.revision)
    return is_same_era and change.revision <= removed.revision


def _is_outdated(change: ServerChange, known: ServerChange) -> bool:
    if change.revision <= known.revision:
        return True
    if change.server is None or era_of(change.revision) == era_of(known.revision):
        return False
    # A restored store holds what the server had said before.
    return change.server.is_older_than(known.server)


def _log_outdated(known: ServerChange, change: ServerChange) -> None:
    if change.revision != known.revision and change.server != known.server:
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
