"""Test the exchange of load between groups of entries in large systems.

The patterns are hundreds of entries that share servers and team limits, relays that
are killed, a data centre that is cut off, and the kill of most entries at once.
"""

import random
import unittest
from collections import Counter, defaultdict

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.digest_builder import DigestBuilder
from marjoramfall.gateway.group_digest import DIGEST_MARK, Scope, encode_digest
from marjoramfall.gateway.group_relay import DigestListener, GroupRelay
from marjoramfall.gateway.model import Team
from marjoramfall.gateway.outside_groups import (
    DIGEST_INTERVAL_MS,
    SILENCE_TIMEOUT_MS,
    digest_interval_ms,
    source_of,
)
from marjoramfall.gateway.peer_groups import MAX_SINGLE_GROUP, PeerGroups
from marjoramfall.gateway.peer_loads import (
    PeerLoads,
    report_of_digest,
    report_of_state,
)
from marjoramfall.gateway.peer_state import (
    ServerUse,
    decode_state,
    encode_state,
)
from marjoramfall.gateway.peer_table import HEARTBEAT_MS, Member, PeerTable
from marjoramfall.gateway.shared_limit import SharedLimits
from marjoramfall.gateway.version_moves import VersionMoves
from tests.gateway_fakes import make_load, make_server, make_state

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e')
SERVERS = 60
ENTRIES = 195
RATE_PER_S = 675_000
BURST = RATE_PER_S
# One team at 7.5 times its load while the load of all callers is at 2.2 times.
OVERLOAD_FACTOR = 9.2
# About the time in which an entry collects changes before it reports them.
STEP_MS = 25
STEPS_PER_HEARTBEAT = int(HEARTBEAT_MS / STEP_MS)
STEPS_PER_FULL_STATE = 2 * STEPS_PER_HEARTBEAT
REQUEST_TOKENS = 3840
# Bounds set by the users: the allowed excess over a limit in a window of 8 s.
OVER_SHARE = 0.1
SLACK = 190_000
WINDOW_S = 8
TEAM = Team('school', None, RATE_PER_S, BURST, counts_tokens=True, plain_tokens=200)


def members(count):
    """Return the data centre of each of many VMs."""
    return {f'vm-{number:03}': DATA_CENTRES[number % 5] for number in range(count)}


class SimulatedEntry(DigestListener):
    """Run the coordination of one entry without sockets."""

    def __init__(self, network, vm, data_centre):
        self.network = network
        self.vm = vm
        self.clock = network.clock
        self.started_ms = self.clock.monotonic_ms()
        self.incarnation = network.next_incarnation()
        self.sequence = 0
        self.peers = PeerTable(self.clock, own_vm=vm, data_centre=data_centre)
        for name, centre in network.data_centre_by_vm.items():
            self.peers.add_member(name, Member(name, centre))
        self.limits = SharedLimits(
            tolerance_share=OVER_SHARE,
            tolerance=0.3 * SLACK,
            starts_full=network.is_first_start,
        )
        self.limits.set_teams({TEAM.name: TEAM}, self.clock.monotonic_ms())
        self.moves = VersionMoves(self.clock, expose_share=0.1)
        self.loads = {
            f's{number}': make_load(f's{number}') for number in range(SERVERS)
        }
        self.peer_loads = PeerLoads(self.loads, lambda service_id: None)
        self.uses = []
        self.has_changed = False
        self.exchanged_ms = self.started_ms
        self.digests = DigestBuilder(self.clock, self.peers, self.limits, self.moves)
        self.relay = GroupRelay(self.peers, self, self.clock, own_vm=vm, send=self.send)

    def own_digest(self, scope, *, with_all_limits):
        state = self.state(with_all_limits=True)
        return self.digests.build(scope, state, with_all_limits=with_all_limits)

    def uptime_ms(self):
        return int(self.clock.monotonic_ms() - self.started_ms)

    def on_digest(self, digest):
        recent_share = min(1, self.uptime_ms() / max(1, digest.uptime_ms))
        now_ms = self.clock.monotonic_ms()
        self.limits.add_digest(digest, now_ms, recent_share=recent_share)
        self.moves.on_reports(source_of(digest), digest.moves)
        self.peer_loads.replace(report_of_digest(digest), 0)

    def on_relay_change(self):
        self.drop_silent()

    def drop_silent(self):
        """Drop the load of those that are silent."""
        sources = {peer.state.vm for peer in self.peers.live_peers()}
        self.peer_loads.keep_only(sources | self.peers.outside.live_sources())

    def state(self, *, with_all_limits):
        """Return the state for the group."""
        self.sequence += 1
        limits = self.limits
        return make_state(
            self.vm,
            self.sequence,
            address=self.vm,
            data_centre=self.network.data_centre_by_vm[self.vm],
            incarnation=self.incarnation,
            uptime_ms=self.uptime_ms(),
            uses=self.uses,
            limit_uses=limits.uses() if with_all_limits else limits.changed_uses(),
            has_all_limits=with_all_limits,
        )

    def heartbeat(self, *, is_full):
        """Send the state to the group."""
        self.has_changed = False
        datagram = encode_state(self.state(with_all_limits=is_full))
        self.send(datagram, self.peers.group_addresses())

    def send(self, datagram, addresses):
        """Send a datagram over the simulated network."""
        for address in addresses:
            self.network.deliver(self.vm, address, datagram)

    def receive(self, datagram):
        """Process a datagram as `PeerExchange` does."""
        if datagram.startswith(DIGEST_MARK):
            self.relay.receive(datagram)
            return
        state = decode_state(datagram)
        if self.peers.update(state) is state:
            return
        now_ms = self.clock.monotonic_ms()
        if state.has_all_limits:
            recent_share = min(1, self.uptime_ms() / max(1, state.uptime_ms))
            self.limits.add_peer(
                state.vm,
                state.incarnation,
                state.limit_uses,
                now_ms,
                recent_share=recent_share,
            )
        else:
            self.limits.subtract_peer_use(
                state.vm, state.incarnation, state.limit_uses, now_ms
            )
        self.peer_loads.replace(report_of_state(state), 0)

    def check(self, *, is_heartbeat):
        """Send the digests that are due, and drop silent entries."""
        interval_ms = digest_interval_ms(len(self.peers.groups.names))
        if self.clock.monotonic_ms() - self.exchanged_ms >= interval_ms:
            self.exchanged_ms = self.clock.monotonic_ms()
            self.relay.exchange_digests()
        if is_heartbeat:
            self.drop_silent()

    def admit(self):
        """Return whether the limit of the team admits a request now."""
        limit = self.limits.find(TEAM)
        limit.refill(self.clock.monotonic_ms(), self.peers.unresponsive_share())
        self.has_changed = True
        return limit.try_use(REQUEST_TOKENS)

    def running(self):
        """Return how many requests this entry sees at each server."""
        counts = {
            server_id: load.peer_running for server_id, load in self.loads.items()
        }
        for use in self.uses:
            counts[use.server_id] += use.running
        return {server_id: count for server_id, count in counts.items() if count}


