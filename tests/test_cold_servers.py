"""Test that all entries together keep to the rate that a cold server bears.

The pattern is a data centre whose servers come back cold: they are idle, so that every
entry would send them requests in the same second.
"""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.model import UNSTATED_COLD_MS, Service
from marjoramfall.gateway.peers.peer_table import Member, PeerTable
from marjoramfall.gateway.servers.cold_bounds import ColdBounds
from marjoramfall.gateway.servers.cold_servers import ColdRule, ColdServers
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.service_queue import (
    NoServerError,
    ServiceQueue,
    Waiter,
)
from marjoramfall.platform.json_records import InvalidRecordError
from marjoramfall.platform.records import decode_server
from tests.gateway_fakes import MODEL, make_demand, make_load, make_server, make_state

RATE_PER_S = 6.4
BOUNDS = ColdBounds(over=1.5, slack=5)
MOST_PER_S = 14
COLD_MS = 3000.0
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
ENTRY_COUNT = 64
STEP_MS = 10
SERVICE = Service(
    MODEL,
    max_connections=0,
    is_model=True,
    tokens_per_event=1,
    cold_start_ms=COLD_MS,
    cold_rate_per_s=RATE_PER_S,
)
WARM = make_server('s-1', service_id=MODEL, data_centre='dc-b')
COLD = make_server(
    's-1', service_id=MODEL, data_centre='dc-b', born_ms=2, cold_ms=COLD_MS
)


class SimulatedEntry:
    """Hold what one entry believes of its peers and of cold servers."""

    def __init__(self, clock, vm, data_centre, members, uptime_ms=60_000):
        self.vm = vm
        self.data_centre = data_centre
        self.uptime_ms = uptime_ms
        self.peers = PeerTable(clock, own_vm=vm, data_centre=data_centre)
        for name, centre in members.items():
            self.peers.add_member(name, Member(name, centre))
        self.cold = ColdServers(clock, is_chosen=self.peers.is_user_of, bounds=BOUNDS)
        self.cold.use_services({MODEL: SERVICE})
        self.cold.on_servers([WARM])

    def hear(self, entries, sequence):
        """Receive the states of the other entries of the group."""
        for entry in entries:
            state = make_state(
                entry.vm,
                sequence,
                data_centre=entry.data_centre,
                uptime_ms=entry.uptime_ms,
            )
            if entry is not self and self.peers.groups.has_member(entry.vm):
                self.peers.update(state)

    def send(self, server, now_ms):
        """Send a request if that is allowed; return whether it was sent."""
        may_send = self.cold.may_send(server, now_ms)
        if may_send:
            self.cold.on_sent(server, now_ms)
        return may_send


class ColdCase(unittest.TestCase):
    """Let 64 entries with requests for one server run for some seconds."""

    def setUp(self):
        self.clock = PausedClock()
        members = {
            f'vm-{number:02}': DATA_CENTRES[number % 3] for number in range(ENTRY_COUNT)
        }
        self.entries = [
            SimulatedEntry(self.clock, vm, centre, members)
            for vm, centre in members.items()
        ]
        self.clock.advance_ms(60_000)
        self.sequence = 0
        self.sent_ms = []
        self.senders = set()

    def run_for(self, duration_ms, server_of, heard_by):
        """Let each entry hear some others, and send whatever it may."""
        for step in range(int(duration_ms / STEP_MS)):
            if step % 25 == 0:
                self.sequence += 1
                for entry in self.entries:
                    entry.hear(heard_by(entry), self.sequence)
            now_ms = self.clock.monotonic_ms()
            for entry in self.entries:
                if entry.send(server_of(entry), now_ms):
                    self.sent_ms.append(now_ms)
                    self.senders.add(entry.vm)
            self.clock.advance_ms(STEP_MS)

    def most_in_a_second(self):
        """Return the most requests that were sent in any second."""
        return max(
            sum(start <= sent < start + 1000 + STEP_MS for sent in self.sent_ms)
            for start in self.sent_ms
        )

    def learn(self, entries):
        """Let entries read the registration of the cold server."""
        for entry in entries:
            entry.cold.on_servers([COLD])


