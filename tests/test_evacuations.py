"""Test evacuations of data centres: state, snapshots, the store and requests."""

import unittest

import msgspec
from gevent import sleep

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.call_failover import CallFailover
from marjoramfall.gateway.evacuations import (
    RESTORE_GRACE_MS,
    EvacuationNews,
    Evacuations,
)
from marjoramfall.gateway.registry import Snapshot
from marjoramfall.gateway.revision import era_of, make_revision
from marjoramfall.gateway.servers.evacuation_rule import EvacuationRule
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.service_queue import (
    Assignment,
    NoServerError,
    ServiceQueue,
    Waiter,
)
from tests.gateway_case import GatewayCase, answer, start_events
from tests.gateway_fakes import (
    MODEL,
    PLAIN,
    make_call,
    make_config,
    make_demand,
    make_load,
    new_registry,
)
from tests.watch_case import WatchCase, wait_until

DC = 'dc-b'


def begin(revision, data_centre=DC):
    """Return the news that a data centre is evacuated."""
    return EvacuationNews(data_centre, is_evacuated=True, revision=revision)


def end(revision, data_centre=DC):
    """Return the news that a data centre is taken back."""
    return EvacuationNews(data_centre, is_evacuated=False, revision=revision)


class TestNews(unittest.TestCase):
    """News arrive late, twice, in any order, and from a restored store."""

    def setUp(self):
        self.clock = PausedClock()
        self.evacuations = Evacuations(self.clock)

    def test_late_begin(self):
        """Guards against an old order that overrides its end."""
        self.evacuations.put(end(12))
        self.assertFalse(self.evacuations.put(begin(10)))
        self.assertFalse(self.evacuations.includes(DC))

    def test_late_end(self):
        """Guards against an old end that overrides a newer order."""
        self.evacuations.put(begin(10))
        self.evacuations.put(begin(14))
        self.evacuations.put(end(12))
        self.assertTrue(self.evacuations.includes(DC))

    def test_each_data_centre(self):
        """Guards against an end that takes back another data centre."""
        self.evacuations.put(begin(10))
        self.evacuations.put(begin(11, 'dc-c'))
        self.evacuations.put(end(12, 'dc-c'))
        self.assertEqual(self.evacuations.data_centres, {DC})

    def test_missing_in_read(self):
        """Guards against an evacuation whose deletion was never heard of."""
        self.evacuations.put(begin(10))
        self.assertEqual(self.evacuations.missing([], 15), [end(15)])
        self.assertEqual(self.evacuations.missing([DC], 15), [])

    def test_outdated_read(self):
        """Guards against a read from before the order that takes it back."""
        self.evacuations.put(begin(10))
        for news in self.evacuations.missing([], 9):
            self.evacuations.put(news)
        self.assertTrue(self.evacuations.includes(DC))

    def lose_order(self):
        """Hear of an order, and of a restored store that does not have it."""
        self.evacuations.put(begin(make_revision(1, 30)))
        self.assertEqual(self.evacuations.missing([], make_revision(2, 20)), [])
        self.evacuations.advance(make_revision(2, 20))

    def test_lost_order_holds(self):
        """Guards against requests as a restored store lacks the order for a moment."""
        self.lose_order()
        self.clock.advance_ms(RESTORE_GRACE_MS - 1)
        self.assertEqual(self.evacuations.lapsed(), [])
        self.evacuations.put(begin(make_revision(2, 25)))
        self.clock.advance_ms(RESTORE_GRACE_MS)
        self.assertEqual(self.evacuations.lapsed(), [])
        self.assertTrue(self.evacuations.includes(DC))

    def test_lost_order_lapses(self):
        """Guards against an evacuation for ever that no row can take back."""
        self.lose_order()
        self.clock.advance_ms(RESTORE_GRACE_MS)
        for news in self.evacuations.lapsed():
            self.evacuations.put(news)
        self.assertFalse(self.evacuations.is_any)

    def test_order_comes_back(self):
        """Guards against ignoring an order that a restored store lists again."""
        self.evacuations.put(begin(make_revision(1, 10)))
        self.evacuations.put(end(make_revision(1, 30)))
        self.evacuations.put(begin(make_revision(2, 10)))
        self.assertTrue(self.evacuations.includes(DC))


