import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from benchmarks.config_mesh import ConfigMesh
from marjoramfall.model import Tier
from marjoramfall.platform_services import PlatformError
from marjoramfall.process.config.changes import PutTier
from marjoramfall.process.config.errors import (
    ChangeOutcomeUnknownError,
    ConfigChangeError,
)
from marjoramfall.process.config.log import CONFIG_TABLE, LOG_PREFIX, Submission
from marjoramfall.process.config.state import ConfigState
from tests.fakes import FakeTableService, FakeTableStorage

NODES = 5
ALL_NODES = st.integers(0, NODES - 1)
# Longer than a lease plus the resending of lost messages after it.
SETTLE_MS = 8000


class ConfigMachine(RuleBasedStateMachine):
    """Submit concurrent changes at several entries under faults.

    The log in the storage is the reference: the configuration of each entry
    must equal a prefix of it under lost messages, stale reads, partitions and
    restarts.
    """

    changes = Bundle('changes')

    def __init__(self):
        super().__init__()
        self.storage = FakeTableStorage()
        self.mesh = ConfigMesh(seed=1)
        self.starts = 0
        self.submissions = 0
        self.revisions_by_change_id = {}
        self.last_revision_by_node_id = {}
        for vm in range(NODES):
            self.start(vm)
        self.mesh.list_members()
        self.mesh.run(2000)

    def start(self, vm):
        self.starts += 1
        tables = FakeTableService(self.storage)
        node = self.mesh.start(f'vm-{vm}.{self.starts:04}.a', tables)
        self.last_revision_by_node_id[node.node_id] = 0

    def node(self, vm):
        return list(self.mesh.nodes_by_id.values())[vm]

    def submit(self, node, submission):
        key = (CONFIG_TABLE, f'change/{submission.change_id}')
        was_written = key in self.storage.rows
        try:
            written = self.mesh.submit(node, submission)
        except ChangeOutcomeUnknownError:
            return
        except (ConfigChangeError, PlatformError):
            assert (key in self.storage.rows) is was_written
            return
        assert self.storage.rows[key] == str(written.revision)
        first = self.revisions_by_change_id.setdefault(key, written.revision)
        assert first == written.revision

    def log_texts(self):
        tables = FakeTableService(self.storage)
        rows = tables.scan(CONFIG_TABLE, prefix=LOG_PREFIX, limit=10_000)
        return [row.value for row in rows]

    @rule(
        target=changes,
        vm=ALL_NODES,
        rank=st.integers(0, 3),
        behind=st.sampled_from([None, 0, 1]),
    )
    def change(self, vm, rank, behind):
        node = self.node(vm)
        self.submissions += 1
        tier = PutTier(entity=Tier(f'tier-{rank}', rank, self.submissions))
        base = 0 if behind is None else max(node.state.revision - behind, 0)
        submission = Submission(tier, f'c{self.submissions}', 'a', base)
        self.submit(node, submission)
        return submission

    @rule(vm=ALL_NODES, submission=changes)
    def repeat(self, vm, submission):
        self.submit(self.node(vm), submission)

    @rule(
        vm=ALL_NODES,
        fault=st.sampled_from(['lost_answers', 'lost_requests', 'stale_reads']),
        times=st.integers(1, 9),
    )
    def break_calls(self, vm, fault, times):
        setattr(self.node(vm).tables.faults, fault, times)

    @rule(vms=st.sets(ALL_NODES), outage=st.booleans())
    def break_store(self, vms, outage):
        for vm in vms:
            self.node(vm).tables.faults.outage = outage

    @rule(vms=st.sets(ALL_NODES, max_size=NODES - 1))
    def partition(self, vms):
        self.mesh.heal()
        self.mesh.partition([self.node(vm).node_id for vm in vms])

    @rule(vm=ALL_NODES)
    def restart(self, vm):
        stopped = self.node(vm)
        self.mesh.stop(stopped.node_id)
        self.start(int(stopped.node_id.split('.')[0].removeprefix('vm-')))
        self.mesh.list_members()

    @rule(duration_ms=st.sampled_from([1, 100, 1000, 4000]))
    def wait(self, duration_ms):
        self.mesh.run(duration_ms)

    @invariant()
    def configurations_follow_log(self):
        reference = ConfigState()
        texts = self.log_texts()
        configurations = [reference.configuration]
        for text in texts:
            reference.apply_records(reference.revision + 1, [text])
            configurations.append(reference.configuration)
        assert reference.revision == len(texts)
        for node_id, node in self.mesh.nodes_by_id.items():
            revision = node.state.revision
            assert node.state.configuration == configurations[revision]
            assert revision >= self.last_revision_by_node_id[node_id]
            self.last_revision_by_node_id[node_id] = revision

    @invariant()
    def one_record_per_change_id(self):
        used = [key for _, key in self.storage.rows if key.startswith('change/')]
        assert len(used) == len(self.log_texts())

    @invariant()
    def serving_entries_hold_revision_in_force(self):
        now_ms = self.mesh.now_ms
        nodes = self.mesh.nodes_by_id.values()
        serving = [
            node.state.revision for node in nodes if node.replicator.is_fresh(now_ms)
        ]
        for node in nodes:
            revision = node.state.revision
            confirmation = node.replicator.confirmation(revision, now_ms)
            if confirmation.in_force_everywhere:
                assert all(served >= revision for served in serving)

    def teardown(self):
        self.mesh.heal()
        for node in self.mesh.nodes_by_id.values():
            node.tables.faults.__init__()
        self.mesh.run(SETTLE_MS)
        head = len(self.log_texts())
        for node in self.mesh.nodes_by_id.values():
            assert node.state.revision == head
            assert node.replicator.is_fresh(self.mesh.now_ms)
            confirmation = node.replicator.confirmation(head, self.mesh.now_ms)
            assert confirmation.in_force_everywhere


class ConfigMachineTest(ConfigMachine.TestCase):
    """Guards against changes that are reverted, applied twice or never received."""

    settings = settings(
        max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
    )


if __name__ == '__main__':
    unittest.main()
