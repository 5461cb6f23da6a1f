"""Discover the other entries through the store."""

from collections.abc import Callable

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.peer_table import Member, MemberReading, PeerTable
from marjoramfall.gateway.revision import era_of
from marjoramfall.platform.json_records import (
    InvalidRecordError,
    check_address,
    decode_record,
)
from marjoramfall.platform.store import Row, RowSet, StoreClient, StoreError

ENTRY_TABLE = 'entries'
RETRY_DELAY_MS = 500
# Entries also learn of each other by datagrams, but not of all in other data
# centres. Read soon again while entries are still being added.
MIN_READ_INTERVAL_MS = 2000
MAX_READ_INTERVAL_MS = 60_000
# Applies while rows of silent entries may have to be removed.
UNHEARD_READ_INTERVAL_MS = 10_000
# The row of an entry that was silent for so long is removed; longer than the time for
# which a silent entry may use its share of the limits.
UNHEARD_ROW_MS = 30_000
# How often an entry checks whether the store was restored.
CHECK_INTERVAL_MS = 500


class _EntryRecord(msgspec.Struct, rename='camel'):
    address: str
    # Absent in rows of versions without groups.
    data_centre: str = ''


class MemberDirectory:
    """Register this entry and read the peer addresses of the others."""

    def __init__(
        self,
        client: StoreClient,
        peers: PeerTable,
        clock: Clock,
        *,
        vm: str,
        address: str,
        data_centre: str,
        store_era: Callable[[], int],
    ) -> None:
        self._store_era = store_era
        self._read_era = 0
        self._client = client
        self._peers = peers
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._vm = vm
        self._is_registered = False
        self._is_leaving = False
        self._unheard_since_ms: dict[str, float] = {}
        self._read_interval_ms = MIN_READ_INTERVAL_MS
        self._own_record = msgspec.json.encode(_EntryRecord(address, data_centre))

    def run(self) -> None:
        """Register, and again after an interval or a restoration; never returns."""
        while True:
            try:
                self.register()
            except StoreError as error:
                logger.bind(details=str(error)).warning(
                    'cannot register or read entries in the store'
                )
                if self._peers.reading is MemberReading.NOT_TRIED:
                    self._peers.reading = MemberReading.FAILED
                self._clock.sleep_ms(RETRY_DELAY_MS)
            else:
                self._rest()

    def register(self) -> None:
        """Write the row of this entry and read all; raises `StoreError`.

        The row is written again if a restored store has lost it. A store that refuses
        writes may still be read.
        """
        write_error = self._write_first_row()
        known_count = len(self._peers.member_by_vm)
        # Before the read, which may miss a row that is written meanwhile.
        self._peers.is_incomplete = False
        rows = self._client.read_table(ENTRY_TABLE)
        for row in rows.rows:
            self._add_peer(row)
        self._peers.reading = MemberReading.DONE
        self._remove_unheard(rows)
        self._choose_interval(len(self._peers.member_by_vm) - known_count)
        known_vms = {member.key for member in rows.rows}
        is_missing = self._vm not in known_vms
        if self._is_registered and is_missing and not self._is_leaving:
            logger.bind(era=era_of(rows.revision)).warning(
                'row of this entry missing in the store'
            )
            self._write_own_row()
        self._read_era = era_of(rows.revision)
        if write_error is not None:
            raise write_error

    def withdraw(self, client: StoreClient) -> None:
        """Remove the row of this entry as it stops, by a client of its own.

        Rows of entries that have left count as entries that may be serving at each
        start of another one.
        """
        if self._is_leaving:
            return
        self._is_leaving = True
        try:
            client.remove_row(ENTRY_TABLE, self._vm)
        except StoreError as error:
            logger.bind(details=str(error)).warning('row of this entry not removed')
        else:
            logger.info('row of this entry removed')
        finally:
            client.close()

    def _remove_unheard(self, rows: RowSet) -> None:
        """Remove the rows of entries that have left without doing so themselves.

        One entry of the group does so; an entry that was only cut off writes its row
        again.
        """
        now_ms = self._clock.monotonic_ms()
        since_by_vm = self._unheard_since_ms
        self._unheard_since_ms = {
            row.key: since_by_vm.get(row.key, now_ms)
            for row in rows.rows
            if self._peers.is_unheard(row.key)
        }
        if not self._peers.is_first_of_group(int(now_ms - self._started_ms)):
            return
        for row in rows.rows:
            unheard_ms = now_ms - self._unheard_since_ms.get(row.key, now_ms)
            if unheard_ms >= UNHEARD_ROW_MS:
                self._remove_row(row, unheard_ms)

    def _remove_row(self, row: Row, unheard_ms: float) -> None:
        log = logger.bind(peer=row.key, unheard_ms=round(unheard_ms))
        try:
            self._client.remove_row(
                ENTRY_TABLE, row.key, expected_revision=row.revision
            )
        except StoreError as error:
            # A store that refuses writes may still be read; tried at the next read.
            log.bind(details=str(error)).warning('row of an entry not removed')
        else:
            log.info('row of an entry removed that was not heard')

    def _choose_interval(self, added_count: int) -> None:
        if added_count:
            logger.bind(added=added_count, members=len(self._peers.member_by_vm)).info(
                'entries found in the store'
            )
            self._read_interval_ms = MIN_READ_INTERVAL_MS
        else:
            longest_ms = MAX_READ_INTERVAL_MS
            if self._unheard_since_ms:
                longest_ms = UNHEARD_READ_INTERVAL_MS
            self._read_interval_ms = min(2 * self._read_interval_ms, longest_ms)

    def _rest(self) -> None:
        """Wait until the rows have to be read again."""
        read_ms = self._clock.monotonic_ms()
        rest_ms = self._read_interval_ms
        while self._clock.monotonic_ms() - read_ms < rest_ms:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            if self._store_era() > self._read_era:
                return
            if self._peers.is_incomplete:
                rest_ms = MIN_READ_INTERVAL_MS

    def _write_first_row(self) -> StoreError | None:
        """Write the row of this entry unless that is done; return why it failed."""
        if self._is_registered or self._is_leaving:
            return None
        try:
            self._write_own_row()
        except StoreError as error:
            return error
        return None

    def _write_own_row(self) -> None:
        self._client.write_row(ENTRY_TABLE, self._vm, self._own_record)
        self._is_registered = True

    def _add_peer(self, row: Row) -> None:
        try:
            record = decode_record(row.content or b'', _EntryRecord)
            check_address(record.address)
        except InvalidRecordError as error:
            logger.bind(vm=row.key, details=str(error)).warning('invalid entry record')
            return
        self._peers.add_member(row.key, Member(record.address, record.data_centre))
