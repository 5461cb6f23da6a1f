"""Test streams that have begun as their entry loses the path to their servers.

Only a peer can go on with them then. Its slots may be taken for a while, and it may
be an entry of the build before, which refuses what it has no slot for.
"""

from functools import partial
from unittest.mock import patch

from gevent import sleep
from gevent.event import Event

from marjoramfall.gateway.delegation import service_paths
from marjoramfall.gateway.delegation.messages import FAILURE
from marjoramfall.gateway.servers.server_load import HeardNotices
from tests.delegation_case import SERVER_COUNT, DelegationCase, UnreachableCase
from tests.gateway_case import answer, start_events
from tests.gateway_fakes import MODEL, make_config, make_server
from tests.scripted_backend import ScriptedBackend
from tests.test_server_faults import stream_route

END_OF_CHUNKS = b'0\r\n\r\n'
# Half of it is more than callers wait for an event, and less than the deadline.
LONG_SERVICE_MS = 6000.0
PAUSE_S = 0.05
UNAVAILABLE = '503 Service Unavailable'


def end_stream(exchange):
    """Send the last event of a stream, and its end."""
    start_events(exchange)
    exchange.event('2', 'b')
    exchange.write(END_OF_CHUNKS)


def begin_and_break(exchange):
    """Send the first event of a stream, and break it off."""
    start_events(exchange)
    exchange.event('1', 'a')
    return False


def begin_and_break_beside_unreachable(entry, exchange):
    """Begin a stream, and break it off as all other servers refuse connections."""
    for number in range(SERVER_COUNT):
        entry.add_unreachable(f'{MODEL}-{number}', MODEL)
    return begin_and_break(exchange)


def use_long_route(registry):
    """Let streams last for some seconds."""
    registry.put_config(make_config(2, routes=(stream_route(max_gap_ms=10),)), 2)


class TestBegunStream(DelegationCase):
    """A stream that has begun is not cut as long as a peer may go on with it."""

    def setUp(self):
        UnreachableCase.setUp(self)
        self.sequence = 0
        self.is_path_lost = Event()
        use_long_route(self.registry)

    def begin(self, exchange):
        """Begin a stream, and break it off once the path is lost."""
        start_events(exchange)
        exchange.event('1', 'a')
        self.is_path_lost.wait()
        return False

    def begin_stream(self):
        """Return the connection of a caller whose stream has lost its path."""
        own = self.add_backend(self.begin, service_id=MODEL)
        connection = self.send('/review/1', 'Connection: close')
        self.receive(connection, b'data: a')
        own.stop()
        for number in range(SERVER_COUNT):
            server = make_server(f'{MODEL}-{number}', service_id=MODEL)
            self.fleet.paths.on_failure(server)
        self.assertTrue(self.fleet.paths.is_lost(MODEL))
        self.is_path_lost.set()
        return connection

    def check_whole(self, connection):
        """Check that the rest of a stream follows."""
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))

    def test_full_peer(self):
        """Guards against a stream cut as the peer expects no slot in time."""
        peer = self.add_peer()
        use_long_route(peer.registry)
        peer.add_backend(end_stream, service_id=MODEL, server_id='full')
        queue = peer.fleet.queue(MODEL)
        load = queue.load_by_id['full']
        load.add_peer_load(load.server.slots, 0)
        queue.estimate.service_time_ms = LONG_SERVICE_MS
        connection = self.begin_stream()
        self.wait_for(lambda: queue.waiters)
        load.add_peer_load(-load.server.slots, 0)
        queue.assign()
        self.check_whole(connection)

    def test_refused_by_peer(self):
        """Guards against a stream cut as a peer of the build before refuses it."""
        refusal = f'{FAILURE.decode()}: no place in time\r\n'
        peer = ScriptedBackend(
            partial(answer, status=UNAVAILABLE, extra=refusal), end_stream
        )
        self.addCleanup(peer.stop)
        self.hear(peer)
        self.check_whole(self.begin_stream())
        self.assertEqual(len(peer.heads), 2)

    def test_no_peer_yet(self):
        """Guards against a stream cut before any peer offers to go on with it."""
        connection = self.begin_stream()
        loads = self.fleet.queue(MODEL).load_by_id.values()
        self.wait_for(lambda: not any(load.own_requests for load in loads))
        sleep(PAUSE_S)
        peer = self.add_peer()
        use_long_route(peer.registry)
        peer.add_backend(end_stream, service_id=MODEL)
        self.check_whole(connection)

    def test_caller_leaves(self):
        """Guards against a wait for a peer that goes on without its caller."""
        connection = self.begin_stream()
        connection.close()
        self.wait_for(lambda: not self.gateway.in_flight)


class TestStreamOfPeer(DelegationCase):
    """A peer goes on with a stream that it has begun for another entry."""

    def test_lost_path(self):
        """Guards against a stream given back, and an attempt lost, for a moment."""
        peer = self.add_peer()
        peer.add_backend(begin_and_break, end_stream, service_id=MODEL)
        self.check_once(peer)

    @patch.object(service_paths, 'MIN_FAILED_SERVERS', SERVER_COUNT + 2)
    def test_unreached_servers(self):
        """Guards against a stream given back as two servers refuse connections."""
        peer = self.add_peer()
        begin = partial(begin_and_break_beside_unreachable, peer)
        peer.add_backend(begin, end_stream, service_id=MODEL)
        spare = peer.add_backend(answer, service_id=MODEL, server_id='leaving')
        notices = HeardNotices(is_leaving=True)
        peer.fleet.queue(MODEL).load_by_id['leaving'].use_notices(notices)
        self.check_once(peer)
        self.assertFalse(peer.fleet.paths.is_lost(MODEL))
        self.assertFalse(spare.heads)

    def check_once(self, peer):
        """Check that a stream is whole, and was passed to the peer once."""
        for entry in (self, peer):
            use_long_route(entry.registry)
        response = self.receive(self.send('/review/1'), END_OF_CHUNKS)
        self.assertIn(b'data: b', response)
        self.assertEqual(len(peer.sockets), 1)
