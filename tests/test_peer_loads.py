"""Test that the load of each peer is counted exactly once."""

import unittest

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.peers.peer_loads import PeerLoads, report_of_state
from marjoramfall.gateway.peers.peer_state import (
    ServerSpeed,
    ServerUse,
    WaitingCall,
    WaitingWork,
    decode_state,
    encode_state,
)
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.waiting_order import WorkAhead
from tests.gateway_fakes import MODEL, make_load, make_state


class TestPeerLoads(unittest.TestCase):
    """Each report replaces the one before."""

    def setUp(self):
        self.loads = {'s1': make_load('s1'), 's2': make_load('s2')}
        self.queue = ServiceQueue(PausedClock(), is_model=True)
        self.peers = PeerLoads(self.loads, lambda service_id: self.queue)

    def report(self, **changes):
        """Process a state after encoding and decoding it."""
        state = decode_state(encode_state(make_state(**changes)))
        self.peers.replace(report_of_state(state), 0)

    def test_replaced(self):
        """Guards against load that is counted twice or never removed."""
        self.report(uses=[ServerUse('s1', 2, 500)])
        self.report(uses=[ServerUse('s2', 1, 100), ServerUse('unknown', 1, 1)])
        self.assertEqual(self.loads['s1'].peer_running, 0)
        self.assertEqual(self.loads['s2'].peer_running, 1)
        self.assertEqual(self.loads['s2'].pending_prefill_tokens, 100)

    def test_silent(self):
        """Guards against counting the load of a peer that is gone."""
        self.report(
            uses=[ServerUse('s1', 2, 500)],
            speeds=[ServerSpeed('s1', 50, 60, 10)],
            waiting=[WaitingCall(MODEL, 1, 5)],
        )
        self.peers.keep_only(set())
        self.assertEqual(self.loads['s1'].running, 0)
        self.assertEqual(self.loads['s1'].speeds.peers.samples, 0)
        self.assertFalse(self.queue.peers.group_waiters_by_source)

    def test_unlisted_work(self):
        """Guards against work that peers sum up counted never, or for ever."""
        self.report(
            waiting=[WaitingCall(MODEL, 1, 5, 30)],
            unlisted_work=[WaitingWork(MODEL, 1, 4, 200)],
        )
        ahead = self.queue.peers.of_group(0).before((1, 0), is_newest=True)
        self.assertEqual(ahead, WorkAhead(5, 230))
        self.report(waiting=[])
        ahead = self.queue.peers.of_group(0).before((1, 0), is_newest=True)
        self.assertEqual(ahead, WorkAhead())

    def test_report_of_earlier_version(self):
        """Guards against a version that tells no length of its requests."""
        earlier = msgspec.msgpack.encode([MODEL, 1, 5])
        call = msgspec.msgpack.decode(earlier, type=WaitingCall)
        self.assertEqual(call, WaitingCall(MODEL, 1, 5, 0))

    def test_new_server(self):
        """Guards against a new server that seems idle.

        Peers may report their load at the server before it is known here.
        """
        self.report(uses=[ServerUse('s3', 3, 0)])
        self.loads['s3'] = make_load('s3')
        self.peers.apply_to_new_server(self.loads['s3'])
        self.assertEqual(self.loads['s3'].running, 3)

    def test_speed(self):
        """Speeds measured by peers are used where this entry has no sample."""
        before_ms = self.loads['s1'].speeds.event_ms
        self.report(speeds=[ServerSpeed('s1', 60, 60, 20)])
        self.assertGreater(self.loads['s1'].speeds.event_ms, 2 * before_ms)
