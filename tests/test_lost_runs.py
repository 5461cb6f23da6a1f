"""Test which runs of a request take an attempt of its route.

The pattern is a restart of servers in turn, or a path that is cut: connections are
reset, and new ones are refused or reset for a second or two.
"""

from gevent import sleep
from gevent.server import StreamServer

from marjoramfall.gateway.callers.call import Delegation
from marjoramfall.gateway.lost_runs import MAX_LOST_RUNS, LostRuns
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from tests.delegation_case import DelegationCase, UnreachableCase
from tests.gateway_case import answer
from tests.gateway_fakes import MODEL, PLAIN, make_call, make_load, make_route
from tests.scripted_backend import ScriptedBackend
from tests.test_second_places import (
    END_OF_CHUNKS,
    SEGMENT_PAUSE_S,
    FullServer,
    ScriptSequence,
    begin_and_break,
    break_off,
)
from tests.test_server_faults import resume
from tests.test_unreachable_servers import closed_address


class RestartingServer:
    """Stop to listen as well where a script breaks the connection."""

    def __init__(self, sequence):
        self._sequence = sequence
        self.backend = None

    def __call__(self, exchange):
        is_kept = self._sequence(exchange)
        if is_kept is False:
            self.backend.stop()
        return is_kept


def close_late(sock, _address):
    """Close a connection a while after it was accepted."""
    sleep(SEGMENT_PAUSE_S)
    sock.close()


class TestLostRuns(DelegationCase):
    """A run that ended with its server, or its path, takes no attempt."""

    def setUp(self):
        UnreachableCase.setUp(self)
        self.sequence = 0

    def add_restarting(self, *scripts, service_id=PLAIN):
        """Register three servers that restart as they break a connection."""
        sequence = ScriptSequence(*scripts)
        for _ in range(3):
            server = RestartingServer(sequence)
            server.backend = self.add_backend(server, service_id=service_id)
        return sequence

    def test_begun_stream(self):
        """Guards against a stream cut as two servers were restarted under it."""
        self.add_restarting(begin_and_break, break_off, resume, service_id=MODEL)
        connection = self.send('/review/1')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))

    def test_request(self):
        """Guards against a 502 as two servers were restarted under a request."""
        self.add_restarting(break_off, break_off, answer)
        self.assertIn(b'200 OK', self.ask('/read/1'))

    def test_sound_servers(self):
        """Guards against more runs than allowed at servers that still listen."""
        sequence = ScriptSequence(break_off, break_off, answer)
        for _ in range(3):
            self.add_backend(sequence)
        self.assertIn(b'502 Bad Gateway', self.ask('/read/1'))
        self.assertEqual(len(sequence.addresses), 2)

    def test_at_most_once(self):
        """Guards against a second run of what must not repeat."""
        sequence = self.add_restarting(break_off, answer)
        self.assertIn(b'502 Bad Gateway', self.ask('/post/1', method='POST'))
        self.assertEqual(len(sequence.addresses), 1)

    def test_connections(self):
        """Guards against an attempt counted where a path resets new connections."""
        cut = StreamServer(('127.0.0.1', 0), lambda sock, _address: sock.close())
        cut.start()
        self.addCleanup(cut.stop, timeout=0)
        address = f'127.0.0.1:{cut.server_port}'
        for unreached in (address, closed_address()):
            with self.assertRaises(NotReachedError):
                self.pool.open_kept('cut', unreached)
        self.pool.open_kept('sound', self.add_backend(answer).address)

    def test_reset_late(self):
        """Guards against the last attempt taken by a path that resets with delay."""
        cut = StreamServer(('127.0.0.1', 0), close_late)
        cut.start()
        self.addCleanup(cut.stop, timeout=0)
        load = make_load(address=f'127.0.0.1:{cut.server_port}')
        call = make_call(runs=make_route('read').max_attempts)
        outcome = Outcome(Ending.UNKNOWN, is_connection_lost=True)
        LostRuns(self.pool, self.clock).on_outcome(call, load, outcome)
        self.assertEqual(call.attempts_left, 1)

    def test_ejected(self):
        """Guards against sends of others to a server that is known to be gone."""
        self.add_restarting(break_off, answer)
        self.ask('/read/1')
        loads = self.fleet.queue(PLAIN).load_by_id.values()
        now_ms = self.clock.monotonic_ms()
        self.assertEqual(sum(load.is_ejected(now_ms) for load in loads), 1)

    def test_bound(self):
        """Guards against a request that ends each server it is sent to."""
        call = make_call()
        lost_runs = LostRuns(self.pool, self.clock)
        load = make_load(address=closed_address())
        outcome = Outcome(Ending.UNKNOWN, is_connection_lost=True)
        for _ in range(2 * MAX_LOST_RUNS):
            lost_runs.on_outcome(call, load, outcome)
        self.assertEqual(call.lost_runs, MAX_LOST_RUNS)

    def test_passed_on(self):
        """Guards against a peer that counts a lost run, or takes it for not run.

        A peer of the build before doesn't pass the added header on to servers.
        """
        self.add_restarting(break_off, break_off, break_off)
        peer = ScriptedBackend(answer)
        self.addCleanup(peer.stop)
        self.hear(peer)
        self.assertIn(b'200 OK', self.ask('/read/1'))
        head = peer.heads[0].lower()
        self.assertIn(b'x-delegated-runs: 0', head)
        self.assertIn(b'x-delegated-lost-runs: 3', head)
        self.assertIn(b'connection: close, x-delegated-lost-runs', head)

    def test_heard(self):
        """Guards against a peer that takes a request that has run for a new one."""
        call = make_call(delegation=Delegation(PLAIN, 0, 1, lost_runs=1))
        self.assertTrue(call.has_run)
        self.assertEqual(call.attempts_left, call.route.max_attempts)
        peer = self.add_peer()
        backend = peer.add_backend(answer, server_id='full')
        full = FullServer(peer, 'full')
        connection = peer.send_delegated('/read/1', PLAIN, runs=0, lost_runs=1)
        self.wait_for(lambda: peer.fleet.queue(PLAIN).waiters)
        full.free()
        self.assertIn(b'200 OK', self.receive(connection))
        self.assertNotIn(b'x-delegated', backend.heads[0].lower())
