import unittest

from marjoramfall.messages import VersionWithdrawn
from marjoramfall.model import Tier
from marjoramfall.process.config.changes import PutTier
from tests.entry_cluster import SERVICE, EntryCluster

LEASE_MS = 3000


class ConfigurationInForceTest(unittest.TestCase):
    """Check accepted changes over several entries and failures."""

    def setUp(self):
        self.cluster = EntryCluster(9)
        self.cluster.configure()
        self.first = self.cluster.nodes[0]
        self.rest = self.cluster.nodes[1:]

    def revisions(self):
        return {node.core.config.revision for node in self.cluster.nodes}

    def change(self, deadline_ms):
        tier = PutTier(entity=Tier('gold', 0, deadline_ms))
        return self.cluster.submit(tier, self.first)

    def test_spread(self):
        """Guards against a change that some entry learns too late."""
        revision = self.change(5000)
        self.cluster.advance(500)
        self.assertEqual(self.revisions(), {revision})

    def test_cut_off_from_the_store(self):
        """Guards against entries that learn changes from the store only."""
        for node in self.rest:
            node.tables.faults.outage = True
        revision = self.change(5000)
        self.cluster.advance(500)
        self.assertEqual(self.revisions(), {revision})

    def test_isolated_entry_stops_serving(self):
        """Guards against an entry that serves an outdated configuration."""
        isolated = self.rest[0]
        isolated.tables.faults.outage = True
        self.cluster.sides[isolated.vm] = 'isolated'
        revision = self.change(5000)
        self.cluster.advance(LEASE_MS + 500)
        self.assertFalse(self.cluster.is_fresh(isolated))
        self.assertTrue(self.cluster.is_fresh(self.first))
        self.cluster.sides.clear()
        self.cluster.advance(3000)
        self.assertEqual(isolated.core.config.revision, revision)
        self.assertTrue(self.cluster.is_fresh(isolated))

    def test_store_outage(self):
        """Guards against a store outage that stops serving."""
        for node in self.cluster.nodes:
            node.tables.faults.outage = True
        for _ in range(20):
            self.cluster.advance(1000)
            stale = [n.vm for n in self.cluster.nodes if not self.cluster.is_fresh(n)]
            self.assertEqual(stale, [])

    def test_stale_reads_never_revert(self):
        """Guards against an old replica that takes a change back."""
        self.change(5000)
        for node in self.rest:
            node.tables.faults.stale_reads = 50
        self.change(6000)
        self.cluster.advance(3000)
        for checked in self.cluster.nodes:
            self.assertEqual(checked.revisions, sorted(checked.revisions))
        self.assertEqual(len(self.revisions()), 1)

    def test_restarted_entry(self):
        """Guards against a new incarnation that serves an old configuration."""
        revision = self.change(5000)
        self.cluster.kill(self.rest[0])
        restarted = self.cluster.start(self.rest[0].vm)
        self.assertFalse(self.cluster.is_fresh(restarted))
        self.cluster.advance(3000)
        self.assertEqual(restarted.core.config.revision, revision)
        self.assertTrue(self.cluster.is_fresh(restarted))


