"""Test requests that look for another place after their server has failed.

They have run, or their callers have the beginning of their streams: only time or
attempts end them, not an estimate nor a server that failed them earlier.
"""

from unittest.mock import patch

from gevent import sleep
from gevent.server import StreamServer

from marjoramfall.gateway.delegation import service_paths
from marjoramfall.gateway.delegation.messages import ELSEWHERE, FAILURE
from marjoramfall.gateway.forwarder import MAX_REJECTED_SENDS
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.registry import ServerChange
from marjoramfall.gateway.servers.backend_connection import (
    RECEIVE_BYTES,
)
from tests.delegation_case import DelegationCase, UnreachableCase
from tests.gateway_case import GatewayCase, answer, start_events
from tests.gateway_fakes import (
    MODEL,
    PLAIN,
    make_config,
    make_route,
    make_server,
)
from tests.scripted_backend import ScriptedBackend
from tests.test_server_faults import resume
from tests.test_unreachable_servers import closed_address

UNAVAILABLE = '503 Service Unavailable'
END_OF_CHUNKS = b'0\r\n\r\n'
SEGMENT_PAUSE_S = 0.03
PAUSE_S = 0.3
# Beyond it, an entry asks servers that refuse connections without a pause.
MAX_OPENED_IN_PAUSE = 12
LONG_SERVICE_MS = 6000.0


def begin_and_break(exchange):
    """Send the first event of a stream, and break it off."""
    start_events(exchange)
    exchange.event('1', 'a')
    return False


def begin_and_garble(exchange):
    """Send the first event of a stream, and no chunk after it."""
    start_events(exchange)
    exchange.event('1', 'a')
    # What arrives together with an error is dropped.
    sleep(SEGMENT_PAUSE_S)
    exchange.write(b'none\r\n')
    return False


def fail_delegated(exchange):
    """Say as a peer that a request has failed after it had run there."""
    extra = f'{FAILURE.decode()}: no path\r\n'
    answer(exchange, status='502 Bad Gateway', extra=extra)


def break_off(_exchange):
    """End the connection without a response."""
    return False


class FullServer:
    """Take all slots of a server, for long by the estimate, and free them."""

    def __init__(self, entry, server_id):
        self._queue = entry.fleet.queue(PLAIN)
        self._queue.estimate.service_time_ms = LONG_SERVICE_MS
        self._load = self._queue.load_by_id[server_id]
        self._load.add_peer_load(self._load.server.slots, 0)

    def free(self):
        """Free the slots, and assign them."""
        self._load.add_peer_load(-self._load.server.slots, 0)
        self._queue.assign()


class TestFullServers(DelegationCase):
    """All slots are taken as a request looks for a second place."""

    def setUp(self):
        UnreachableCase.setUp(self)
        self.sequence = 0

    def test_after_break(self):
        """Guards against a 502 at once, as an estimate exceeds the time left."""
        self.add_backend(break_off)
        self.add_backend(answer, server_id='full')
        full = FullServer(self, 'full')
        connection = self.send('/read/1')
        self.wait_for(lambda: self.fleet.queue(PLAIN).waiters)
        full.free()
        self.assertIn(b'200 OK', self.receive(connection))

    def test_at_peer(self):
        """Guards against a peer that refuses by an estimate what has run before."""
        peer = self.add_peer()
        peer.add_backend(answer, server_id='full')
        full = FullServer(peer, 'full')
        connection = peer.send_delegated('/read/1', PLAIN, runs=1)
        self.wait_for(lambda: peer.fleet.queue(PLAIN).waiters)
        full.free()
        self.assertIn(b'200 OK', self.receive(connection))


class ScriptSequence:
    """Run a script for each request, whichever server it reaches."""

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.addresses = []

    def __call__(self, exchange):
        self.addresses.append(exchange.sock.getsockname())
        return self._scripts.pop(0)(exchange)


class TestReturns(GatewayCase):
    """All servers have failed a request, and are back."""

    def setUp(self):
        super().setUp()
        review = make_config().find_route('a.example', '/review/1')
        routes = (
            make_route('read', timeout_ms=5000, max_attempts=9),
            make_route(
                'review',
                RepeatRule.RESUMABLE,
                services=review.services,
                is_stream=True,
                timeout_ms=5000,
                max_attempts=9,
            ),
        )
        self.registry.put_config(make_config(2, routes=routes), 2)

    def move(self, server_id, address):
        """Register another address of a server, or remove it."""
        server = address and make_server(server_id, address=address, service_id=MODEL)
        revision = self.registry.servers_state.as_of + 1
        change = ServerChange(server_id, server, revision)
        self.registry.apply_changes([change], revision)

    def test_begun_stream(self):
        """Guards against a begun stream cut as each server has failed it once.

        Of two that failed it, the one that failed it last gets it last.
        """
        sequence = ScriptSequence(begin_and_break, break_off, resume)
        for _ in range(2):
            self.add_backend(sequence, service_id=MODEL)
        connection = self.send('/review/1')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))
        self.assertEqual(sequence.addresses[2], sequence.addresses[0])

    def test_request(self):
        """Guards against a 502 with time left as each server has failed once."""
        sequence = ScriptSequence(break_off, break_off, break_off, answer)
        for _ in range(3):
            self.add_backend(sequence)
        self.assertIn(b'200 OK', self.ask('/read/1'))

    def test_untried_first(self):
        """Guards against a return to a server that failed while another is free."""
        sequence = ScriptSequence(break_off, break_off, answer)
        for _ in range(3):
            self.add_backend(sequence)
        self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(len(set(sequence.addresses)), 3)

    def test_refused_for_a_while(self):
        """Guards against a stream cut, or servers asked without a pause, meanwhile."""
        for server_id in ('first', 'second'):
            self.add_backend(
                ScriptSequence(begin_and_garble), service_id=MODEL, server_id=server_id
            )
        connection = self.send('/review/1')
        self.receive(connection, b'data: a')
        for server_id in ('first', 'second'):
            self.move(server_id, closed_address())
        sleep(PAUSE_S)
        self.assertLess(self.pool.opened_count, MAX_OPENED_IN_PAUSE)
        self.add_backend(resume, service_id=MODEL, server_id='first')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))

    def test_no_server_for_a_while(self):
        """Guards against a stream cut as no server is registered for the moment."""
        self.add_backend(begin_and_garble, service_id=MODEL, server_id='first')
        connection = self.send('/review/1')
        self.receive(connection, b'data: a')
        self.move('first', None)
        sleep(PAUSE_S)
        self.add_backend(resume, service_id=MODEL, server_id='second')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))