class Network:
    """Connect simulated entries and count their datagrams."""

    def __init__(self, count):
        self.clock = PausedClock()
        self.data_centre_by_vm = members(count)
        self.incarnations = 0
        self.sent_by_vm = Counter()
        self.bytes_by_vm = Counter()
        self.cut_data_centre = ''
        self.entry_by_vm = {}
        self.step = 0
        self.is_first_start = True
        for vm in self.data_centre_by_vm:
            self.start(vm)
        self.is_first_start = False

    def next_incarnation(self):
        """Return a new incarnation."""
        self.incarnations += 1
        return self.incarnations

    def start(self, vm):
        """Start or restart an entry."""
        centre = self.data_centre_by_vm[vm]
        self.entry_by_vm[vm] = SimulatedEntry(self, vm, centre)

    def deliver(self, sender, receiver, datagram):
        """Deliver a datagram unless its receiver is dead or behind a cut."""
        self.sent_by_vm[sender] += 1
        self.bytes_by_vm[sender] += len(datagram)
        centres = {self.data_centre_by_vm[sender], self.data_centre_by_vm[receiver]}
        if len(centres) == 2 and self.cut_data_centre in centres:
            return
        entry = self.entry_by_vm.get(receiver)
        if entry is not None:
            entry.receive(datagram)

    def run(self, duration_ms):
        """Let all entries exchange their states."""
        for _ in range(int(duration_ms / STEP_MS)):
            self.clock.advance_ms(STEP_MS)
            self.step += 1
            is_heartbeat = self.step % STEPS_PER_HEARTBEAT == 0
            for entry in tuple(self.entry_by_vm.values()):
                if is_heartbeat or entry.has_changed:
                    is_full = self.step % STEPS_PER_FULL_STATE == 0
                    entry.heartbeat(is_full=is_full)
            for entry in tuple(self.entry_by_vm.values()):
                entry.check(is_heartbeat=is_heartbeat)

    def real_running(self):
        """Return how many requests run at each server."""
        counts = Counter()
        for entry in self.entry_by_vm.values():
            for use in entry.uses:
                counts[use.server_id] += use.running
        return dict(counts)

    def relays(self):
        """Return the relays of each group."""
        relays = defaultdict(list)
        for entry in self.entry_by_vm.values():
            if entry.relay.is_relay:
                relays[entry.peers.groups.own_group].append(entry.vm)
        return relays


