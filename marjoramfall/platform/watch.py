"""Follow the tables of operators and backend servers in the store."""

import random
from abc import ABC, abstractmethod

import gevent
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.evacuations import EvacuationNews
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.peers.watch_duty import WatchDuty
from marjoramfall.gateway.registry import Registry, ServerChange
from marjoramfall.gateway.revision import era_of, number_of
from marjoramfall.gateway.tasks import start_task
from marjoramfall.platform.poll_wait import choose_wait_ms
from marjoramfall.platform.records import (
    InvalidRecordError,
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

MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 700.0
# For entries that try only while no other one reaches the store.
MAX_RESERVE_DELAY_MS = 3000.0
# How often an entry checks whether it has to follow the store.
REST_INTERVAL_MS = 100.0
# When peers have newer data than this entry, the entry restarts a watch that has had
# no response for this long: its connection is taken to be dead.
SILENCE_TIMEOUT_MS = 900.0
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
CONFIG_KEY = 'config'
MOVE_PREFIX = 'rollout/'
# The row of a data centre that is evacuated until the row is deleted.
EVACUATION_PREFIX = 'evacuate/'


class TableWatch(ABC):
    """Read one table, then follow its changes and apply them to the registry."""

    table = ''
    # The pause between polls; well below the time in which a change must be in force.
    poll_pause_ms = 0.0

    def __init__(
        self,
        client: StoreClient,
        registry: Registry,
        clock: Clock,
        *,
        duty: WatchDuty,
    ) -> None:
        self._duty = duty
        self._client = client
        self._registry = registry
        self._clock = clock
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        self._last_response_ms = clock.monotonic_ms()
        self._applied_revision: int | None = None
        self._is_connected = True
        self._failed_ms = self._last_response_ms
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the last call to the store succeeded."""
        return self._is_connected

    def start(self) -> None:
        """Start a task that follows the table until `stop` is called."""
        self._greenlet = start_task(
            self._run, self._clock, name=f'follow the table {self.table}'
        )

    def stop(self) -> None:
        """Stop the task and close the connection."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._client.close()

    def restart_if_silent(self) -> None:
        """Abandon a call that has had no response for `SILENCE_TIMEOUT_MS`."""
        silent_ms = self._clock.monotonic_ms() - self._last_response_ms
        is_waiting = self._is_connected and self._duty.is_due()
        if is_waiting and silent_ms >= SILENCE_TIMEOUT_MS:
            logger.bind(table=self.table, silent_ms=round(silent_ms)).warning(
                'store connection silent, reconnecting'
            )
            self.stop()
            self.start()

    @abstractmethod
    def known_revision(self) -> int:
        """Return the revision up to which the registry knows the table, or 0."""

    @abstractmethod
    def apply_all(self, rows: RowSet) -> None:
        """Apply all rows of the table."""

    @abstractmethod
    def apply_changes(self, rows: RowSet) -> None:
        """Apply changed rows."""

    def _run(self) -> None:
        while True:
            if not self._duty.is_due():
                self._rest()
                continue
            try:
                self._read_once()
            except HistoryLostError:
                logger.bind(
                    table=self.table,
                    era=era_of(self._applied_revision),
                    after=number_of(self._applied_revision),
                ).warning('store history unavailable')
                self._applied_revision = None
            except StoreError as error:
                self._on_failure(error)
            else:
                self._on_response()

    def _rest(self) -> None:
        # Peers pass on the changes meanwhile; the watch goes on from there. Whether the
        # store answers is not known from a call that failed before the rest.
        self._client.close()
        self._is_connected = True
        gevent.sleep(REST_INTERVAL_MS / MS_PER_SECOND)
        self._applied_revision = self.known_revision() or None
        self._last_response_ms = self._clock.monotonic_ms()

    def _read_once(self) -> None:
        if self._applied_revision is None:
            found = self._client.read_table(self.table)
            self._on_response()
            self.apply_all(found)
        else:
            # During an outage, a call that does not wait detects its end at once.
            wait_ms = choose_wait_ms(self._duty.rank()) if self._is_connected else 0
            found = self._client.follow_table(
                self.table, self._applied_revision, wait_ms=wait_ms
            )
            self._on_response()
            self.apply_changes(found)
            # Changes often come in bursts; the pause saves calls to the store.
            gevent.sleep(self.poll_pause_ms / MS_PER_SECOND)
        self._applied_revision = max(self._applied_revision or 0, found.revision)

    def _on_response(self) -> None:
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        self._last_response_ms = self._clock.monotonic_ms()
        if not self._is_connected:
            self._is_connected = True
            self._duty.set_store_reachable(is_reachable=True)
            self._registry.note_outage_end(self._failed_ms)
            logger.bind(table=self.table).info('store reachable again')

    def _on_failure(self, error: StoreError) -> None:
        self._duty.set_store_reachable(is_reachable=False)
        if self._is_connected:
            self._is_connected = False
            self._failed_ms = self._clock.monotonic_ms()
            logger.bind(table=self.table, details=str(error)).warning(
                'store unreachable'
            )
        self._pause(self._retry_delay_ms * random.uniform(0.5, 1))
        is_reserve = self._duty.is_reserve()
        longest_ms = MAX_RESERVE_DELAY_MS if is_reserve else MAX_RETRY_DELAY_MS
        self._retry_delay_ms = min(longest_ms, 2 * self._retry_delay_ms)

    def _pause(self, pause_ms: float) -> None:
        """Wait, but no longer than this entry has to follow the store."""
        pause_until_ms = self._clock.monotonic_ms() + pause_ms
        while self._duty.is_due():
            remaining_ms = pause_until_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                return
            gevent.sleep(min(remaining_ms, REST_INTERVAL_MS) / MS_PER_SECOND)


class OperatorWatch(TableWatch):
    """Follow the configuration and the orders of version moves and evacuations."""

    table = OPERATOR_TABLE
    poll_pause_ms = 500.0

    def known_revision(self) -> int:
        """Return the revision up to which the table is known, or 0."""
        return self._registry.operator_as_of

    def apply_all(self, rows: RowSet) -> None:
        """Apply all rows of the table."""
        listed = [
            _to_evacuation(row).data_centre
            for row in rows.rows
            if _is_evacuation(row) and row.content is not None
        ]
        evacuations = self._registry.evacuations
        for news in evacuations.missing(listed, rows.revision):
            self._registry.put_evacuation(news)
        self.apply_changes(rows)

    def apply_changes(self, rows: RowSet) -> None:
        """Apply changed rows."""
        evacuations = [row for row in rows.rows if _is_evacuation(row)]
        for row in evacuations:
            self._registry.put_evacuation(_to_evacuation(row))
        for row in rows.rows:
            # After a deletion, the last configuration or move stays in force.
            if row.content is None or row in evacuations:
                continue
            try:
                self._apply_row(row)
            except InvalidRecordError as error:
                logger.bind(
                    key=row.key, revision=row.revision, details=str(error)
                ).error('invalid operator record')
        self._registry.set_operator_as_of(rows.revision)

    def _apply_row(self, row: Row) -> None:
        if row.key == CONFIG_KEY:
            self._registry.put_config(decode_configuration(row.content), row.revision)
        elif row.key.startswith(MOVE_PREFIX):
            order: VersionMove = decode_move(row.content, row.revision)
            self._registry.put_order(order)


class ServerWatch(TableWatch):
    """Follow the registrations of backend servers."""

    table = SERVER_TABLE
    poll_pause_ms = 700.0

    def known_revision(self) -> int:
        """Return the revision up to which the servers are known, or 0."""
        return self._registry.servers_state.as_of

    def apply_all(self, rows: RowSet) -> None:
        """Apply all rows of the table."""
        self._registry.apply_all(map(_to_change, rows.rows), rows.revision)

    def apply_changes(self, rows: RowSet) -> None:
        """Apply changed rows."""
        self._registry.apply_changes(map(_to_change, rows.rows), rows.revision)


def _is_evacuation(row: Row) -> bool:
    return row.key.startswith(EVACUATION_PREFIX)


def _to_evacuation(row: Row) -> EvacuationNews:
    # The row says nothing beyond its key.
    return EvacuationNews(
        row.key.removeprefix(EVACUATION_PREFIX),
        is_evacuated=row.content is not None,
        revision=row.revision,
    )


def _to_change(row: Row) -> ServerChange:
    if row.content is None:
        return ServerChange(row.key, None, row.revision)
    try:
        server = decode_server(row.key, row.content)
    except InvalidRecordError as error:
        logger.bind(server=row.key, revision=row.revision, details=str(error)).warning(
            'invalid backend server registration'
        )
        server = None
    return ServerChange(row.key, server, row.revision)