class GroupUnderFailureTest(unittest.TestCase):
    """Check grants while entries die, freeze, part and stop."""

    def setUp(self):
        self.cluster = EntryCluster(5)
        self.cluster.configure()
        self.asker = self.cluster.others()[0]
        self.other = self.cluster.others()[1]
        self.cluster.ask(self.other, 'running')
        self.cluster.confirm(self.other, 'running')

    def test_dispatcher_killed(self):
        """Guards against requests that wait for ever for a dead dispatcher."""
        self.cluster.ask(self.asker, 'a-low', rank=2)
        self.cluster.ask(self.asker, 'z-high', rank=0)
        self.cluster.kill(self.cluster.dispatcher)
        self.cluster.advance(4000)
        self.assertFalse(self.cluster.is_granted(self.asker, 'z-high'))
        self.cluster.finish(self.other, 'running')
        self.cluster.advance(200)
        self.assertTrue(self.cluster.is_granted(self.asker, 'z-high'))
        self.assertFalse(self.cluster.is_granted(self.asker, 'a-low'))

    def test_dispatcher_stops(self):
        """Guards against a planned stop that loses waiting requests."""
        stopping = self.cluster.dispatcher
        self.cluster.ask(self.asker, 'waiting')
        self.cluster.leave(stopping)
        self.cluster.advance(1000)
        self.assertIsNot(self.cluster.dispatcher, stopping)
        self.cluster.finish(self.other, 'running')
        self.cluster.advance(200)
        self.assertTrue(self.cluster.is_granted(self.asker, 'waiting'))

    def test_dead_entry_returns_its_credits(self):
        """Guards against a server that stays full of a dead entry's requests."""
        self.cluster.ask(self.asker, 'waiting')
        self.cluster.kill(self.other)
        self.cluster.advance(4000)
        self.assertTrue(self.cluster.is_granted(self.asker, 'waiting'))

    def test_frozen_entry(self):
        """Guards against a dispatch on a grant that lapsed during a pause."""
        self.cluster.finish(self.other, 'running')
        self.cluster.ask(self.asker, 'paused')
        self.assertTrue(self.cluster.is_granted(self.asker, 'paused'))
        self.asker.frozen = True
        self.cluster.advance(10_000)
        self.assertFalse(self.cluster.confirm(self.asker, 'paused'))
        self.asker.frozen = False
        self.cluster.advance(3000)
        self.cluster.ask(self.asker, 'again')
        self.cluster.advance(500)
        self.assertTrue(self.cluster.is_granted(self.asker, 'again'))

    def test_both_sides_of_a_partition(self):
        """Guards against a side without the dispatcher that serves nothing."""
        near, far = self.cluster.dispatcher, self.asker
        self.cluster.sides[far.vm] = 'far'
        self.cluster.advance(4000)
        self.cluster.ask(near, 'near')
        self.cluster.ask(far, 'far')
        self.cluster.advance(1000)
        self.assertTrue(self.cluster.is_granted(far, 'far'))
        self.cluster.finish(self.other, 'running')
        self.cluster.advance(200)
        self.assertTrue(self.cluster.is_granted(near, 'near'))


class LeavingServerTest(unittest.TestCase):
    """Check that a leaving server gets no new request."""

    def setUp(self):
        self.cluster = EntryCluster(3)
        self.cluster.configure()
        self.asker = self.cluster.others()[0]

    def test_listed_as_leaving(self):
        """Guards against grants for a server that the platform takes away."""
        self.cluster.leaving_addresses.add('10.0.0.1:80')
        self.cluster.advance(2000)
        self.cluster.ask(self.asker, 'late')
        self.cluster.advance(500)
        self.assertFalse(self.cluster.is_granted(self.asker, 'late'))

    def test_granted_before_the_signal(self):
        """Guards against the use of a grant after the server's own signal."""
        self.cluster.ask(self.asker, 'granted')
        state = self.asker.core.state
        state.on_server_signal(
            'engine-1', self.cluster.clock.monotonic_ms(), leaving=True
        )
        self.assertFalse(self.cluster.confirm(self.asker, 'granted'))


class WithdrawnVersionTest(unittest.TestCase):
    """Check that a withdrawal reaches grants that are on their way."""

    def test_withdrawal_by_a_peer(self):
        """Guards against requests to a bad version after its withdrawal."""
        cluster = EntryCluster(3)
        cluster.configure()
        asker = cluster.others()[0]
        cluster.ask(asker, 'granted')
        withdrawn = VersionWithdrawn(
            service_id=SERVICE, version_id='drafting-v1', move_id='m', reason='errors'
        )
        sender = cluster.dispatcher.core.incarnation
        asker.core.receive(sender, withdrawn, cluster.clock.monotonic_ms(), 0)
        self.assertFalse(cluster.confirm(asker, 'granted'))
