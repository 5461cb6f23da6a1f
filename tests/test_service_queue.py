"""Test queue order, rejection and the choice of servers under several loads."""

import random
import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.servers.overload import OverloadError
from marjoramfall.gateway.servers.server_load import HeardNotices
from marjoramfall.gateway.servers.server_speeds import Speed
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.shedding import Waiter
from marjoramfall.gateway.servers.waiting_order import PeerWaiter
from tests.gateway_fakes import make_demand, make_load, make_server

# Ejects a server.
MANY_FAILURES = 3


class QueueCase(unittest.TestCase):
    """Provide a queue with two servers of two slots each."""

    def setUp(self):
        self.clock = PausedClock()
        self.queue = ServiceQueue(self.clock, is_model=True)
        for server_id in ('s1', 's2'):
            self.queue.load_by_id[server_id] = make_load(server_id)
        self.assigned = []
        self.rejected = []

    def submit(self, priority=0, **changes):
        """Submit a request that arrives now."""
        demand = make_demand(self.clock.monotonic_ms(), priority, **changes)
        waiter = Waiter(
            demand,
            lambda assignment: self.assigned.append((demand, assignment)),
            self.rejected.append,
        )
        self.queue.submit(waiter)
        return waiter

    def chosen_ids(self):
        """Return the servers of the assigned requests in order."""
        return [assignment.load.server.server_id for _, assignment in self.assigned]

    def finish_first(self):
        """Finish the request that was assigned first."""
        _, assignment = self.assigned.pop(0)
        self.queue.finish(assignment)

    def fill(self):
        """Take all four slots."""
        for _ in range(4):
            self.submit(priority=2)


class TestBurst(QueueCase):
    """Several requests arrive at once while the servers are full."""

    def test_spread(self):
        """Guards against assigning all requests to one of two equal servers."""
        self.fill()
        running = [load.running for load in self.queue.load_by_id.values()]
        self.assertEqual(running, [2, 2])

    def test_priority(self):
        """Guards against a request that waits behind one of lower priority."""
        self.fill()
        self.submit(priority=2)
        urgent = self.submit(priority=0)
        self.finish_first()
        self.assertIs(self.assigned[-1][0], urgent.demand)

    def test_late_after_timely(self):
        """Guards against a request past its target that makes timely ones late."""
        self.fill()
        late = self.submit(priority=1)
        self.clock.advance_ms(900)
        timely = self.submit(priority=1)
        self.finish_first()
        self.assertIs(self.assigned[-1][0], timely.demand)
        self.finish_first()
        self.assertIs(self.assigned[-1][0], late.demand)

    def test_rejected_at_once(self):
        """Guards against queueing a request that cannot be served in time."""
        self.fill()
        with self.assertRaises(OverloadError) as caught:
            for _ in range(200):
                self.submit(priority=1)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertGreater(len(self.queue.waiters), 5)

    def test_urgent_not_rejected(self):
        """Guards against rejecting a request because of a queue of lower priority."""
        self.fill()
        with self.assertRaises(OverloadError):
            for _ in range(200):
                self.submit(priority=2)
        self.submit(priority=0)

    def test_learns_to_reject(self):
        """Guards against queueing requests of low priority that time out.

        Requests that arrive later are served first, so that the measured wait
        of the priority exceeds the expected one.
        """
        self.fill()
        for _ in range(12):
            self.submit(priority=2)
        self.clock.advance_ms(3300)
        self.queue.assign()
        self.assertEqual(len(self.rejected), 12)
        with self.assertRaises(OverloadError):
            for _ in range(12):
                self.submit(priority=2)

    def test_rejected_early(self):
        """Guards against a rejection only at the timeout of the request.

        Requests of higher priority that arrive later take all slots, which is
        known before the timeout.
        """
        self.fill()
        low = self.submit(priority=2)
        for _ in range(20):
            self.clock.advance_ms(50)
            self.submit(priority=0)
        self.queue.assign()
        self.assertNotIn(low, self.queue.waiters)
        self.assertGreater(self.rejected[0].retry_after_ms, 0)

    def test_kept_while_in_time(self):
        """Guards against rejecting a request that can still be served in time."""
        self.fill()
        self.submit(priority=2)
        self.clock.advance_ms(900)
        self.queue.assign()
        self.assertEqual(self.rejected, [])

    def test_rejected_after_timeout(self):
        """Guards against a request that waits longer than its caller."""
        self.fill()
        self.submit()
        self.clock.advance_ms(3300)
        self.queue.assign()
        self.assertEqual(len(self.rejected), 1)
        self.assertFalse(self.queue.waiters)

    def test_caller_left(self):
        """Guards against assigning a server after the caller disconnected."""
        self.fill()
        waiter = self.submit()
        self.queue.withdraw(waiter)
        before = len(self.assigned)
        self.finish_first()
        self.assertEqual(len(self.assigned), before - 1)


