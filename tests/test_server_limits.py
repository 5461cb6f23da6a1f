"""Test that servers get no more requests than the limit that they name.

The pattern is a server in need: its answers say how many requests a second it takes
from all entries together, while other servers have free slots.
"""

import math
import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.peers.peer_state import decode_state, encode_state
from marjoramfall.gateway.servers.server_limits import ServerLimits
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.shedding import Waiter
from marjoramfall.gateway.servers.waiting_order import PeerWaiter
from marjoramfall.gateway.shared_limits import SharedLimits
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import make_demand, make_load, make_server, make_state

LIMIT_PER_S = 2
WINDOW_S = 4
# The users allow one and a half times the limit, and five requests more.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUEST_COUNT = 60
ENTRY_COUNT = 9
WAITING_COUNT = 3
ARRIVAL_STEP_MS = 1
STEP_MS = 10


class TestNamedLimit(GatewayCase):
    """A server that names a limit is kept to it, and the others do the rest."""

    def test_limit_kept(self):
        """Guards against sending on by free slots alone (issue 22)."""
        limited = self.add_backend(
            lambda exchange: answer(
                exchange, extra=f'Server-Limit: {LIMIT_PER_S}.0\r\n'
            )
        )
        self.add_backend(answer)
        for _ in range(REQUEST_COUNT):
            response = self.ask('/read/1')
            self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
        self.assertLessEqual(len(limited.heads), MAX_REQUESTS)


class LimitedEntry:
    """Send requests to one server as an entry that exchanges states with others."""

    def __init__(self, clock, number):
        self.clock = clock
        self.vm = f'entry-{number}'
        # No two requests arrive at the same time.
        self.arrived_ms = number / ENTRY_COUNT
        self.incarnation = 1
        self.sequence = 0
        self.sent = []
        self.start()

    def start(self):
        """Begin without any knowledge, as after a restart."""
        self.limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=True)
        self.server_limits = ServerLimits(
            self.clock, self.limits, notify_peers=lambda: None
        )
        self.load = make_load('i-1', slots=50)
        self.queue = ServiceQueue(self.clock, is_model=True)
        self.queue.load_by_id = {'i-1': self.load}

    def restart(self):
        """Replace the process by a new one."""
        self.incarnation += 1
        self.start()

    def hear_limit(self, rate_per_s):
        """Read a response that names a limit, or none."""
        self.server_limits.on_response(self.load, rate_per_s, attempt_id='a-1')

    def find_load(self, server_id):
        """Return the load of the only server."""
        return self.load if server_id == 'i-1' else None

    def fill(self):
        """Let some requests wait."""
        while len(self.queue.waiters) < WAITING_COUNT:
            self.arrived_ms += ARRIVAL_STEP_MS
            demand = make_demand(
                self.arrived_ms, target_ms=math.inf, give_up_ms=math.inf
            )
            waiter = Waiter(demand, self.sent.append, self.sent.append)
            self.queue.waiters.append(waiter)

    def send(self):
        """Return how many of the waiting requests are sent now."""
        self.server_limits.refill(0)
        self.fill()
        self.sent.clear()
        self.queue.assign()
        for assignment in self.sent:
            assignment.load.end(assignment.request)
        return len(self.sent)

    def state(self, *, is_full):
        """Return the state to send in a datagram."""
        self.sequence += 1
        self.fill()
        return encode_state(
            make_state(
                self.vm,
                self.sequence,
                limit_uses=self.limits.uses(),
                has_all_limits=True,
                server_limits=self.server_limits.reports(is_full=is_full),
            )
        )

    def receive(self, datagram, sender):
        """Apply the state of a peer."""
        state = decode_state(datagram)
        self.queue.peers.drop(sender.vm)
        for waiter in sender.queue.waiters:
            peer_waiter = PeerWaiter(0, waiter.demand.arrived_ms)
            self.queue.peers.add(sender.vm, peer_waiter, is_outside=False)
        now_ms = self.clock.monotonic_ms()
        self.limits.add_peer(
            state.vm, sender.incarnation, state.limit_uses, now_ms, recent_share=0
        )
        self.server_limits.merge(state.server_limits, self.find_load)


class SharedServerCase(unittest.TestCase):
    """Let some entries send as much as they may to one server."""

    def setUp(self):
        self.clock = PausedClock()
        self.clock.advance_ms(1000)
        self.entries = [
            LimitedEntry(self.clock, number) for number in range(ENTRY_COUNT)
        ]
        self.sent_ms = []

    def exchange(self, *, is_full=False):
        """Send the state of each entry to all others."""
        for sender in self.entries:
            datagram = sender.state(is_full=is_full)
            for entry in self.entries:
                if entry is not sender:
                    entry.receive(datagram, sender)

    def run_for(self, seconds):
        """Let all entries try to send at each step, and exchange states after it."""
        for _ in range(int(seconds * 1000 / STEP_MS)):
            now_ms = self.clock.monotonic_ms()
            for entry in self.entries:
                self.sent_ms.extend(now_ms for _ in range(entry.send()))
            self.clock.advance_ms(STEP_MS)
            self.exchange(is_full=True)

    def most_in_window(self):
        """Return the most requests in any window of the users' rule."""
        return max(
            sum(0 <= sent_ms - start_ms < WINDOW_S * 1000 for sent_ms in self.sent_ms)
            for start_ms in self.sent_ms
        )