class TestSnapshots(unittest.TestCase):
    """Entries that don't follow the store hear of evacuations from peers."""

    def setUp(self):
        self.clock = PausedClock()
        self.registry = new_registry(self.clock)
        self.registry.put_config(make_config(5), 10)
        self.registry.put_evacuation(begin(12))
        self.registry.set_operator_as_of(12)
        self.peer = new_registry(self.clock)

    def receive(self, snapshot):
        """Merge a snapshot at the peer as it arrives there."""
        encoded = msgspec.msgpack.encode(snapshot)
        self.peer.merge(msgspec.msgpack.decode(encoded, type=Snapshot))

    def test_begin_and_end(self):
        """Guards against an entry without the store that misses begin or end."""
        self.receive(self.registry.snapshot())
        self.assertTrue(self.peer.evacuations.includes(DC))
        self.assertEqual(self.registry.config_state.changed, 12)
        self.registry.put_evacuation(end(14))
        self.registry.set_operator_as_of(14)
        self.assertEqual(self.registry.config_state.changed, 14)
        self.receive(self.registry.snapshot())
        self.assertFalse(self.peer.evacuations.is_any)

    def test_stale_peer(self):
        """Guards against a peer cut off before the end that begins it again."""
        stale = self.registry.snapshot()
        self.registry.put_evacuation(end(14))
        self.registry.merge(stale)
        self.assertFalse(self.registry.evacuations.is_any)

    def test_build_before(self):
        """Guards against an entry that takes the news of a build without them as all.

        It reads the table itself, and does not pass on that it knows all.
        """
        fields = msgspec.msgpack.decode(
            msgspec.msgpack.encode(self.registry.snapshot())
        )
        fields.pop('evacuations')
        self.receive(fields)
        self.assertEqual(self.peer.config.version, 5)
        self.assertTrue(self.peer.lacks_evacuations)
        self.assertEqual(self.peer.operator_as_of, 0)
        self.assertIsNone(self.peer.snapshot().evacuations)
        self.receive(self.registry.snapshot())
        self.assertFalse(self.peer.lacks_evacuations)


class TestRestoredStore(unittest.TestCase):
    """A store that lost an order gets it again while the order still holds here."""

    def test_written_again(self):
        """Guards against peers that are not told, as nothing changed here."""
        registry = new_registry(PausedClock())
        registry.put_evacuation(begin(make_revision(1, 10)))
        registry.put_evacuation(begin(make_revision(2, 5)))
        self.assertEqual(registry.config_state.changed, make_revision(2, 5))


class TestWatch(WatchCase):
    """Evacuations begin and end with their rows."""

    def setUp(self):
        super().setUp()
        self.copy = self.store.copy()
        self.store.put('op', f'evacuate/{DC}', {})
        self.assertTrue(wait_until(lambda: self.is_evacuated))

    @property
    def is_evacuated(self):
        """Return whether the data centre is evacuated as the entry knows."""
        return self.registry.evacuations.includes(DC)

    def test_deleted_row(self):
        """Guards against a data centre that stays empty after its return."""
        self.store.drop('op', f'evacuate/{DC}')
        self.assertTrue(wait_until(lambda: not self.is_evacuated))

    def test_lost_history(self):
        """Guards against a return that only a complete read can show."""
        self.store.faults.status = 503
        self.assertTrue(wait_until(lambda: not self.watches[0].is_connected))
        self.store.drop('op', f'evacuate/{DC}')
        self.store.forget_history()
        self.store.faults.status = 0
        self.assertTrue(wait_until(lambda: not self.is_evacuated))

    def test_restored_copy_lacks_row(self):
        """Guards against requests before the operator has written the row again."""
        self.store.restore(self.copy)
        evacuations = self.registry.evacuations
        self.assertTrue(wait_until(lambda: era_of(evacuations.as_of) == 2))
        self.assertTrue(self.is_evacuated)
        self.store.put('op', f'evacuate/{DC}', {})
        self.store.drop('op', f'evacuate/{DC}')
        self.assertTrue(wait_until(lambda: not self.is_evacuated))


class TestQueue(unittest.TestCase):
    """A queue with a server in each of two data centres."""

    def setUp(self):
        self.clock = PausedClock()
        self.evacuations = Evacuations(self.clock)
        self.rules = PlacementRules((EvacuationRule(self.evacuations),))
        self.queue = ServiceQueue(self.clock, is_model=True, rules=self.rules)
        for server_id, data_centre in (('s1', 'dc-a'), ('s2', DC)):
            self.queue.load_by_id[server_id] = make_load(
                server_id, data_centre=data_centre
            )
        self.assigned = []

    def submit(self, **changes):
        """Submit a request and note the server that it gets."""
        demand = make_demand(self.clock.monotonic_ms(), **changes)
        waiter = Waiter(
            demand,
            lambda found: self.assigned.append(found.load.server.server_id),
            lambda error: None,
        )
        self.queue.submit(waiter)

    def test_spared(self):
        """Guards against a request under load to a server that is to get nothing."""
        self.evacuations.put(begin(10))
        for _ in range(4):
            self.submit()
        self.assertEqual(self.assigned, ['s1', 's1'])
        self.evacuations.put(end(11))
        self.queue.assign()
        self.assertEqual(self.assigned, ['s1', 's1', 's2', 's2'])

    def test_return_to_failed(self):
        """Guards against a retry that returns to a server that was evacuated."""
        self.evacuations.put(begin(10))
        excluded = {'excluded_server_ids': {'s1', 's2'}, 'last_failed_server_id': 's1'}
        self.submit(may_return=True, has_run=True, **excluded)
        self.assertEqual(self.assigned, ['s1'])

    def test_reason(self):
        """Guards against a refusal that does not say that nothing is left."""
        self.evacuations.put(begin(10))
        self.evacuations.put(begin(11, 'dc-a'))
        with self.assertRaisesRegex(NoServerError, 'data centre evacuated'):
            self.submit()


