"""Test the registry and the peer table with late, lost and stale updates."""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.peers.peer_table import PEER_EXPIRY_MS, Member, PeerTable
from marjoramfall.gateway.registry import (
    LAPSE_GRACE_MS,
    LATE_NEWS_MS,
    RESTORE_GRACE_MS,
    Registry,
    ServerChange,
)
from marjoramfall.gateway.revision import make_revision
from tests.gateway_fakes import (
    make_config,
    make_route,
    make_server,
    make_state,
    new_registry,
)


def change(server_id, revision, **changes):
    """Return a change that registers a server at a revision."""
    return ServerChange(server_id, make_server(server_id, **changes), revision)


class RegistryCase(unittest.TestCase):
    """Provide a registry with one server at revision 10."""

    def setUp(self):
        self.clock = PausedClock()
        self.versions = []
        self.registry = Registry(
            self.clock,
            lambda config: self.versions.append(config.version),
            lambda: None,
            lambda order: None,
        )
        self.registry.apply_all([change('s1', 10)], 10)

    def ids(self):
        """Return the IDs of all usable servers."""
        return {server.server_id for server in self.registry.servers}


class TestConfiguration(RegistryCase):
    """The configuration version never decreases."""

    def test_stale(self):
        """Guards against a stale read that reverts the configuration."""
        self.registry.put_config(make_config(5), 11)
        self.registry.put_config(make_config(4), 12)
        self.assertEqual(self.registry.config.version, 5)
        self.assertEqual(self.versions, [5])

    def test_older_version_of_restored_store(self):
        """Guards against a configuration that comes back older with the store."""
        self.registry.put_config(make_config(5), make_revision(1, 11))
        self.registry.put_config(make_config(4), make_revision(2, 9))
        self.assertEqual(self.versions, [5])

    def test_version_given_out_again(self):
        """Guards against ignoring a configuration whose version was lost once.

        What was read before the loss doesn't replace it again.
        """
        lost = make_config(5)
        new = make_config(5, routes=(make_route('new'),))
        self.registry.put_config(lost, make_revision(1, 11))
        self.registry.put_config(new, make_revision(2, 9))
        self.registry.put_config(lost, make_revision(1, 11))
        self.assertEqual(self.registry.config, new)

    def test_snapshot(self):
        """An entry without access to the store gets its state from a peer."""
        self.registry.put_config(make_config(5), 11)
        other = Registry(
            self.clock, lambda config: None, lambda: None, lambda order: None
        )
        other.merge(self.registry.snapshot())
        self.assertEqual(other.config.version, 5)
        self.assertEqual(len(other.servers), 1)

    def test_snapshot_of_lapsing(self):
        """Guards against dropping or keeping a server whose registration lapsed.

        An entry that does not follow the store learns of the outage by the snapshot.
        """
        self.registry.note_outage_end()
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        other = Registry(
            self.clock, lambda config: None, lambda: None, lambda order: None
        )
        other.merge(self.registry.snapshot())
        self.assertEqual(len(other.servers), 1)
        self.clock.advance_ms(LAPSE_GRACE_MS)
        other.end_grace_periods()
        self.assertEqual(other.servers, [])

    def test_refused_alone(self):
        """Guards against keeping a server that left while the store refused this entry.

        Its peers followed the store meanwhile, so that no registration has lapsed.
        """
        failed_ms = self.clock.monotonic_ms()
        self.clock.advance_ms(LATE_NEWS_MS + 1)
        peer = new_registry(self.clock)
        peer.apply_all([change('s1', 10), change('s2', 11)], 11)
        self.registry.merge(peer.snapshot())
        self.registry.note_outage_end(failed_ms)
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        self.assertEqual(self.ids(), {'s2'})

    def test_outage_heard_of(self):
        """Guards against dropping servers as a peer found an outage to end first."""
        failed_ms = self.clock.monotonic_ms()
        self.clock.advance_ms(LATE_NEWS_MS + 1)
        peer = new_registry(self.clock)
        peer.note_outage_end()
        peer.apply_all([change('s1', 10), change('s2', 11)], 11)
        self.registry.merge(peer.snapshot())
        self.registry.note_outage_end(failed_ms)
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        self.assertEqual(self.ids(), {'s1', 's2'})

    def test_removed_server_in_snapshot(self):
        """Guards against using a server again that only a peer holds to be lapsing."""
        peer = new_registry(self.clock)
        peer.note_outage_end()
        peer.merge(self.registry.snapshot())
        peer.apply_changes([ServerChange('s1', None, 12)], 13)
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        self.registry.merge(peer.snapshot())
        self.assertEqual(self.ids(), set())

    def test_order_in_snapshot(self):
        """Guards against a version move that only those following the store know."""
        orders = []
        other = Registry(self.clock, lambda config: None, lambda: None, orders.append)
        order = VersionMove('ledger', 'v2', 10, revision=15)
        self.registry.put_config(make_config(5), 11)
        self.registry.put_order(order)
        self.assertEqual(self.registry.config_state.changed, 15)
        other.merge(self.registry.snapshot())
        other.merge(self.registry.snapshot())
        self.assertEqual(orders, [order])

    def test_stale_snapshot(self):
        """Guards against applying the snapshot of a peer that is behind."""
        old = self.registry.snapshot()
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        self.registry.merge(old)
        self.assertFalse(self.ids())


