import unittest

from benchmarks.config_mesh import ConfigMesh
from marjoramfall.clock import PausedClock
from marjoramfall.messages import ConfigEntries, ConfigRequest
from marjoramfall.model import Tier
from marjoramfall.process.config.changes import PutTier
from marjoramfall.process.config.log import ConfigLog, LogTail, Submission
from marjoramfall.process.config.peers import (
    LEASE_MS,
    SILENT_PEER_TIMEOUT_MS,
    PeerReport,
)
from marjoramfall.process.config.replication import (
    ConfigReplicator,
    PollStore,
    SendToPeer,
)
from marjoramfall.process.config.state import ConfigState
from tests.fakes import FakeTableService, FakeTableStorage

OWN = 'vm-0.0.a'
PEERS = tuple(f'vm-{vm}.0.a' for vm in range(1, 5))
LATER_MS = 10 * LEASE_MS


def written_texts(changes):
    """Return the log record texts of a number of changes."""
    log = ConfigLog(FakeTableService(), PausedClock())
    state = ConfigState()
    for number in range(changes):
        tier = PutTier(entity=Tier('gold', 0, number + 1))
        written = log.submit(Submission(tier, f'c{number}', 'ada', 0), state)
        state.apply_records(written.revision, [written.text])
    return state.records_after(0, limit=changes)


class ConfigReplicatorTest(unittest.TestCase):
    """Check the rules of the lease and of confirmations one by one."""

    def setUp(self):
        self.texts = written_texts(2)
        self.state = ConfigState()
        self.replicator = ConfigReplicator(OWN, self.state)
        self.replicator.on_members((OWN, *PEERS), 0)

    def receive_reports(
        self, peers, now_ms, *, revision=0, age_ms=None, store=False, is_answer=True
    ):
        actions = []
        for peer in peers:
            report = PeerReport(revision, age_ms, store, now_ms if is_answer else None)
            actions += self.replicator.on_heartbeat(peer, report, now_ms)
        return actions

    def lose_store(self):
        """Learn the head at time 0 and lose the store afterwards."""
        self.replicator.on_polled(LogTail(0, 1, [], verified=True), 0, 0)
        self.replicator.on_poll_failed(1)

    def test_lease_expiry(self):
        """Guards against serving an old revision after the lease has expired."""
        self.lose_store()
        self.assertTrue(self.replicator.is_fresh(LEASE_MS))
        self.assertFalse(self.replicator.is_fresh(LEASE_MS + 1))

    def test_unverified_head(self):
        """Guards against an unverified, possibly stale head that extends the lease."""
        self.replicator.on_polled(LogTail(0, 1, []), 0, 0)
        self.assertFalse(self.replicator.is_fresh(0))

    def test_stale_head(self):
        """Guards against a poll that verifies the result of a stale read."""
        tables = FakeTableService()
        log = ConfigLog(tables, PausedClock())
        tier = PutTier(entity=Tier('gold', 0, 1))
        log.submit(Submission(tier, 'c1', 'ada', 0), ConfigState())
        tables.faults.stale_reads = 1
        self.assertFalse(log.poll(0).verified)
        self.assertTrue(log.poll(1).verified)

    def test_unsolicited_heartbeat(self):
        """Guards against an unsolicited heartbeat that extends the lease.

        It may have waited in a buffer, so its age is unknown.
        """
        self.receive_reports(PEERS[:1], LATER_MS, age_ms=0, is_answer=False)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))
        self.receive_reports(PEERS[:1], LATER_MS, age_ms=0)
        self.assertTrue(self.replicator.is_fresh(LATER_MS))

    def test_head_of_later_revision(self):
        """Guards against extending the lease of a revision older than the head."""
        actions = self.receive_reports(PEERS[:1], LATER_MS, revision=1, age_ms=0)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))
        request = SendToPeer(PEERS[0], ConfigRequest(after_revision=0))
        self.assertEqual(actions, [request])

    def test_majority(self):
        """Guards against an outage of the store that stops all entries.

        Answers of a majority without the store must extend the lease.
        """
        self.lose_store()
        self.receive_reports(PEERS[:1], LATER_MS)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))
        self.receive_reports(PEERS[:2], LATER_MS)
        self.assertTrue(self.replicator.is_fresh(LATER_MS))

    def test_majority_of_shrunk_list(self):
        """Guards against a minority that takes itself for all members.

        Members that left the list count until they announce their stop.
        """
        self.lose_store()
        self.replicator.on_members((OWN, PEERS[0]), LATER_MS)
        self.receive_reports(PEERS[:1], LATER_MS)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))
        for peer in PEERS[1:]:
            self.replicator.on_left(peer, LATER_MS)
        self.assertTrue(self.replicator.is_fresh(LATER_MS))

    def test_majority_with_store(self):
        """Guards against a majority lease while a member reaches the store.

        That member may write a change that the others do not know.
        """
        self.lose_store()
        self.receive_reports(PEERS[:3], LATER_MS)
        self.receive_reports(PEERS[3:], LATER_MS, store=True)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))

    def test_majority_knows_later_revision(self):
        """Guards against a majority lease while a peer has a later revision."""
        self.lose_store()
        self.receive_reports(PEERS[:3], LATER_MS)
        self.receive_reports(PEERS[3:], LATER_MS, revision=1)
        self.assertFalse(self.replicator.is_fresh(LATER_MS))

    def test_unconfirmed_majority(self):
        """Guards against reporting a change as in force before a majority has it."""
        self.replicator.on_written(1, self.texts[0], 0)
        self.receive_reports(PEERS[:1], LATER_MS, revision=1)
        confirmation = self.replicator.confirmation(1, 2 * LATER_MS)
        self.assertEqual(confirmation.unconfirmed, PEERS[1:])

    def test_silent_minority(self):
        """Guards against waiting forever for a silent entry.

        Its lease expires once a majority has confirmed the change.
        """
        self.replicator.on_written(1, self.texts[0], 0)
        self.receive_reports(PEERS[:3], LATER_MS, revision=1)
        soon_ms = LATER_MS + SILENT_PEER_TIMEOUT_MS
        confirmation = self.replicator.confirmation(1, soon_ms)
        self.assertEqual(confirmation.unconfirmed, PEERS[3:])
        confirmation = self.replicator.confirmation(1, soon_ms + 1)
        self.assertTrue(confirmation.in_force_everywhere)

    def test_fallback_poll(self):
        """Guards against an entry without news from readers that never polls."""
        replicator = ConfigReplicator(OWN, self.state)
        others = [f'vm-{vm}.0.a' for vm in range(1, 30)]
        replicator.on_members((OWN, *others), 0)
        self.assertNotIn(OWN, replicator.reader_ids)
        self.assertIn(PollStore(0), replicator.tick(LATER_MS))

    def test_new_vm_without_store(self):
        """Guards against a new VM that cannot start while the store is down."""
        source = ConfigState()
        source.apply_records(1, self.texts)
        self.state.restore(source.configuration)
        request = ConfigRequest(after_revision=0)
        sent = self.replicator.on_request(PEERS[0], request, 0)[0].message
        other = ConfigState()
        ConfigReplicator(PEERS[0], other).on_entries(OWN, sent, 0)
        self.assertEqual(other.configuration, self.state.configuration)

    def due_queries(self, now_ms):
        """Return the queries and records that are due to be sent."""
        actions = self.replicator.tick(now_ms)
        return [action for action in actions if isinstance(action, SendToPeer)]

    def test_queries(self):
        """Guards against a lease that expires because heartbeats reach few members."""
        self.lose_store()
        queries = self.due_queries(LATER_MS)
        self.assertEqual([query.peer_id for query in queries], list(PEERS))
        other = ConfigReplicator(PEERS[0], ConfigState())
        answer = other.on_request(OWN, queries[0].message, 0)[0].message
        for peer in PEERS[:2]:
            self.assertFalse(self.replicator.is_fresh(LATER_MS))
            self.replicator.on_entries(peer, answer, LATER_MS)
        self.assertTrue(self.replicator.is_fresh(LATER_MS))

    def test_answer_to_earlier_process(self):
        """Guards against accepting an answer to an earlier process at this address."""
        self.due_queries(LATER_MS)
        for asked_ms in (0, LATER_MS - 1, LATER_MS + 1):
            answer = ConfigEntries(
                first_revision=1, entries=[], asked_ms=asked_ms, head_age_ms=0
            )
            self.replicator.on_entries(PEERS[0], answer, LATER_MS)
            self.assertFalse(self.replicator.is_fresh(LATER_MS))

    def test_large_group_without_store(self):
        """Guards against an outage that stops a group too large to be queried.

        Members that membership does not suspect count for the majority.
        """
        others = [f'vm-{vm}.0.a' for vm in range(1, 41)]
        self.replicator.on_members((OWN, *others), 0)
        self.receive_reports(others, 0, store=True)
        self.lose_store()
        self.assertTrue(self.replicator.is_fresh(LATER_MS))
        suspects = others[:20]
        self.replicator.on_members((OWN, *others), 0, suspect_ids=suspects)
        self.assertTrue(self.replicator.is_fresh(LATER_MS))
        self.replicator.on_members((OWN, *others), 0, suspect_ids=others[:21])
        self.assertFalse(self.replicator.is_fresh(2 * LATER_MS))

    def test_records_after_gap(self):
        """Guards against confirming records that are buffered after a gap."""
        message = ConfigEntries(first_revision=2, entries=self.texts[1:])
        answer = self.replicator.on_entries(PEERS[0], message, 0)
        request = SendToPeer(PEERS[0], ConfigRequest(after_revision=0))
        self.assertEqual(answer, [request])


