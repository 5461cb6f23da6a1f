"""Test the exchange of load between groups of entries in large systems.

The patterns are hundreds of entries that share servers and team limits, relays that
are killed, a data centre that is cut off, and the kill of most entries at once.
"""

import random
import unittest
from collections import Counter

from marjoramfall.gateway.peers.group_digest import Scope, encode_digest
from marjoramfall.gateway.peers.outside_groups import (
    DIGEST_INTERVAL_MS,
    SILENCE_TIMEOUT_MS,
)
from marjoramfall.gateway.peers.peer_groups import MAX_SINGLE_GROUP, PeerGroups
from marjoramfall.gateway.peers.peer_state import (
    ServerUse,
)
from marjoramfall.gateway.peers.peer_table import HEARTBEAT_MS
from tests.gateway_fakes import make_server
from tests.group_simulation import (
    BURST,
    DATA_CENTRES,
    OVER_SHARE,
    RATE_PER_S,
    REQUEST_TOKENS,
    SERVERS,
    SLACK,
    STEP_MS,
    Network,
    members,
)

ENTRIES = 195
# One team at 7.5 times its load while the load of all callers is at 2.2 times.
OVERLOAD_FACTOR = 9.2
WINDOW_S = 8


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