class TestSharedServerLimit(SharedServerCase):
    """The requests of all entries count under the limit of a server."""

    def test_all_entries_together(self):
        """Guards against a whole limit at each entry."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.run_for(12)
        self.assertLessEqual(self.most_in_window(), MAX_REQUESTS)

    def test_limit_is_used(self):
        """Guards against a limit that is divided and then mostly unused."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.run_for(12)
        self.assertGreaterEqual(len(self.sent_ms), 0.9 * LIMIT_PER_S * 12)

    def test_one_busy_entry(self):
        """Guards against an entry that may use only its own part of the limit."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.entries = self.entries[:1]
        peers = self.entries[0].queue.peers
        for source in tuple(peers.group_waiters_by_source):
            peers.drop(source)
        self.run_for(12)
        self.assertGreaterEqual(len(self.sent_ms), 0.9 * LIMIT_PER_S * 12)

    def test_restarted_entry(self):
        """Guards against an entry that forgets the limit at its restart."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.run_for(6)
        self.entries[1].restart()
        self.run_for(6)
        self.assertLessEqual(self.most_in_window(), MAX_REQUESTS)

    def test_lifted(self):
        """A response without a limit lifts it at all entries."""
        for entry in self.entries:
            entry.hear_limit(LIMIT_PER_S)
        self.run_for(2)
        self.entries[2].hear_limit(None)
        self.exchange()
        sent_before = len(self.sent_ms)
        self.run_for(1)
        self.assertGreater(len(self.sent_ms) - sent_before, ENTRY_COUNT * LIMIT_PER_S)

    def test_named_again(self):
        """Guards against requests that are not counted while no limit is known."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.run_for(1)
        self.entries[0].hear_limit(None)
        self.exchange()
        self.run_for(1)
        self.sent_ms.clear()
        self.entries[1].hear_limit(LIMIT_PER_S)
        self.exchange()
        self.run_for(8)
        self.assertLessEqual(self.most_in_window(), MAX_REQUESTS)
        self.assertTrue(self.sent_ms)

    def test_nothing_allowed(self):
        """Guards against a server that is never asked again and cannot lift a 0."""
        self.entries[0].hear_limit(0)
        self.exchange()
        self.run_for(30)
        self.assertGreaterEqual(len(self.sent_ms), 2)
        self.assertLessEqual(self.most_in_window(), 5)

    def test_new_incarnation(self):
        """Guards against the limit of a server that has started anew since."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        fresh = self.entries[1]
        fresh.load.update_server(make_server('i-1', slots=50, born_ms=2))
        self.exchange()
        self.assertFalse(fresh.load.is_limited)

    def test_configuration_change(self):
        """Guards against a new configuration that drops the limits of servers."""
        self.entries[0].hear_limit(LIMIT_PER_S)
        self.exchange()
        for entry in self.entries:
            entry.limits.set_teams({}, self.clock.monotonic_ms())
        self.run_for(8)
        self.assertLessEqual(self.most_in_window(), MAX_REQUESTS)


class TestWaiting(SharedServerCase):
    """Waiting requests go on when the limit allows them."""

    def test_assigned_in_time(self):
        """Guards against waiting for some other event once the limit allows more."""
        delays_ms = []
        entry = self.entries[0]
        entry.queue = ServiceQueue(
            self.clock, is_model=True, schedule_assign=delays_ms.append
        )
        entry.queue.load_by_id = {'i-1': entry.load}
        entry.hear_limit(LIMIT_PER_S)
        while entry.send():
            self.clock.advance_ms(1)
        entry.queue.waiters.clear()
        assigned = []
        demand = make_demand(self.clock.monotonic_ms())
        entry.queue.submit(Waiter(demand, assigned.append, assigned.append))
        self.assertFalse(assigned)
        self.clock.advance_ms(delays_ms[-1] + 1)
        entry.queue.assign()
        self.assertTrue(assigned)

    def test_expected_wait(self):
        """Guards against promising the slots of a server that may not be used."""
        entry = self.entries[0]
        entry.hear_limit(LIMIT_PER_S)
        self.assertAlmostEqual(entry.load.usable_slots(500), LIMIT_PER_S / 2)