class StoreOutageTest(unittest.TestCase):
    """Check which entries serve without the store, over simulated links."""

    def start(self, size, probes):
        mesh = ConfigMesh(seed=1, probes=probes)
        storage = FakeTableStorage()
        for vm in range(size):
            mesh.start(f'vm-{vm}.0.a', FakeTableService(storage))
        mesh.list_members()
        mesh.run(LEASE_MS)
        return mesh

    def stale_nodes(self, mesh):
        """Return the nodes that were not fresh at some time within two leases."""
        stale_nodes = set()
        for _ in range(40):
            mesh.run(2 * LEASE_MS / 40)
            for node_id, node in mesh.nodes_by_id.items():
                if not node.replicator.is_fresh(mesh.now_ms):
                    stale_nodes.add(node_id)
        return stale_nodes

    def test_outage(self):
        """Guards against entries that stop serving during an outage of the store."""
        for size, probes in ((9, 0), (9, 2), (40, 2)):
            with self.subTest(size=size, probes=probes):
                mesh = self.start(size, probes)
                for node in mesh.nodes_by_id.values():
                    node.tables.faults.outage = True
                self.assertEqual(self.stale_nodes(mesh), set())

    def test_partition(self):
        """Guards against a minority that keeps serving without the store."""
        mesh = self.start(9, 2)
        minority = list(mesh.nodes_by_id)[:4]
        mesh.partition(minority)
        for node_id in minority:
            mesh.nodes_by_id[node_id].tables.faults.outage = True
        self.assertEqual(self.stale_nodes(mesh), set(minority))
