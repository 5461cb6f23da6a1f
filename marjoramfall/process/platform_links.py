"""Hold the parts of an entry that call the platform's services."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramfall.borders.platform_http import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
)
from marjoramfall.clock import Clock
from marjoramfall.model import Configuration
from marjoramfall.process.config.log import ConfigLog, LogTail, WrittenChange
from marjoramfall.process.config.replication import ConfigReplicator
from marjoramfall.process.config.snapshot import SnapshotStore
from marjoramfall.process.key_owners import KeyOwners
from marjoramfall.process.metrics import Metrics
from marjoramfall.process.snapshot_task import SnapshotTask
from marjoramfall.process.store_tasks import ConfigWriter, MoveRecorder, StorePoller
from marjoramfall.request.key_claims import (
    IssuedKeyClaims,
    RoutedKeyClaims,
    TableKeyClaims,
)
from marjoramfall.request.key_registry import KeyRegistry
from marjoramfall.settings.model import PlatformSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformEvents:
    """Say whom to tell what the store answered."""

    on_written: Callable[[WrittenChange], None]
    on_polled: Callable[[LogTail, float], None]
    on_poll_failed: Callable[[], None]
    on_snapshot: Callable[[Configuration], None]


class PlatformLinks:
    """Own the adapters of the platform and the tasks that use them."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        replicator: ConfigReplicator,
        metrics: Metrics,
        events: PlatformEvents,
    ) -> None:
        self.tables = HttpTableService(settings.tables, timeout_ms=settings.timeout)
        objects = HttpObjectStore(settings.objects, timeout_ms=settings.timeout)
        self.snapshots = SnapshotTask(
            SnapshotStore(self.tables, objects),
            replicator,
            clock,
            on_loaded=events.on_snapshot,
        )
        self.vm_list = HttpVmList(settings.vms, timeout_ms=settings.timeout)
        self.log = ConfigLog(self.tables, clock)
        self.writer = ConfigWriter(
            self.log, replicator.state, metrics, on_written=events.on_written
        )
        self.recorder = MoveRecorder(self.writer, clock)
        self.poller = StorePoller(
            self.log,
            clock,
            on_polled=events.on_polled,
            on_failed=events.on_poll_failed,
        )


class EntryKeys:
    """Own the idempotency keys of one incarnation and the claims of others."""

    def __init__(
        self,
        registry: KeyRegistry,
        owners: KeyOwners,
        tables: HttpTableService,
        clock: Clock,
        incarnation: str,
    ) -> None:
        self.owners = owners
        self.store_claims = TableKeyClaims(tables, clock, incarnation)
        issued = IssuedKeyClaims(registry, owners, clock, incarnation)
        self.claims = RoutedKeyClaims(issued, self.store_claims)
        self._registry = registry
        self._clock = clock

    def issue(self, team_id: str) -> str:
        """Return a new idempotency key."""
        return self._registry.issue(team_id, self._clock.wall_ms())
