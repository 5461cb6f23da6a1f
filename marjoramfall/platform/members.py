"""Discover the other entries through the store."""

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.peer_table import Member, PeerTable
from marjoramfall.platform.store import Row, StoreClient, StoreError

ENTRY_TABLE = 'entries'
RETRY_DELAY_MS = 500
# Entries also learn of each other by datagrams; this read finds an entry whose
# datagrams were all lost.
READ_INTERVAL_MS = 60_000


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
    ) -> None:
        self._client = client
        self._peers = peers
        self._clock = clock
        self._vm = vm
        self._is_registered = False
        self._own_record = msgspec.json.encode(_EntryRecord(address, data_centre))

    def run(self) -> None:
        """Call `register` at a fixed interval, sooner after an error; never returns."""
        while True:
            try:
                self.register()
            except StoreError as error:
                logger.bind(details=str(error)).warning(
                    'cannot register or read entries in the store'
                )
                self._clock.sleep_ms(RETRY_DELAY_MS)
            else:
                self._clock.sleep_ms(READ_INTERVAL_MS)

    def register(self) -> None:
        """Write the row of this entry once and read all rows; raises `StoreError`."""
        if not self._is_registered:
            self._client.write_row(ENTRY_TABLE, self._vm, self._own_record)
            self._is_registered = True
        self._read_peers()

    def _read_peers(self) -> None:
        for row in self._client.read_table(ENTRY_TABLE).rows:
            self._add_peer(row)

    def _add_peer(self, row: Row) -> None:
        try:
            record = msgspec.json.decode(row.content or b'', type=_EntryRecord)
        except msgspec.DecodeError as error:
            logger.bind(vm=row.key, details=str(error)).warning('invalid entry record')
            return
        self._peers.add_member(row.key, Member(record.address, record.data_centre))