class TestServers(RegistryCase):
    """Registrations are applied in the order of their revisions."""

    def test_late_change(self):
        """Guards against an older registration that makes a leaving server usable."""
        self.registry.apply_changes([change('s1', 12, is_leaving=True)], 12)
        self.registry.apply_changes([change('s1', 11)], 11)
        self.assertTrue(self.registry.servers[0].is_leaving)

    def test_removed(self):
        """A removal is applied at once while the store is reachable."""
        self.registry.apply_changes([ServerChange('s1', None, 12)], 12)
        self.assertFalse(self.ids())

    def test_stale_read(self):
        """Guards against a complete read that is older than the watched changes."""
        self.registry.apply_changes([change('s2', 12)], 12)
        self.registry.apply_all([change('s1', 10)], 11)
        self.assertEqual(self.ids(), {'s1', 's2'})

    def test_unreadable(self):
        """Guards against keeping a server whose registration became unreadable."""
        self.registry.apply_changes([ServerChange('s1', None, 13)], 13)
        self.assertFalse(self.ids())


class TestOutage(RegistryCase):
    """Registrations lapse during an outage of the store and are renewed later."""

    def setUp(self):
        super().setUp()
        self.clock.advance_ms(5000)
        self.registry.note_outage_end()
        self.registry.apply_all([], 20)

    def test_kept_during_grace(self):
        """Guards against removing all servers of a service after an outage."""
        self.assertEqual(self.ids(), {'s1'})

    def test_registered_again(self):
        """A server that registers again within the grace period stays."""
        self.registry.apply_changes([change('s1', 22)], 22)
        self.clock.advance_ms(LAPSE_GRACE_MS + 1)
        self.registry.end_grace_periods()
        self.assertEqual(self.ids(), {'s1'})

    def test_dropped_after_grace(self):
        """Guards against keeping a server that did not register again."""
        self.clock.advance_ms(LAPSE_GRACE_MS + 1)
        self.registry.end_grace_periods()
        self.assertFalse(self.ids())

    def test_leaving_has_no_grace(self):
        """Guards against a grace period for a server that announced its stop."""
        self.registry.apply_changes([change('s2', 23, is_leaving=True)], 23)
        self.registry.apply_changes([ServerChange('s2', None, 24)], 24)
        self.assertEqual(self.ids(), {'s1'})


