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
from marjoramfall.platform.store import Row, StoreClient, StoreError

ENTRY_TABLE = 'entries'
RETRY_DELAY_MS = 500
# Entries also learn of each other by datagrams, but not of all in other data
# centres. Read soon again while entries are still being added.
MIN_READ_INTERVAL_MS = 2000
MAX_READ_INTERVAL_MS = 60_000
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
        self._vm = vm
        self._is_registered = False
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
        self._choose_interval(len(self._peers.member_by_vm) - known_count)
        known_vms = {member.key for member in rows.rows}
        if self._is_registered and self._vm not in known_vms:
            logger.bind(era=era_of(rows.revision)).warning(
                'row of this entry missing in the store'
            )
            self._write_own_row()
        self._read_era = era_of(rows.revision)
        if write_error is not None:
            raise write_error

    def _choose_interval(self, added_count: int) -> None:
        if added_count:
            logger.bind(added=added_count, members=len(self._peers.member_by_vm)).info(
                'entries found in the store'
            )
            self._read_interval_ms = MIN_READ_INTERVAL_MS
        else:
            self._read_interval_ms = min(
                2 * self._read_interval_ms, MAX_READ_INTERVAL_MS
            )

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
        if self._is_registered:
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
