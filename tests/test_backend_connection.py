"""Test what a connection to a backend server tells of the path to it."""

import unittest
from socket import (
    IPPROTO_TCP,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

from gevent import event, socket
from gevent.server import StreamServer

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    ServerTimeoutError,
)
from marjoramfall.gateway.servers.socket_state import configure_socket

TIMEOUT_MS = 100
REQUEST = b'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n'
# More than the buffers of a connection hold.
HUGE_BODY_BYTES = 16_000_000


class TestTimeout(unittest.TestCase):
    """A time-out tells whether the server had the request."""

    def setUp(self):
        self.released = event.Event()
        self.addCleanup(self.released.set)
        server = StreamServer(('127.0.0.1', 0), self.serve)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        address = f'127.0.0.1:{server.server_port}'
        self.connection = BackendConnection(address, connect_timeout_ms=1000)
        self.addCleanup(self.connection.close)

    def serve(self, _connection, _address):
        """Read nothing, so that only what fits into buffers is acknowledged."""
        self.released.wait()

    def time_out(self, body):
        """Return the error after a request without an answer."""
        self.connection.send(REQUEST % len(body) + body)
        with self.assertRaises(ServerTimeoutError) as raised:
            self.connection.read_response(TIMEOUT_MS)
        return raised.exception

    def test_received(self):
        """Guards against taking a server that is slow for one behind a partition."""
        self.assertTrue(self.time_out(b'').was_received)

    def test_not_received(self):
        """Guards against blaming a server for a request that has not arrived."""
        error = self.time_out(bytes(HUGE_BODY_BYTES))
        self.assertFalse(error.was_received)


class TestDeadPeerDetection(unittest.TestCase):
    """A dead peer is noticed by several probes, not by a single one."""

    def test_user_timeout(self):
        """Guards against connections that end while a sound server is silent.

        A user timeout also decides when keep-alive probes give up.
        """
        with socket.socket() as connection:
            configure_socket(connection)
            probing_s = connection.getsockopt(IPPROTO_TCP, TCP_KEEPIDLE)
            probes = connection.getsockopt(IPPROTO_TCP, TCP_KEEPCNT)
            interval_s = connection.getsockopt(IPPROTO_TCP, TCP_KEEPINTVL)
            user_timeout_ms = connection.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT)
        self.assertGreaterEqual(
            user_timeout_ms, MS_PER_SECOND * (probing_s + probes * interval_s)
        )
