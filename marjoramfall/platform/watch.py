"""Follow the operator's and the backend servers' tables in the store."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.registry import Registry, ServerChange
from marjoramfall.platform.records import (
    RecordFaultError,
    decode_configuration,
    decode_move,
    decode_server,
)
from marjoramfall.platform.store import (
    HistoryLostError,
    Row,
    RowSet,
    StoreClient,
    StoreError,
)

FIRST_DELAY_MS = 100.0
MAX_DELAY_MS = 700.0
# A feed that has not answered for so long misses what peers know already.
SILENT_MS = 900.0
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
CONFIG_KEY = 'config'
MOVE_PREFIX = 'rollout/'


class TableWatch(ABC):
    """Keep one table up to date: read it once, then follow its changes."""

    table = ''
    # Well below the time in which a change has to be in force.
    pause_ms = 0.0

    def __init__(
        self,
        client: StoreClient,
        registry: Registry,
        clock: Clock,
        *,
        find_wait_ms: Callable[[], int],
    ) -> None:
        self._find_wait_ms = find_wait_ms
        self._client = client
        self._registry = registry
        self._clock = clock
        self._delay_ms = FIRST_DELAY_MS
        self._answered_ms = clock.monotonic_ms()
        self._as_of: int | None = None
        self._is_connected = True
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the last call was answered."""
        return self._is_connected

    def start(self) -> None:
        """Follow the table until the process ends."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow the table."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._client.close()

    def restart_if_silent(self) -> None:
        """Give up a call that should have brought news by now."""
        silent_ms = self._clock.monotonic_ms() - self._answered_ms
        if silent_ms >= SILENT_MS and self._is_connected:
            logger.bind(table=self.table, silent_ms=round(silent_ms)).warning(
                'store connection silent'
            )
            self.stop()
            self.start()

    @abstractmethod
    def apply_all(self, rows: RowSet) -> None:
        """Use a complete read."""

    @abstractmethod
    def apply_changes(self, rows: RowSet) -> None:
        """Use changed rows."""

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except HistoryLostError:
                logger.bind(table=self.table, after=self._as_of).warning('history lost')
                self._as_of = None
            except StoreError as error:
                self._on_failure(error)
            else:
                self._on_answer()

    def _step(self) -> None:
        if self._as_of is None:
            found = self._client.read_table(self.table)
            self._on_answer()
            self.apply_all(found)
        else:
            # The first call after an outage tells at once that it is over.
            wait_ms = self._find_wait_ms() if self._is_connected else 0
            found = self._client.follow_table(self.table, self._as_of, wait_ms=wait_ms)
            self._on_answer()
            self.apply_changes(found)
            # Changes often come in series, and every call has its price.
            gevent.sleep(self.pause_ms / MS_PER_SECOND)
        self._as_of = max(self._as_of or 0, found.revision)

    def _on_answer(self) -> None:
        self._delay_ms = FIRST_DELAY_MS
        self._answered_ms = self._clock.monotonic_ms()
        if not self._is_connected:
            self._is_connected = True
            self._registry.note_outage_end()
            logger.bind(table=self.table).info('store regained')

    def _on_failure(self, error: StoreError) -> None:
        if self._is_connected:
            self._is_connected = False
            logger.bind(table=self.table, details=str(error)).warning('store lost')
        jitter = random.uniform(0.5, 1)
        gevent.sleep(self._delay_ms * jitter / MS_PER_SECOND)
        self._delay_ms = min(MAX_DELAY_MS, 2 * self._delay_ms)


class OperatorWatch(TableWatch):
    """Follow the configuration and the orders to move versions."""

    table = OPERATOR_TABLE
    pause_ms = 500.0

    def apply_all(self, rows: RowSet) -> None:
        """Use a complete read."""
        self.apply_changes(rows)

    def apply_changes(self, rows: RowSet) -> None:
        """Use changed rows."""
        for row in rows.rows:
            if row.content is None:
                continue
            try:
                self._apply(row)
            except RecordFaultError as error:
                logger.bind(
                    key=row.key, revision=row.revision, details=str(error)
                ).error('operator record not understood')
        self._registry.set_config_as_of(rows.revision)

    def _apply(self, row: Row) -> None:
        if row.key == CONFIG_KEY:
            self._registry.put_config(decode_configuration(row.content), row.revision)
        elif row.key.startswith(MOVE_PREFIX):
            order: VersionMove = decode_move(row.content, row.revision)
            self._registry.on_order(order)


class ServerWatch(TableWatch):
    """Follow the registrations of backend servers."""

    table = SERVER_TABLE
    pause_ms = 700.0

    def apply_all(self, rows: RowSet) -> None:
        """Use a complete read."""
        self._registry.apply_all(map(_to_change, rows.rows), rows.revision)

    def apply_changes(self, rows: RowSet) -> None:
        """Use changed rows."""
        self._registry.apply_changes(map(_to_change, rows.rows), rows.revision)


def _to_change(row: Row) -> ServerChange:
    if row.content is None:
        return ServerChange(row.key, None, row.revision)
    try:
        server = decode_server(row.key, row.content)
    except RecordFaultError as error:
        logger.bind(server=row.key, revision=row.revision, details=str(error)).warning(
            'registration not understood'
        )
        server = None
    return ServerChange(row.key, server, row.revision)