class TestColdServerRate(ColdCase):
    """A cold server gets no more than it bears, whatever the entries know."""

    def test_all_in_touch(self):
        """Guards against every entry sending to an idle cold server at once."""
        self.learn(self.entries)
        self.run_for(COLD_MS, lambda entry: COLD, lambda entry: self.entries)
        self.assertEqual(len(self.senders), 1)
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S / 2)
        self.assertGreaterEqual(len(self.sent_ms), 10)

    def test_entries_out_of_touch(self):
        """Guards against entries that hear nobody and take the server for theirs."""
        self.learn(self.entries)
        lone = set(self.entries[::4])
        together = [entry for entry in self.entries if entry not in lone]
        self.run_for(
            COLD_MS,
            lambda entry: COLD,
            lambda entry: () if entry in lone else together,
        )
        self.assertFalse(self.senders & {entry.vm for entry in lone})
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S)

    def test_divided_group(self):
        """Guards against two halves of a group that each choose an entry."""
        self.learn(self.entries)
        halves = (self.entries[::2], self.entries[1::2])
        self.run_for(
            COLD_MS,
            lambda entry: COLD,
            lambda entry: halves[self.entries.index(entry) % 2],
        )
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S)

    def test_user_stops(self):
        """Guards against a cold server without any user after its own was killed."""
        self.learn(self.entries)
        self.run_for(500, lambda entry: COLD, lambda entry: self.entries)
        alive = [entry for entry in self.entries if entry.vm not in self.senders]
        stopped = [entry for entry in self.entries if entry.vm in self.senders]
        self.entries = alive
        self.run_for(2400, lambda entry: COLD, lambda entry: alive)
        self.assertEqual(len(self.senders - {entry.vm for entry in stopped}), 1)
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S)

    def test_old_registration(self):
        """Guards against requests by entries that don't know that it started again."""
        knowing = self.entries[::2]
        self.learn(knowing)
        for entry in self.entries:
            if entry not in knowing:
                entry.cold.on_unreached(WARM)
        self.run_for(
            COLD_MS,
            lambda entry: COLD if entry in knowing else WARM,
            lambda entry: self.entries,
        )
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S)

    def test_restarted_entries(self):
        """Guards against entries that have just started and know no peer yet."""
        restarted = self.entries[::3]
        members = {entry.vm: entry.data_centre for entry in self.entries}
        fresh = [
            SimulatedEntry(self.clock, entry.vm, entry.data_centre, members, 0)
            for entry in restarted
        ]
        staying = [entry for entry in self.entries if entry not in restarted]
        self.entries = [*staying, *fresh]
        self.learn(self.entries)
        self.run_for(2000, lambda entry: COLD, lambda entry: self.entries)
        self.assertFalse(self.senders & {entry.vm for entry in fresh})
        self.assertLessEqual(self.most_in_a_second(), MOST_PER_S)


class TestColdBeliefs(unittest.TestCase):
    """A server is cold as long as it says, and no longer."""

    def setUp(self):
        self.clock = PausedClock()
        self.cold = ColdServers(self.clock, is_chosen=lambda server: False)
        self.cold.use_services({MODEL: SERVICE})
        self.cold.on_servers([make_server('s-0', service_id=MODEL)])

    def is_held(self, server):
        """Return whether requests to a server are held back."""
        return not self.cold.may_send(server, self.clock.monotonic_ms())

    def test_registration(self):
        """Guards against a server that stays held back once it is warm."""
        self.cold.on_servers([COLD])
        self.assertTrue(self.is_held(COLD))
        self.clock.advance_ms(COLD_MS + 300)
        self.assertFalse(self.is_held(COLD))
        self.assertEqual(self.cold.held_count, 0)

    def test_lapsed_registration(self):
        """Guards against taking a server whose registration lapsed for a new one."""
        unstated = make_server('s-2', service_id=MODEL, cold_ms=UNSTATED_COLD_MS)
        self.cold.on_servers([unstated])
        self.assertTrue(self.is_held(unstated))
        self.clock.advance_ms(COLD_MS + 300)
        self.cold.on_servers([])
        self.cold.on_servers([unstated])
        self.assertFalse(self.is_held(unstated))

    def test_answer(self):
        """Guards against ignoring a server that says in an answer that it is cold."""
        self.cold.on_answer(WARM, 1000.0)
        self.assertTrue(self.is_held(WARM))

    def test_unreached(self):
        """Guards against requests to a server that may start again unnoticed."""
        self.cold.on_unreached(WARM)
        self.clock.advance_ms(60_000)
        self.assertTrue(self.is_held(WARM))
        self.assertEqual(self.cold.take_due_probes([make_load('s-0')]), [])
        load = make_load('s-1', service_id=MODEL)
        self.assertEqual(self.cold.take_due_probes([load]), [load.server])
        self.cold.on_reached(WARM)
        self.clock.advance_ms(COLD_MS + 300)
        self.assertFalse(self.is_held(WARM))

    def test_other_services(self):
        """Guards against holding back servers of a service that knows no cold start."""
        plain = make_server('s-3', cold_ms=COLD_MS)
        self.cold.on_servers([plain])
        self.cold.on_unreached(plain)
        self.assertFalse(self.is_held(plain))

    def test_bounds(self):
        """Guards against a bound without room for several users, or for any."""
        for rate, bounds in ((6.4, BOUNDS), (1.0, ColdBounds()), (0.5, BOUNDS)):
            self.assertGreater(bounds.interval_ms(rate), 0)
        self.assertGreaterEqual(ColdBounds().interval_ms(1.0), 1000)

    def test_queue(self):
        """Guards against refusing at once what a cold server takes a little later."""
        load = make_load('s-1', service_id=MODEL, born_ms=2)
        queue = ServiceQueue(
            self.clock, is_model=True, rules=PlacementRules((ColdRule(self.cold),))
        )
        queue.load_by_id['s-1'] = load
        self.cold.on_answer(load.server, 1000.0)
        assigned = []
        queue.submit(Waiter(make_demand(), assigned.append, self.fail))
        self.assertEqual(assigned, [])
        self.clock.advance_ms(1300)
        queue.assign()
        self.assertEqual(len(assigned), 1)
        load.server = make_server('s-1', is_leaving=True)
        with self.assertRaises(NoServerError):
            queue.submit(Waiter(make_demand(), assigned.append, self.fail))


