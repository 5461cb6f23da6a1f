import unittest

from marjoramfall.model import Configuration, Tier
from marjoramfall.process.config.snapshot import (
    REVISIONS_PER_SNAPSHOT,
    SnapshotMissingError,
    SnapshotStore,
    SnapshotTornError,
)
from tests.fakes import FakeObjectStore, FakeTableService


def configuration(revision):
    """Return a configuration with one tier."""
    return Configuration(revision, {'gold': Tier('gold', 0, revision)})


class SnapshotStoreTest(unittest.TestCase):
    """Check that a new VM never starts from a broken snapshot."""

    def setUp(self):
        self.objects = FakeObjectStore()
        self.store = SnapshotStore(FakeTableService(), self.objects)
        self.store.save(configuration(1))
        self.store.save(configuration(2))

    def load_broken(self, name, blob):
        if blob is None:
            self.objects.blobs_by_name.pop(name)
        else:
            self.objects.blobs_by_name[name] = blob
        return self.store.load()

    def test_latest(self):
        """Guards against replacing a newer snapshot by an older one."""
        self.assertFalse(self.store.save(configuration(1)))
        self.assertEqual(self.store.load().configuration, configuration(2))

    def test_broken_latest(self):
        """Guards against loading a torn snapshot, or failing on a missing one.

        The previous snapshot must be loaded instead.
        """
        name = 'config/snapshot-2'
        whole = self.objects.blobs_by_name[name]
        cases = (
            (whole[:-9], SnapshotTornError),
            (whole.replace(b'gold', b'cold'), SnapshotTornError),
            (None, SnapshotMissingError),
        )
        for blob, error in cases:
            with self.subTest(error=error):
                loaded = self.load_broken(name, blob)
                self.assertEqual(loaded.configuration, configuration(1))
                self.assertIsInstance(loaded.errors[0], error)

    def test_all_broken(self):
        """Guards against a VM that cannot start if no snapshot is usable."""
        for revision in (1, 2):
            loaded = self.load_broken(f'config/snapshot-{revision}', b'{}')
        self.assertEqual(loaded.configuration, Configuration())
        self.assertEqual(len(loaded.errors), 2)

    def test_due(self):
        """Guards against a log tail that grows without bound for lack of snapshots."""
        self.assertFalse(self.store.is_due(configuration(REVISIONS_PER_SNAPSHOT)))
        self.assertTrue(self.store.is_due(configuration(REVISIONS_PER_SNAPSHOT + 2)))
