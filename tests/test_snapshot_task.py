import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.model import Configuration, Tier
from marjoramfall.process.config.replication import ConfigReplicator
from marjoramfall.process.config.snapshot import SnapshotStore
from marjoramfall.process.config.state import ConfigState
from marjoramfall.process.snapshot_task import SnapshotTask
from tests.fakes import FakeObjectStore, FakeTableService


class EndOfTestError(Exception):
    """Leave the endless loop of a task."""


class CountedClock(PausedClock):
    """End the task after some sleeps; the outage ends with the second."""

    def __init__(self, faults, sleeps):
        super().__init__()
        self._faults = faults
        self._left = sleeps

    def sleep_ms(self, duration_ms):
        """Advance the time or end the task."""
        self._left -= 1
        self._faults.outage = self._faults.outage and self._left > 1
        if not self._left:
            raise EndOfTestError
        super().sleep_ms(duration_ms)


class SnapshotTaskTest(unittest.TestCase):
    """Check the start from a snapshot and the writing of new ones."""

    def setUp(self):
        self.tables = FakeTableService()
        self.objects = FakeObjectStore(self.tables.faults)
        self.store = SnapshotStore(self.tables, self.objects)
        self.state = ConfigState()

    def run_task(self, sleeps):
        clock = CountedClock(self.tables.faults, sleeps)
        replicator = ConfigReplicator('own', self.state)
        task = SnapshotTask(self.store, replicator, clock, on_loaded=self.state.restore)
        with self.assertRaises(EndOfTestError):
            task.run('own')

    def save(self, revision):
        tiers = {'gold': Tier('gold', 0, 1000)}
        configuration = Configuration(revision=revision, tiers_by_id=tiers)
        self.store.save(configuration)
        return configuration

    def test_store_is_back(self):
        """Guards against a start that gives up while the store is down."""
        saved = self.save(300)
        self.tables.faults.outage = True
        self.run_task(sleeps=4)
        self.assertEqual(self.state.configuration, saved)

    def test_due(self):
        """Guards against a log tail that grows without a new snapshot."""
        self.state.restore(Configuration(revision=1000))
        self.run_task(sleeps=2)
        self.assertEqual(self.store.load().configuration.revision, 1000)
