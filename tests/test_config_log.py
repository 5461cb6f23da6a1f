import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.model import Team, Tier
from marjoramfall.process.config.changes import Delete, PutTeam, PutTier
from marjoramfall.process.config.draft import EntityKind
from marjoramfall.process.config.errors import (
    ChangeIdReusedError,
    ChangeOutcomeUnknownError,
    ContradictingRecordError,
    RevisionConflictError,
    StillReferencedError,
    UnknownReferenceError,
)
from marjoramfall.process.config.log import ConfigLog, Submission
from marjoramfall.process.config.state import ConfigState
from tests.fakes import FakeTableService

GOLD = PutTier(entity=Tier('gold', 0, 5000))
SILVER = PutTier(entity=Tier('silver', 1, 9000))


def submission(change, change_id, base=0):
    """Return a change of one operator."""
    return Submission(change, change_id, 'ada', base)


class ConfigLogTest(unittest.TestCase):
    """Check that each change is written once or reported as failed."""

    def setUp(self):
        self.tables = FakeTableService()
        self.log = ConfigLog(self.tables, PausedClock())
        self.state = ConfigState()

    def submit(self, change, change_id, base=0):
        written = self.log.submit(submission(change, change_id, base), self.state)
        self.state.apply_records(written.revision, [written.text])
        return written.revision

    def test_repeated_change_id(self):
        """Guards against applying a repeated change twice, or reusing its id."""
        self.assertEqual(self.submit(GOLD, 'c1'), 1)
        self.assertEqual(self.submit(SILVER, 'c2'), 2)
        self.tables.faults.stale_reads = 1
        self.assertEqual(self.submit(GOLD, 'c1', 1), 1)
        self.assertEqual(self.log.read_head(), 2)
        with self.assertRaises(ChangeIdReusedError):
            self.submit(SILVER, 'c1')

    def test_lost_answer(self):
        """Guards against writing a change twice after a lost request or answer."""
        self.tables.faults.lost_answers = 1
        self.assertEqual(self.submit(GOLD, 'c1'), 1)
        self.tables.faults.lost_requests = 1
        self.assertEqual(self.submit(SILVER, 'c2'), 2)
        self.assertEqual(self.log.read_head(), 2)

    def test_unknown_outcome(self):
        """Guards against reporting an unanswered write as not written."""
        self.tables.faults.lost_requests = 100
        with self.assertRaises(ChangeOutcomeUnknownError):
            self.submit(GOLD, 'c1')

    def test_concurrent_changes(self):
        """Guards against two changes that are both written on one base revision."""
        self.submit(GOLD, 'c1')
        other_log = ConfigLog(self.tables, PausedClock())
        other_log.submit(submission(SILVER, 'c2', 1), ConfigState())
        with self.assertRaises(RevisionConflictError):
            self.submit(Delete(kind=EntityKind.TIER, entity_id='gold'), 'c3', 1)

    def test_missing_references(self):
        """Guards against a configuration that refers to missing entities."""
        team = PutTeam(entity=Team('crew', 'gold', 'a' * 64))
        with self.assertRaises(UnknownReferenceError):
            self.submit(team, 'c1')
        self.submit(GOLD, 'c2')
        self.submit(team, 'c3')
        with self.assertRaises(StillReferencedError):
            self.submit(Delete(kind=EntityKind.TIER, entity_id='gold'), 'c4')


class ConfigStateTest(unittest.TestCase):
    """Check that records are applied in order and never reverted."""

    def setUp(self):
        log = ConfigLog(FakeTableService(), PausedClock())
        source = ConfigState()
        for number in range(4):
            tier = PutTier(entity=Tier(f'tier-{number}', number, 1000))
            written = log.submit(submission(tier, f'c{number}'), source)
            source.apply_records(written.revision, [written.text])
        self.texts = source.records_after(0)
        self.state = ConfigState()

    def test_gap(self):
        """Guards against applying a record before the one that precedes it."""
        self.assertEqual(self.state.apply_records(3, self.texts[2:]), 0)
        self.assertEqual(self.state.revision, 0)
        self.assertEqual(self.state.apply_records(1, self.texts[:2]), 4)

    def test_late_record(self):
        """Guards against a late record that reverts a newer revision."""
        self.state.apply_records(1, self.texts)
        latest = self.state.configuration
        self.state.apply_records(1, self.texts[:2])
        self.assertIs(self.state.configuration, latest)

    def test_contradicting_record(self):
        """Guards against accepting two different records of one revision."""
        self.state.apply_records(1, self.texts)
        with self.assertRaises(ContradictingRecordError):
            self.state.apply_records(2, [self.texts[1].replace('tier-1', 'tier-x')])