class TestRequests(GatewayCase):
    """Requests on their way as the data centre of their servers is evacuated."""

    def evacuate(self, data_centre):
        """Evacuate a data centre."""
        self.registry.put_evacuation(begin(50, data_centre))

    def test_refused(self):
        """Guards against a caller that is not told that nothing has run."""
        backend = self.add_backend(answer)
        self.evacuate('dc-a')
        response = self.ask('/post/1', method='POST', body=b'sum')
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertIn(b'data centre evacuated', response)
        self.assertEqual(backend.heads, [])

    def test_retry(self):
        """Guards against a retry at a server that was evacuated meanwhile."""
        first = self.add_backend(
            lambda exchange: self.evacuate(DC), server_id='first', data_centre='dc-a'
        )
        evacuated = self.add_backend(answer, data_centre=DC)
        self.fleet.queue(PLAIN).load_by_id[
            f'i-{evacuated.address}'
        ].remote_cost_ms = 1000
        third = self.add_backend(answer, data_centre='dc-c')
        self.fleet.queue(PLAIN).load_by_id[f'i-{third.address}'].remote_cost_ms = 2000
        self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(
            [len(backend.heads) for backend in (first, evacuated, third)], [1, 0, 1]
        )

    def test_waiting(self):
        """Guards against a request that waits in vain for an evacuated server."""
        backend = self.add_backend(lambda exchange: sleep(1))
        connections = [self.send('/post/1', method='POST') for _ in range(2)]
        self.wait_for(lambda: len(backend.heads) == len(connections))
        waiting = self.send('/post/1', method='POST')
        self.wait_for(lambda: self.fleet.queue(PLAIN).waiters)
        self.evacuate('dc-a')
        self.assertIn(b'data centre evacuated', self.receive(waiting))

    def place_late(self, call):
        """Return a place that is evacuated as it is assigned, then any other."""
        load = self.fleet.queue(PLAIN).load_by_id['late']
        if self.evacuations.includes(DC):
            return self.acquire(call)
        demand = self.fleet.build_demand(call)
        request = load.begin(demand, self.clock.monotonic_ms())
        self.evacuate(DC)
        return Assignment(load, request)

    def test_place_not_used(self):
        """Guards against a place that was assigned before the evacuation."""
        self.add_backend(answer, server_id='late', data_centre=DC)
        other = self.add_backend(answer, data_centre='dc-a')
        self.acquire = self.gateway._forwarder._acquire
        self.gateway._forwarder._acquire = self.place_late
        self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(len(other.heads), 1)
        self.assertEqual(self.fleet.queue(PLAIN).load_by_id['late'].running, 0)

    def test_reserved_place(self):
        """Guards against a move to a server that was evacuated after a long wait."""
        for server_id, data_centre in (('first', 'dc-a'), ('second', DC)):
            self.add_backend(answer, server_id=server_id, data_centre=data_centre)
        loads = self.fleet.queue(PLAIN).load_by_id
        call = make_call(deadline_ms=self.clock.monotonic_ms() + 1000)
        demand = self.fleet.build_demand(call)
        failover = CallFailover(call, self.fleet, self.fleet.delegates, self.clock)
        failover.begin(
            Assignment(loads['first'], loads['first'].begin(demand, demand.arrived_ms))
        )
        loads['second'].add_peer_load(2, 0)
        self.assertFalse(failover.reserve())
        loads['second'].add_peer_load(-2, 0)
        self.fleet.assign()
        self.assertEqual(loads['second'].running, 1)
        self.evacuate(DC)
        self.assertFalse(failover.reserve())
        self.assertEqual(loads['second'].running, 0)

    def stream(self, exchange):
        """Send two events, with the evacuation between them."""
        start_events(exchange)
        exchange.event('1', 'a')
        self.evacuate('dc-a')
        sleep(0.1)
        exchange.event('2', 'b')
        exchange.write(b'0\r\n\r\n')

    def test_begun_stream(self):
        """Guards against cutting what runs in the data centre."""
        self.add_backend(self.stream, service_id=MODEL)
        response = self.receive(self.send('/review/1'), b'0\r\n\r\n')
        self.assertIn(b'data: b', response)
