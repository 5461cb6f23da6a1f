"""Test requests that look for another place after their server has failed.

They have run, or their callers have the beginning of their streams: only time or
attempts end them, not an estimate nor a server that failed them earlier.
"""

from gevent import socket

from tests.delegation_case import DelegationCase, UnreachableCase
from tests.gateway_case import TIMEOUT_S, answer
from tests.gateway_fakes import PLAIN

LONG_SERVICE_MS = 6000.0


def break_off(_exchange):
    """End the connection without a response."""
    return False


class FullServer:
    """Take all slots of a server, for long by the estimate, and free them."""

    def __init__(self, entry, server_id):
        self._queue = entry.fleet.queue(PLAIN)
        self._queue._service_time_ms = LONG_SERVICE_MS
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
        host, _, port = peer.address.rpartition(':')
        connection = self.send(
            '/read/1',
            f'X-Delegated-Service: {PLAIN}',
            'X-Delegated-Runs: 1',
            connection=socket.create_connection((host, int(port)), timeout=TIMEOUT_S),
        )
        self.addCleanup(connection.close)
        self.wait_for(lambda: peer.fleet.queue(PLAIN).waiters)
        full.free()
        self.assertIn(b'200 OK', self.receive(connection))
