"""Let entries find each other through the store."""

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.peer_table import PeerTable
from marjoramfall.platform.store import Row, StoreClient, StoreError

MEMBER_TABLE = 'entries'
RETRY_MS = 500
# An entry whose datagrams were all lost is found by the next read.
READ_INTERVAL_MS = 60_000


class _Member(msgspec.Struct):
    address: str


class MemberDirectory:
    """Register this entry and read where the others listen."""

    def __init__(
        self,
        client: StoreClient,
        peers: PeerTable,
        clock: Clock,
        *,
        vm: str,
        address: str,
    ) -> None:
        self._client = client
        self._peers = peers
        self._clock = clock
        self._vm = vm
        self._is_registered = False
        self._own = msgspec.json.encode(_Member(address))

    def run(self) -> None:
        """Register once and read from time to time; never returns."""
        while True:
            try:
                self.register()
            except StoreError as error:
                logger.bind(details=str(error)).warning('entries not read')
                self._clock.sleep_ms(RETRY_MS)
            else:
                self._clock.sleep_ms(READ_INTERVAL_MS)

    def register(self) -> None:
        """Write the own row once and read the others; raises `StoreError`."""
        if not self._is_registered:
            self._client.write_row(MEMBER_TABLE, self._vm, self._own)
            self._is_registered = True
        self._read()

    def _read(self) -> None:
        for row in self._client.read_table(MEMBER_TABLE).rows:
            self._use(row)

    def _use(self, row: Row) -> None:
        try:
            member = msgspec.json.decode(row.content or b'', type=_Member)
        except msgspec.DecodeError as error:
            logger.bind(vm=row.key, details=str(error)).warning('entry not understood')
            return
        self._peers.add_address(row.key, member.address)
