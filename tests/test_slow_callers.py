"""Test that callers which read slowly get their whole answers.

The pattern is review/8: a caller reads an answer of 200 kB for several seconds, with
its window closed most of the time.
"""

from functools import partial

from gevent import sleep, socket

from tests.gateway_case import TIMEOUT_S, GatewayCase, answer

BODY = b'b' * 240_000
WINDOW_BYTES = 4096
# Longer than the user timeout of connections to servers.
PAUSE_S = 4.0


class TestSlowCaller(GatewayCase):
    """A caller that pauses within an answer still gets the rest of it."""

    def connect(self, listener=None):
        """Return a connection with a small window."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        connection.settimeout(TIMEOUT_S)
        connection.connect(('127.0.0.1', self.listener.server_port))
        self.addCleanup(connection.close)
        return connection

    def serve(self, connection, address):
        """Serve a connection whose buffer is small as well."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
        super().serve(connection, address)

    def test_pause(self):
        """Guards against a caller that is cut off as its window stays closed."""
        self.add_backend(partial(answer, body=BODY))
        connection = self.send('/post/1', method='POST', body=b'x')
        self.assertTrue(connection.recv(1))
        sleep(PAUSE_S)
        response = self.receive(connection)
        self.assertTrue(response.endswith(BODY[:100]), len(response))
        self.assertGreater(len(response), len(BODY))
