"""Stand in for the platform's services in memory, with their faults."""

from collections import deque
from dataclasses import dataclass, field

from marjoramfall.platform_services import (
    ObjectStore,
    PlatformAnswerLostError,
    PlatformUnavailableError,
    Row,
    TableService,
    VmList,
)


@dataclass
class FakeFaults:
    """Switch faults on; counted ones apply to that many next calls."""

    outage: bool = False
    lost_answers: int = 0
    lost_requests: int = 0
    stale_reads: int = 0

    def take(self, name: str) -> bool:
        """Use up one counted fault; return whether there was one."""
        remaining = getattr(self, name)
        setattr(self, name, max(remaining - 1, 0))
        return remaining > 0

    def check_outage(self) -> None:
        """Raise `PlatformUnavailableError` during an outage."""
        if self.outage:
            raise PlatformUnavailableError('outage')


@dataclass
class FakeTableStorage:
    """Hold the rows that several `FakeTableService` connections share."""

    rows: dict = field(default_factory=dict)
    earlier: deque = field(default_factory=lambda: deque(maxlen=3))

    def apply(self, conditions, writes) -> bool:
        """Apply the writes if the conditions hold."""
        for condition in conditions:
            if self.rows.get((condition.table, condition.key)) != condition.equals:
                return False
        if writes:
            self.earlier.append(dict(self.rows))
        for write in writes:
            if write.value is None:
                self.rows.pop((write.table, write.key), None)
            else:
                self.rows[write.table, write.key] = write.value
        return True

    def view(self, *, stale: bool) -> dict:
        """Return the rows as they are or as they were a few writes ago."""
        return self.earlier[0] if stale and self.earlier else self.rows


class FakeTableService(TableService):
    """Serve rows of a storage to one client, with that client's faults."""

    def __init__(self, storage=None, faults=None):
        self.storage = storage or FakeTableStorage()
        self.faults = faults or FakeFaults()
        self.reads = 0
        self.transactions = 0

    def transact(self, conditions, writes):
        """Apply a transaction; a lost answer is raised after the writes."""
        self.faults.check_outage()
        self.transactions += 1
        if writes and self.faults.take('lost_requests'):
            raise PlatformAnswerLostError('lost before the write')
        applied = self.storage.apply(conditions, writes)
        if writes and self.faults.take('lost_answers'):
            raise PlatformAnswerLostError('lost after the write')
        return applied

    def read(self, table, key):
        """Return a row, possibly a stale one."""
        return self._view().get((table, key))

    def scan(self, table, *, prefix='', after='', limit=100):
        """Return rows in key order, possibly stale ones."""
        rows = self._view()
        keys = sorted(
            key
            for row_table, key in rows
            if row_table == table and key.startswith(prefix) and key > after
        )
        return [Row(key, rows[table, key]) for key in keys[:limit]]

    def _view(self):
        self.faults.check_outage()
        self.reads += 1
        return self.storage.view(stale=self.faults.take('stale_reads'))


class FakeObjectStore(ObjectStore):
    """Hold blobs in memory."""

    def __init__(self, faults=None):
        self.blobs_by_name = {}
        self.faults = faults or FakeFaults()

    def put(self, name, blob):
        """Store a blob; a lost answer is raised after the write."""
        self.faults.check_outage()
        self.blobs_by_name[name] = blob
        if self.faults.take('lost_answers'):
            raise PlatformAnswerLostError('lost after the write')

    def get(self, name):
        """Return a blob or None."""
        self.faults.check_outage()
        return self.blobs_by_name.get(name)


class FakeVmList(VmList):
    """Hold the list of VMs."""

    def __init__(self, vms=(), faults=None):
        self.vms = list(vms)
        self.faults = faults or FakeFaults()

    def list_vms(self):
        """Return all VMs."""
        self.faults.check_outage()
        return list(self.vms)