class TestDivision(unittest.TestCase):
    """Entries and servers are divided evenly, and the same way by every entry."""

    def test_small_system(self):
        """Guards against dividing a system that one group can hold."""
        groups = PeerGroups('vm-000', 'dc-a')
        groups.update(members(MAX_SINGLE_GROUP))
        self.assertTrue(groups.is_single)
        self.assertEqual(len(set(groups.group_by_vm.values())), 1)

    def test_sizes(self):
        """Guards against groups that grow with the system or span data centres."""
        for count in (65, 195, 400):
            groups = PeerGroups('vm-000', 'dc-a')
            groups.update(members(count))
            sizes = Counter(groups.group_by_vm.values())
            self.assertLessEqual(max(sizes.values()), 15)
            for vm, group in groups.group_by_vm.items():
                self.assertTrue(group.startswith(members(count)[vm]))

    def test_stability(self):
        """Guards against moving most entries when a few come or go."""
        groups = PeerGroups('vm-000', 'dc-a')
        groups.update(members(195))
        before = dict(groups.group_by_vm)
        groups.update(members(198))
        moved = sum(groups.group_by_vm[vm] != group for vm, group in before.items())
        self.assertLess(moved, len(before) / 20)

    def test_servers_shared(self):
        """Guards against a server that no group, or every group, uses first."""
        servers = [
            make_server(f's{number}', data_centre=DATA_CENTRES[number % 5])
            for number in range(SERVERS)
        ]
        owners = Counter()
        by_group = {}
        for vm, centre in members(195).items():
            groups = PeerGroups(vm, centre)
            groups.update(members(195))
            by_group[groups.own_group] = groups.own_servers(servers)
        for owned in by_group.values():
            self.assertGreaterEqual(len(owned), 3)
            self.assertLessEqual(len(owned), 5)
            owners.update(owned)
        self.assertEqual(set(owners.values()), {1})
        self.assertEqual(len(owners), SERVERS)

    def test_data_centre_without_entries(self):
        """Guards against idle servers in a data centre whose entries are gone."""
        servers = [make_server(f's{n}', data_centre='dc-x') for n in range(30)]
        groups = PeerGroups('vm-000', 'dc-a')
        groups.update(members(195))
        self.assertTrue(groups.own_servers(servers))


class TestExchange(unittest.TestCase):
    """Each entry knows the load of all at a cost that the system's size leaves flat."""

    def setUp(self):
        random.seed(20261204)
        self.network = Network(ENTRIES)
        self.network.run(4000)

    def use_servers(self):
        """Let each entry run a request at some server."""
        for entry in self.network.entry_by_vm.values():
            server_id = f's{random.randrange(SERVERS)}'
            entry.uses = [ServerUse(server_id, 1, 100)]
            entry.has_changed = True

    def assert_exact(self):
        """Require that each entry sees what runs at each server."""
        real = self.network.real_running()
        for entry in self.network.entry_by_vm.values():
            self.assertEqual(entry.running(), real, entry.vm)

    def test_load(self):
        """Guards against load that is missed or counted twice between groups."""
        self.use_servers()
        self.network.run(3 * DIGEST_INTERVAL_MS)
        self.assert_exact()

    def test_one_relay(self):
        """Guards against a group without a relay or with two of them."""
        relays = self.network.relays()
        self.assertEqual(len(relays), 20)
        self.assertTrue(all(len(vms) == 1 for vms in relays.values()))

    def test_relays_killed(self):
        """Guards against groups that stay blind after their relays are killed."""
        self.use_servers()
        for vms in self.network.relays().values():
            self.network.entry_by_vm.pop(vms[0])
        self.network.run(HEARTBEAT_MS * 4 + 4 * DIGEST_INTERVAL_MS)
        self.assert_exact()

    def test_most_killed(self):
        """Guards against a storm or lasting blindness after a kill of most entries.

        They come back at once, as new incarnations.
        """
        vms = random.sample(sorted(self.network.entry_by_vm), int(0.55 * ENTRIES))
        for vm in vms:
            self.network.entry_by_vm.pop(vm)
        self.network.run(1000)
        self.network.sent_by_vm.clear()
        for vm in vms:
            self.network.start(vm)
        self.use_servers()
        self.network.run(5000)
        self.assert_exact()
        self.assertLess(max(self.network.sent_by_vm.values()), 5 * 250)

    def test_data_centre_cut(self):
        """Guards against counting on a data centre that is cut off, or forgetting it.

        Its entries may still use their share of the limits.
        """
        self.network.cut_data_centre = 'dc-e'
        self.network.run(SILENCE_TIMEOUT_MS + 1000)
        for entry in self.network.entry_by_vm.values():
            is_cut = self.network.data_centre_by_vm[entry.vm] == 'dc-e'
            expected = 4 / 5 if is_cut else 1 / 5
            self.assertAlmostEqual(
                entry.peers.unresponsive_share(), expected, delta=0.02
            )
        self.network.cut_data_centre = ''
        self.use_servers()
        self.network.run(2000)
        self.assert_exact()
        for entry in self.network.entry_by_vm.values():
            self.assertEqual(entry.peers.unresponsive_share(), 0)

    def test_cost(self):
        """Guards against a cost per entry that grows with the size of the system."""
        datagrams = {}
        sizes = {}
        for count in (100, 300):
            network = Network(count)
            network.run(4000)
            network.sent_by_vm.clear()
            network.bytes_by_vm.clear()
            network.run(4000)
            datagrams[count] = sum(network.sent_by_vm.values()) / count
            sizes[count] = sum(network.bytes_by_vm.values()) / count
        self.assertLessEqual(datagrams[300], 1.2 * datagrams[100])
        self.assertLessEqual(sizes[300], 1.2 * sizes[100])

    def test_two_relays(self):
        """Guards against two entries that forward a digest to each other forever."""
        vms = [vm for vm in self.network.entry_by_vm if vm not in self.relay_vms()]
        first = self.network.entry_by_vm[vms[0]]
        second = next(
            self.network.entry_by_vm[vm]
            for vm in vms[1:]
            if first.peers.groups.has_member(vm)
        )
        first.relay._relay_vm = second.vm
        second.relay._relay_vm = first.vm
        sender = next(
            entry
            for entry in self.network.entry_by_vm.values()
            if entry.relay.is_relay and not first.peers.groups.has_member(entry.vm)
        )
        self.network.sent_by_vm.clear()
        digest = sender.own_digest(Scope.GROUP, with_all_limits=False)
        sender.send(self.encoded(digest), [first.vm])
        self.assertLessEqual(sum(self.network.sent_by_vm.values()), 2)

    def encoded(self, digest):
        """Return the datagram of a digest."""
        return encode_digest(digest)

    def relay_vms(self):
        """Return the VMs of all relays."""
        return {vms[0] for vms in self.network.relays().values()}