class TestColdQueue(unittest.TestCase):
    """The queue of a service sends requests to a cold server at its rate."""

    def setUp(self):
        self.clock = PausedClock()
        self.has_chosen = True
        self.cold = ColdServers(self.clock, is_chosen=self.is_chosen, bounds=BOUNDS)
        self.cold.use_services({MODEL: SERVICE})
        self.cold.on_servers([WARM])
        self.cold.on_servers([COLD])
        rules = PlacementRules((ColdRule(self.cold),))
        self.queue = ServiceQueue(self.clock, is_model=True, rules=rules)
        load = make_load('s-1', slots=20, born_ms=COLD.born_ms, service_id=MODEL)
        self.queue.load_by_id['s-1'] = load
        self.sent_ms = []

    def is_chosen(self, _server):
        """Return whether this entry uses the server."""
        return self.has_chosen

    def on_assigned(self, _assignment):
        """Record when a request was sent."""
        self.sent_ms.append(self.clock.monotonic_ms())

    def on_reject(self, _error):
        """Let a request go that waits too long."""

    def run_for(self, duration_ms):
        """Submit a request each 20 ms."""
        for _ in range(int(duration_ms / 20)):
            demand = make_demand(self.clock.monotonic_ms())
            self.queue.submit(Waiter(demand, self.on_assigned, self.on_reject))
            self.clock.advance_ms(20)
            self.queue.assign()

    def test_rate(self):
        """Guards against a queue that does not count what it sends."""
        self.run_for(2000)
        gaps_ms = [
            later - earlier
            for earlier, later in zip(self.sent_ms, self.sent_ms[1:], strict=False)
        ]
        self.assertGreater(len(self.sent_ms), 3)
        self.assertGreaterEqual(min(gaps_ms), BOUNDS.interval_ms(RATE_PER_S))

    def test_not_chosen(self):
        """Guards against a second entry that uses the server."""
        self.has_chosen = False
        self.run_for(2000)
        self.assertEqual(self.sent_ms, [])


class TestColdProbes(unittest.TestCase):
    """Many servers that may be cold are connected to in turn."""

    def test_all_in_turn(self):
        """Guards against probing the same servers again while others wait."""
        clock = PausedClock()
        cold = ColdServers(clock, is_chosen=lambda server: True)
        cold.use_services({MODEL: SERVICE})
        servers = [make_server(f's-{n}', service_id=MODEL) for n in range(40)]
        cold.on_servers(servers)
        loads = [make_load(server.server_id, service_id=MODEL) for server in servers]
        for server in servers:
            cold.on_unreached(server)
        probed = set()
        for _ in range(10):
            clock.advance_ms(250)
            probed.update(server.server_id for server in cold.take_due_probes(loads))
        self.assertEqual(len(probed), len(servers))


class TestColdRegistrations(unittest.TestCase):
    """A registration stays in force whatever it says of being cold."""

    def decode(self, cold):
        """Return the cold time that is read from a registration."""
        row = (
            '{"service":"tutor","address":"127.0.0.1:1","zone":"dc-a","state":"ready"'
            f'{cold}}}'
        )
        return decode_server('s-1', row.encode()).cold_ms

    def test_invalid(self):
        """Guards against losing a server over a cold time that is none."""
        for found in ('-1', '"soon"', 'null', '[3]', 'true'):
            with self.subTest(found=found):
                cold_ms = self.decode(f',"coldRemainingMs":{found}')
                self.assertEqual(cold_ms, UNSTATED_COLD_MS)

    def test_valid(self):
        """Guards against taking a server that states zero for one that states none."""
        self.assertEqual(self.decode(',"coldRemainingMs":0'), 0)
        self.assertEqual(self.decode(',"coldRemainingMs":2500'), 2500)
        self.assertEqual(self.decode(''), UNSTATED_COLD_MS)
        with self.assertRaises(InvalidRecordError):
            self.decode(',"slots":0')
