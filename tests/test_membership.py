import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from benchmarks.member_model import MemberModel
from marjoramfall.messages import Heartbeat, Leaving, MemberUpdate
from marjoramfall.platform_services import VmRecord, VmRole, VmState
from marjoramfall.process.membership.member import (
    MemberJoined,
    MemberLeaving,
    SendMessage,
)
from marjoramfall.process.membership.membership import Membership

COUNT = 5
CONVERGED_MS = 20_000
indexes = st.integers(0, COUNT - 1)


class MembershipMachine(RuleBasedStateMachine):
    """Kill, restart, pause and partition entries in any order."""

    def __init__(self):
        super().__init__()
        self.model = MemberModel(COUNT, seed=7, loss=0.02)
        self.model.run(3000)
        self.disturbed_ms = {}
        self.partitioned = False

    @rule(duration_ms=st.sampled_from((100, 500, 2000)))
    def advance(self, duration_ms):
        """Let time pass."""
        self.model.run(duration_ms)

    @rule(index=indexes)
    def kill(self, index):
        """End a process without any notice to others."""
        for node in self._at(index):
            node.alive = False

    @rule(index=indexes)
    def restart(self, index):
        """Start a new incarnation at the address."""
        self.model.run(20)
        node = self.model.start(index)
        node.side = index % 2 if self.partitioned else 0

    @rule(index=indexes, duration_ms=st.sampled_from((300, 1500, 4000)))
    def pause(self, index, duration_ms):
        """Stop a process for a while; its messages wait."""
        for node in self._at(index):
            node.paused_until_ms = self.model.now_ms + duration_ms
            self.disturbed_ms[node.incarnation] = node.paused_until_ms

    @precondition(lambda machine: not machine.partitioned)
    @rule()
    def partition(self):
        """Cut the even entries off from the odd ones."""
        self._set_sides(1)

    @precondition(lambda machine: machine.partitioned)
    @rule()
    def heal(self):
        """Connect all entries again."""
        self._set_sides(0)

    @invariant()
    def an_answering_member_stays(self):
        """No entry removes one that kept running and stayed connected."""
        running = {node.incarnation for node in self.model.alive()}
        for node in self.model.nodes:
            for removed_ms, incarnation in node.removed:
                settled_ms = self.disturbed_ms.get(incarnation, 0)
                settled_ms = (
                    max(settled_ms, self.disturbed_ms.get('partition', 0)) + 3000
                )
                if incarnation in running and not self.partitioned:
                    assert removed_ms <= settled_ms, (removed_ms, incarnation)

    @invariant()
    def one_incarnation_per_address(self):
        """No entry has two incarnations of one address as members."""
        for node in self.model.alive():
            addresses = [member.address for member in node.membership.members]
            assert len(addresses) == len(set(addresses))

    def teardown(self):
        """After the partition heals, each view holds exactly the running entries."""
        self._set_sides(0)
        self.model.run(CONVERGED_MS)
        running = {node.incarnation for node in self.model.alive()}
        for node in self.model.alive():
            assert node.view == running - {node.incarnation}

    def _at(self, index):
        name = f'vm-{index}.'
        return [n for n in self.model.alive() if n.incarnation.startswith(name)]

    def _set_sides(self, modulus):
        self.partitioned = bool(modulus)
        self.disturbed_ms['partition'] = self.model.now_ms
        for node in self.model.nodes:
            index = int(node.incarnation.partition('.')[0][3:])
            node.side = index % 2 * modulus


MembershipMachineTest = MembershipMachine.TestCase
MembershipMachineTest.settings = settings(
    max_examples=12,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)


def heartbeat(address, updates=()):
    """Return a heartbeat of a member at the address."""
    return Heartbeat(
        address=address,
        revision=0,
        head_age_ms=None,
        store_reachable=True,
        probe=1,
        updates=list(updates),
    )