class TestRestoredStore(RegistryCase):
    """The store comes back from a copy that is some seconds old."""

    def setUp(self):
        super().setUp()
        self.clock.advance_ms(5000)

    def test_not_in_copy(self):
        """Guards against removing servers that registered in the lost seconds.

        They stay if they register again, and are removed if they don't.
        """
        self.registry.apply_changes([change('s2', 30)], 30)
        self.registry.apply_all([], make_revision(1, 5))
        self.registry.apply_changes(
            [change('s2', make_revision(1, 7))], make_revision(1, 7)
        )
        self.assertEqual(self.ids(), {'s1', 's2'})
        self.clock.advance_ms(LAPSE_GRACE_MS + 1)
        self.registry.end_grace_periods()
        self.assertEqual(self.ids(), {'s2'})

    def test_first_read(self):
        """Guards against taking the first read for one after a restoration.

        A server that is removed soon after it is not kept.
        """
        registry = new_registry(self.clock)
        as_of = make_revision(1, 10)
        registry.apply_all([change('s1', as_of)], as_of)
        removed = ServerChange('s1', None, make_revision(1, 11))
        registry.apply_changes([removed], removed.revision)
        self.assertEqual(registry.servers, [])

    def test_leaving_in_lost_seconds(self):
        """Guards against using a server again that has said that it leaves.

        The copy holds what the server had said before.
        """
        left = change('s1', 30, is_leaving=True, sequence=9)
        self.registry.apply_changes([left], 30)
        as_of = make_revision(1, 20)
        self.registry.apply_all([change('s1', make_revision(1, 10))], as_of)
        self.assertTrue(self.registry.servers[0].is_leaving)

    def test_started_again(self):
        """Guards against ignoring a new incarnation of a server that was leaving."""
        left = change('s1', 30, is_leaving=True, sequence=9)
        self.registry.apply_changes([left], 30)
        as_of = make_revision(1, 20)
        started = change('s1', as_of, born_ms=2, sequence=1)
        self.registry.apply_all([started], as_of)
        self.assertFalse(self.registry.servers[0].is_leaving)

    def lose_removal(self):
        """Remove the server, and restore the store from a copy that has it."""
        self.registry.apply_changes([ServerChange('s1', None, 30)], 30)
        as_of = make_revision(1, 20)
        self.registry.apply_all([change('s1', make_revision(1, 10))], as_of)

    def test_gone_in_lost_seconds(self):
        """Guards against using a server that has left, and against never using it.

        It is used if the store still lists it once it had dropped a silent one.
        """
        self.lose_removal()
        self.assertFalse(self.ids())
        other = new_registry(self.clock)
        other.merge(self.registry.snapshot())
        self.assertEqual(other.servers, [])
        self.clock.advance_ms(RESTORE_GRACE_MS)
        for registry in (self.registry, other):
            registry.end_grace_periods()
            self.assertEqual(len(registry.servers), 1)

    def test_gone_says_more(self):
        """Guards against withholding a server that reports again after the loss."""
        self.lose_removal()
        revision = make_revision(1, 21)
        self.registry.apply_changes([change('s1', revision, sequence=3)], revision)
        self.assertEqual(self.ids(), {'s1'})


class TestPeerTable(unittest.TestCase):
    """Peers send states, become silent and restart."""

    def setUp(self):
        self.clock = PausedClock()
        self.peers = PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a')
        self.peers.update(make_state(sequence=5))

    def test_old_datagram(self):
        """Guards against applying a datagram that arrives after a newer one."""
        stale = make_state(sequence=4)
        self.assertIs(self.peers.update(stale), stale)

    def test_restart(self):
        """Guards against ignoring a restarted peer whose clock went back."""
        restarted = make_state(sequence=1, incarnation=0)
        self.assertEqual(self.peers.update(restarted).sequence, 5)

    def test_silent(self):
        """A silent peer counts as possibly serving until it expires."""
        self.clock.advance_ms(2000)
        self.assertEqual(list(self.peers.live_peers()), [])
        self.assertEqual(self.peers.unresponsive_share(), 1 / 2)
        self.clock.advance_ms(PEER_EXPIRY_MS)
        self.assertEqual(self.peers.drop_expired_peers(), ['entry-2'])
        self.assertEqual(self.peers.entry_count(), 1)

    def test_just_started(self):
        """Guards against a full limit at each of many restarted entries.

        An entry that just started has not received the states of its peers.
        """
        for number in range(3, 6):
            self.peers.add_member(
                f'entry-{number}', Member(f'entry-{number}:1', 'dc-a')
            )
        self.assertEqual(self.peers.unresponsive_share(), 3 / 5)
        self.clock.advance_ms(PEER_EXPIRY_MS)
        self.peers.update(make_state(sequence=6))
        self.assertEqual(self.peers.unresponsive_share(), 0)

    def test_leaving_is_not_silent(self):
        """Guards against reserving a share for a peer that announced its stop."""
        self.peers.update(make_state(sequence=6, is_leaving=True))
        self.clock.advance_ms(2000)
        self.assertEqual(self.peers.unresponsive_share(), 0)

    def test_own_group(self):
        """Guards against sending each change to all peers of a large system."""
        for number in range(60):
            centre = 'dc-a' if number % 3 else 'dc-b'
            vm = f'vm-{number:02}'
            self.peers.update(make_state(vm, data_centre=centre))
        group = self.peers.group_addresses()
        self.assertTrue(group)
        self.assertLessEqual(len(group), 20)
        self.assertLessEqual(set(group), set(self.peers.data_centre_addresses()))