def refuse_delegated(exchange, extra=''):
    """Refuse a delegated request, as its entry has no place for it."""
    headers = f'{FAILURE.decode()}: no place in time\r\n{extra}'
    answer(exchange, status=UNAVAILABLE, extra=headers)


def refuse_elsewhere(exchange):
    """Refuse a delegated request that another entry may serve."""
    refuse_delegated(exchange, f'{ELSEWHERE.decode()}: 1\r\n')


def reject(exchange):
    """Reject a request without running it."""
    answer(exchange, status=UNAVAILABLE, extra='Marjoramfall-Not-Executed: 1\r\n')


class CutPath:
    """End the first connection at its request, and further ones at once."""

    def __init__(self):
        self._connections = 0

    def __call__(self, sock, _address):
        self._connections += 1
        if self._connections == 1:
            sock.recv(RECEIVE_BYTES)
        sock.close()


class TestRefusedSecondPlaces(DelegationCase):
    """Peers or servers refuse a request that has run."""

    def setUp(self):
        UnreachableCase.setUp(self)
        self.sequence = 0

    def add_peer_script(self, *scripts):
        """Hear of a peer that runs scripts."""
        peer = ScriptedBackend(*scripts)
        self.addCleanup(peer.stop)
        self.hear(peer)
        return peer

    def check_asked_again(self, refuse):
        """Check that a peer that refuses a request that has run is asked again."""
        self.add_backend(break_off)
        peer = self.add_peer_script(refuse, answer)
        self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(len(peer.heads), 2)

    def test_by_peer(self):
        """Guards against an answer "not run" to a request that has run."""
        self.check_asked_again(refuse_delegated)

    def test_by_peer_without_path(self):
        """Guards against a 502 with time left as no entry has a path for a moment."""
        self.check_asked_again(refuse_elsewhere)

    def use_attempts(self, count):
        """Let requests run some times."""
        route = make_route('read', max_attempts=count)
        self.registry.put_config(make_config(2, routes=(route,)), 2)

    def test_failed_by_peer(self):
        """Guards against a 502 of a peer passed on with attempts and time left."""
        self.use_attempts(3)
        self.check_asked_again(fail_delegated)

    def test_failed_by_peer_at_last(self):
        """Guards against more runs than the route allows as peers fail a request."""
        self.use_attempts(2)
        self.add_backend(break_off)
        peer = self.add_peer_script(fail_delegated, answer)
        self.assertIn(b'502 Bad', self.ask('/read/1'))
        self.assertEqual(len(peer.heads), 1)

    @patch.object(service_paths, 'PROBE_INTERVAL_MS', 20)
    def test_lost_path(self):
        """Guards against attempts spent on a lost path that resets connections."""
        cut = StreamServer(('127.0.0.1', 0), CutPath())
        cut.start()
        self.addCleanup(cut.stop, timeout=0)
        server = make_server('cut', address=f'127.0.0.1:{cut.server_port}')
        revision = self.registry.servers_state.as_of + 1
        self.registry.apply_changes([ServerChange('cut', server, revision)], revision)
        connection = self.send('/read/1')
        self.wait_for(lambda: self.fleet.paths.is_lost(PLAIN))
        sleep(PAUSE_S)
        self.assertTrue(self.fleet.paths.is_lost(PLAIN))
        self.add_backend(answer, server_id='cut')
        self.assertIn(b'200 OK', self.receive(connection))

    def test_new_request(self):
        """Guards against a wait for what a peer refuses and has not run."""
        for number in range(2):
            self.add_unreachable(f'closed-{number}', PLAIN)
        peer = self.add_peer_script(refuse_delegated, answer)
        self.assertIn(b'503 Service', self.ask('/read/1'))
        self.assertEqual(len(peer.heads), 1)

    def test_by_server_of_peer(self):
        """Guards against a stream cut as a rejection at a peer takes an attempt."""
        self.add_backend(begin_and_break, service_id=MODEL)
        peer = self.add_peer_script(reject, resume)
        connection = self.send('/review/1')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))
        self.assertEqual(len(peer.heads), 2)

    def test_by_servers(self):
        """Guards against a stream cut as full servers reject it for a while."""
        rejections = [reject for _ in range(MAX_REJECTED_SENDS + 2)]
        sequence = ScriptSequence(begin_and_break, *rejections, resume)
        for _ in range(3):
            self.add_backend(sequence, service_id=MODEL)
        connection = self.send('/review/1')
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))