class MembershipTest(unittest.TestCase):
    """Check single membership rules that random runs rarely reach."""

    def setUp(self):
        self.membership = Membership('vm-1.01.a', '10.0.0.1:7', seed=1)
        self.address = '10.0.0.2:7'
        self.membership.on_message('vm-2.02.a', heartbeat(self.address), 0)

    def incarnations(self):
        """Return the incarnations of the members."""
        return [member.incarnation for member in self.membership.members]

    def test_late_message_of_old_incarnation(self):
        """Guards against a late heartbeat that brings back a replaced incarnation."""
        actions = self.membership.on_message('vm-2.01.a', heartbeat(self.address), 1)
        self.assertEqual((actions, self.incarnations()), ([], ['vm-2.02.a']))

    def test_new_incarnation_replaces(self):
        """Guards against two members at one address after a restart."""
        self.membership.on_message('vm-2.03.a', heartbeat(self.address), 1)
        self.assertEqual(self.incarnations(), ['vm-2.03.a'])

    def test_missing_from_list(self):
        """Guards against removing a live member that a lagging list omits."""
        self.membership.on_vm_list([], 1)
        self.assertEqual(self.incarnations(), ['vm-2.02.a'])

    def test_leaving_is_learned_once(self):
        """Guards against a planned stop that is not reported, or once per source."""
        record = VmRecord('vm-2', self.address, VmRole.ENTRY, VmState.LEAVING, 'a')
        actions = self.membership.on_message('vm-2.02.a', Leaving(), 1)
        actions += self.membership.on_vm_list([record], 2)
        self.assertEqual(actions, [MemberLeaving('vm-2.02.a')])

    def test_gossip_alone_adds_no_member(self):
        """Guards against adding a member from the updates of others alone."""
        first = Membership('vm-3.01.a', '10.0.0.3:7')
        first.on_message('vm-9.01.a', heartbeat('10.0.0.9:7'), 0)
        updates = [member.to_update() for member in first.members]
        message = heartbeat(self.address, updates)
        actions = self.membership.on_message('vm-2.02.a', message, 1)
        self.assertFalse([a for a in actions if isinstance(a, MemberJoined)])

    def test_reported_dead_but_answering(self):
        """Guards against removal because others alone report a member dead."""
        report = MemberUpdate(
            incarnation='vm-2.02.a',
            vm='vm-2',
            address=self.address,
            state='dead',
            sequence=0,
        )
        self.membership.on_message('vm-3.01.a', heartbeat('10.0.0.3:7', [report]), 10)
        self.membership.tick(20)
        self.assertIn('vm-2.02.a', self.incarnations())

    def test_suspected_member_refutes(self):
        """Guards against a suspected entry that does not refute the suspicion."""
        report = MemberUpdate(
            incarnation='vm-1.01.a',
            vm='vm-1',
            address='10.0.0.1:7',
            state='suspect',
            sequence=4,
        )
        actions = self.membership.on_message(
            'vm-2.02.a', heartbeat(self.address, [report]), 10
        )
        own = [u for u in actions[-1].message.updates if u.vm == 'vm-1']
        self.assertEqual([(u.state, u.sequence) for u in own], [('alive', 5)])

    def test_own_pause_suspects_nobody(self):
        """Guards against suspecting members whose answers a paused process missed."""
        self.membership.tick(20)
        self.membership.tick(5000)
        suspected = [m for m in self.membership.members if m.suspected_ms is not None]
        self.assertEqual(suspected, [])

    def test_probes_are_bounded(self):
        """Guards against a burst of probes when a data centre is lost."""
        for index in range(200):
            address = f'10.0.1.{index}:7'
            self.membership.on_message(f'vm-x{index}.02.a', heartbeat(address), 0)
        for step in range(1, 400):
            sent = [
                action.message
                for action in self.membership.tick(step * 20)
                if isinstance(action, SendMessage)
            ]
            heartbeats = [m for m in sent if isinstance(m, Heartbeat)]
            self.assertLessEqual(len(heartbeats), 9)


class LossyNetworkTest(unittest.TestCase):
    """Check that messages lost in the network remove nobody."""

    def removed(self, model):
        """Return the removals seen by all entries."""
        return [removal for node in model.nodes for removal in node.removed]

    def test_lost_messages(self):
        """Guards against removing a member at once when a few messages are lost."""
        model = MemberModel(9, seed=5, loss=0.1)
        model.run(60_000)
        self.assertEqual(self.removed(model), [])

    def test_cut_between_two(self):
        """Guards against removal when one path is cut, for lack of indirect probes."""
        model = MemberModel(5, seed=5)
        model.run(2000)
        first, second = model.nodes[:2]
        model.cut = {first.address, second.address}
        model.run(10_000)
        self.assertEqual(self.removed(model), [])

    def test_dead_member_is_removed(self):
        """Guards against a dead entry that stays a member for more than 1.6 s."""
        model = MemberModel(9, seed=5)
        model.run(3000)
        model.nodes[0].alive = False
        model.run(1600)
        self.assertEqual(len(self.removed(model)), 8)