class TestManyEntries(QueueCase):
    """Several entries assign requests to the same servers."""

    def test_peer_load(self):
        """Guards against assigning requests to a server that peers have filled."""
        self.queue.load_by_id['s1'].add_peer_load(2, 0)
        self.submit()
        self.submit()
        self.assertEqual(set(self.chosen_ids()), {'s2'})

    def test_peer_is_first(self):
        """Guards against two entries that both use the same free slot."""
        self.fill()
        self.submit(priority=1)
        peer_waiter = PeerWaiter(rank=0, arrived_ms=0)
        self.queue.peers.add('entry-2', peer_waiter, is_outside=False)
        before = len(self.assigned)
        self.finish_first()
        self.assertEqual(len(self.assigned), before - 1)
        self.finish_first()
        self.assertEqual(len(self.assigned), before - 1)

    def test_randomized_choice(self):
        """Guards against many entries that all choose the server of lowest cost.

        The slower server still gets some requests, but fewer than the faster one.
        """
        random.seed(20261204)
        self.queue.randomizes_choice = True
        for load in self.queue.load_by_id.values():
            load.update_server(make_server(load.server.server_id, slots=1000))
        self.queue.load_by_id['s2'].speeds.add_peer_speed(Speed(45, 60, samples=20), 1)
        for _ in range(200):
            self.submit()
            for load in self.queue.load_by_id.values():
                for request in tuple(load.own_requests):
                    load.end(request)
        slow = self.chosen_ids().count('s2')
        self.assertGreater(slow, 2)
        self.assertLess(slow, 60)

    def test_reserved_slots(self):
        """Guards against entries of another data centre that take the last slot."""
        for load in self.queue.load_by_id.values():
            load.reserve_slots(1)
        for _ in range(3):
            self.submit()
        self.assertEqual(len(self.assigned), 2)