class TestLimitAcrossGroups(unittest.TestCase):
    """All groups together stay within the bounds of a team's limit."""

    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER_SHARE) + SLACK

    def setUp(self):
        random.seed(20261204)
        self.network = Network(ENTRIES)
        self.network.run(4000)

    def admitted(self, load_factor, *, on_step=None):
        """Return the tokens admitted in a window of requests at a multiple of the rate.

        The requests arrive unevenly: some groups get many times the load of others.
        """
        per_step = load_factor * RATE_PER_S / REQUEST_TOKENS * STEP_MS / 1000
        tokens = 0
        for number in range(int(WINDOW_S * 1000 / STEP_MS)):
            if on_step is not None:
                on_step(number)
            for entry in self.choose_entries(round(per_step)):
                if entry.admit():
                    tokens += REQUEST_TOKENS
            self.network.run(STEP_MS)
        return tokens

    def choose_entries(self, count):
        """Return the live entries at which requests arrive."""
        entries = list(self.network.entry_by_vm.values())
        weights = [hash_weight(entry.peers.groups.own_group) for entry in entries]
        return random.choices(entries, weights, k=count)

    def test_overloading_team(self):
        """Guards against late digests that let an overloading team exceed its limit."""
        admitted = self.admitted(OVERLOAD_FACTOR)
        self.assertLessEqual(admitted, self.allowed)
        self.assertGreater(admitted, RATE_PER_S * WINDOW_S)

    def test_within_limit(self):
        """Guards against refusing a team that stays within its limit."""
        asked = 0.9 * RATE_PER_S * WINDOW_S
        self.assertGreater(self.admitted(0.9), 0.99 * asked)

    def test_relays_killed(self):
        """Guards against use that is forgotten as relays are replaced."""
        admitted = self.admitted(OVERLOAD_FACTOR, on_step=self.kill_relays)
        self.assertLessEqual(admitted, self.allowed)

    def test_cut(self):
        """Guards against a whole limit on both sides of a cut."""
        admitted = self.admitted(OVERLOAD_FACTOR, on_step=self.cut_off)
        self.assertLessEqual(admitted, self.allowed)

    def cut_off(self, number):
        """Cut off a data centre after a second."""
        if number == 40:
            self.network.cut_data_centre = 'dc-e'

    def kill_relays(self, number):
        """Kill a third of the relays, and restart them a second later."""
        if number == 80:
            self.killed = [vms[0] for vms in self.network.relays().values()][::3]
            for vm in self.killed:
                self.network.entry_by_vm.pop(vm)
        if number == 120:
            for vm in self.killed:
                self.network.start(vm)


def hash_weight(group):
    """Return the weight of the load of a group, from 1 to 4."""
    return 1 + sum(group.encode()) % 4
