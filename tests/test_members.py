"""Test how entries find each other through the store."""

from unittest.mock import patch

from gevent import sleep, spawn

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.peers.peer_table import Member
from marjoramfall.platform import members
from marjoramfall.platform.store import StoreError
from tests.gateway_fakes import make_state
from tests.store_case import MembersCase
from tests.watch_case import wait_until

UNHEARD_ROW_MS = 60


class TestMembers(MembersCase):
    """Entries discover each other through the store."""

    def test_restored_store(self):
        """Guards against an entry whose row was lost and that later ones don't find."""
        copy = self.store.copy()
        task = spawn(self.directory.run)
        self.addCleanup(task.kill)
        self.assertTrue(wait_until(self.is_registered))
        self.store.restore(copy)
        self.assertTrue(wait_until(self.is_registered))

    def is_registered(self):
        """Return whether the store has the row of the entry."""
        return self.store.get('entries', 'entry-1') is not None

    def test_two_entries(self):
        """An entry reads the addresses of others and skips invalid records."""
        record = {'address': '10.0.0.2:7', 'dataCentre': 'dc-b'}
        self.store.put('entries', 'entry-2', record)
        self.store.put_raw('entries', 'entry-3', b'nonsense')
        self.directory.register()
        self.assertEqual(
            self.peers.member_by_vm, {'entry-2': Member('10.0.0.2:7', 'dc-b')}
        )
        self.assertIn(b'10.0.0.1:7', self.store.get('entries', 'entry-1'))


class TestRowsOfEntries(MembersCase):
    """The table of entries holds those that serve, not all that ever did.

    The pattern is review/10: after a restart, 11 entries that had left long ago counted
    as ones that may use the limits of teams.
    """

    def setUp(self):
        super().setUp()
        patcher = patch.object(members, 'UNHEARD_ROW_MS', UNHEARD_ROW_MS)
        patcher.start()
        self.addCleanup(patcher.stop)
        record = {'address': '10.0.0.2:7', 'dataCentre': 'dc-a'}
        self.store.put('entries', 'entry-2', record)

    def has_row(self, vm):
        """Return whether the store has the row of an entry."""
        return self.store.get('entries', vm) is not None

    def test_planned_stop(self):
        """Guards against the row of an entry that has stopped as planned."""
        self.directory.register()
        self.directory.withdraw(self.new_client())
        self.directory.register()
        self.assertFalse(self.has_row('entry-1'))

    def test_killed(self):
        """Guards against the row of an entry that is gone without a stop."""
        self.directory.register()
        sleep(2 * UNHEARD_ROW_MS / MS_PER_SECOND)
        self.directory.register()
        self.assertFalse(self.has_row('entry-2'))
        self.assertTrue(self.has_row('entry-1'))

    def test_heard(self):
        """Guards against removing the row of an entry that serves."""
        self.directory.register()
        sleep(2 * UNHEARD_ROW_MS / MS_PER_SECOND)
        self.peers.update(make_state('entry-2', data_centre='dc-a'))
        self.directory.register()
        self.assertTrue(self.has_row('entry-2'))

    def test_refused_write(self):
        """Guards against an entry that reads no more as the store refuses writes."""
        self.directory.register()
        sleep(2 * UNHEARD_ROW_MS / MS_PER_SECOND)
        with patch.object(self.client, 'remove_row', side_effect=StoreError('refused')):
            self.directory.register()
        self.assertTrue(self.has_row('entry-2'))
        self.directory.register()
        self.assertFalse(self.has_row('entry-2'))

    def test_other_remover(self):
        """Guards against several entries that remove the same rows."""
        self.directory.register()
        sleep(2 * UNHEARD_ROW_MS / MS_PER_SECOND)
        self.peers.update(make_state('entry-0', uptime_ms=10_000))
        self.directory.register()
        self.assertTrue(self.has_row('entry-2'))