class TestUnequalServers(QueueCase):
    """Servers differ in speed, health or state."""

    def test_fast_first(self):
        """Guards against choosing a slower server while both are idle."""
        self.queue.load_by_id['s1'].speeds.add_peer_speed(Speed(45, 60, samples=20), 1)
        self.queue.load_by_id['s2'].speeds.add_peer_speed(Speed(10, 13, samples=20), 1)
        self.submit()
        self.assertEqual(self.chosen_ids()[0], 's2')

    def test_ejected(self):
        """Guards against assigning requests to a server after a failed connection."""
        self.queue.load_by_id['s1'].on_unreachable(self.clock.monotonic_ms())
        self.submit()
        self.submit()
        self.assertEqual(set(self.chosen_ids()), {'s2'})

    def test_long_output(self):
        """Guards against using a slow server that would miss the deadline.

        The request waits for the fast server, which is full at first.
        """
        slow = self.queue.load_by_id['s1']
        slow.speeds.add_peer_speed(Speed(100, 20, samples=20), 1)
        fast = self.queue.load_by_id['s2']
        fast.speeds.add_peer_speed(Speed(10, 20, samples=20), 1)
        self.submit()
        self.submit()
        self.submit(output_tokens=1000)
        self.assertEqual(len(self.assigned), 2)
        self.finish_first()
        self.assertEqual(set(self.chosen_ids()), {'s2'})

    def test_single_probe(self):
        """Guards against more than one request that probes a failed server."""
        load = self.queue.load_by_id['s1']
        load.on_unreachable(self.clock.monotonic_ms())
        self.clock.advance_ms(400)
        self.assertFalse(load.is_ejected(self.clock.monotonic_ms()))
        load.begin(make_demand(), self.clock.monotonic_ms())
        self.assertTrue(load.is_ejected(self.clock.monotonic_ms()))
        load.on_success(self.clock.monotonic_ms())
        self.assertFalse(load.is_ejected(self.clock.monotonic_ms()))

    def test_all_ejected(self):
        """Guards against rejecting all requests while every server is ejected."""
        for load in self.queue.load_by_id.values():
            load.on_unreachable(self.clock.monotonic_ms())
        self.submit()
        self.assertEqual(len(self.assigned), 1)

    def test_leaving(self):
        """Guards against assigning requests to a server that is leaving."""
        self.queue.load_by_id['s1'] = make_load('s1', is_leaving=True)
        self.submit()
        self.submit()
        self.assertEqual(set(self.chosen_ids()), {'s2'})

    def test_no_server(self):
        """A request for a service without servers is rejected at once."""
        self.queue.load_by_id.clear()
        with self.assertRaises(OverloadError):
            self.submit()

    def test_failing_costs_more(self):
        """Guards against preferring a server that fails some of its requests."""
        for _ in range(12):
            self.queue.load_by_id['s1'].on_error()
        self.submit()
        self.assertEqual(self.chosen_ids()[0], 's2')


class TestRequestsThatRan(QueueCase):
    """No estimate ends the wait of a request that may have run, or has begun."""

    def crowd(self):
        """Take all slots, and let many urgent requests wait."""
        self.fill()
        for _ in range(40):
            self.submit(priority=0, deadline_ms=60_000, give_up_ms=60_000)

    def test_not_refused_at_once(self):
        """Guards against an answer 502 with time left, as the wait looks long."""
        self.crowd()
        waiter = self.submit(priority=1, has_run=True)
        self.assertIn(waiter, self.queue.waiters)

    def test_not_expired_early(self):
        """Guards against a stream cut past its target, seconds before its end."""
        self.fill()
        waiter = self.submit(priority=1, has_run=True, give_up_ms=9000)
        for _ in range(40):
            self.submit(priority=0, give_up_ms=60_000)
        self.clock.advance_ms(8900)
        self.queue.assign()
        self.assertIn(waiter, self.queue.waiters)
        self.clock.advance_ms(100)
        self.queue.assign()
        self.assertNotIn(waiter, self.queue.waiters)

    def test_paused_servers(self):
        """Guards against a stream cut as all servers have asked for a pause."""
        paused = HeardNotices(resumed_ms=self.clock.monotonic_ms() + 5000)
        for load in self.queue.load_by_id.values():
            load.use_notices(paused)
        waiter = self.submit(has_run=True)
        self.assertIn(waiter, self.queue.waiters)

    def test_silent_server(self):
        """Guards against a stream that waits for a server as silent as ejected."""
        now_ms = self.clock.monotonic_ms()
        silent = self.queue.load_by_id['s2']
        silent.begin(make_demand(now_ms), now_ms)
        for _ in range(MANY_FAILURES):
            silent.on_unreachable(now_ms)
        failed = {'s1'}
        self.submit(has_run=True, may_return=True, excluded_server_ids=failed)
        self.assertEqual(self.chosen_ids(), ['s1'])

    def test_begun_first(self):
        """Guards against a begun stream that waits behind requests of its priority.

        Those of a higher priority still go first, and late ones of it don't.
        """
        self.fill()
        late = self.submit(priority=1, target_ms=0)
        self.clock.advance_ms(1)
        fresh = self.submit(priority=2)
        begun = self.submit(priority=2, is_begun=True, target_ms=0)
        urgent = self.submit(priority=1)
        for _ in range(4):
            self.finish_first()
        order = [demand for demand, _ in self.assigned]
        expected = [urgent, begun, late, fresh]
        self.assertEqual(order, [waiter.demand for waiter in expected])
