"""Load the configuration's snapshot at the start and keep it recent."""

from collections.abc import Callable

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.model import Configuration
from marjoramfall.platform_services import PlatformError
from marjoramfall.process.config.replication import ConfigReplicator
from marjoramfall.process.config.snapshot import SnapshotStore

CHECK_PERIOD_MS = 10_000
LOAD_RETRY_MS = 500


class SnapshotTask:
    """Start from the snapshot; one reader at a time writes new ones."""

    def __init__(
        self,
        store: SnapshotStore,
        replicator: ConfigReplicator,
        clock: Clock,
        *,
        on_loaded: Callable[[Configuration], None],
    ) -> None:
        self._store = store
        self._replicator = replicator
        self._clock = clock
        self._on_loaded = on_loaded

    def run(self, own_incarnation: str) -> None:
        """Load once, then save whenever a new snapshot is due; a task."""
        self._load()
        while True:
            self._clock.sleep_ms(CHECK_PERIOD_MS)
            if self._replicator.reader_ids[:1] == (own_incarnation,):
                self._save_if_due()

    def _load(self) -> None:
        # Peers or the log may bring the configuration before the store does.
        while not self._replicator.state.revision:
            try:
                loaded = self._store.load()
            except PlatformError as error:
                logger.bind(code=error.code).warning('snapshot not loaded yet')
                self._clock.sleep_ms(LOAD_RETRY_MS)
                continue
            for fault in loaded.errors:
                logger.bind(code=fault.code).error('snapshot passed over: {}', fault)
            self._on_loaded(loaded.configuration)
            return

    def _save_if_due(self) -> None:
        configuration = self._replicator.state.configuration
        try:
            if self._store.is_due(configuration) and self._store.save(configuration):
                logger.bind(revision=configuration.revision).info('snapshot saved')
        except PlatformError as error:
            logger.bind(code=error.code).warning('snapshot not saved')
