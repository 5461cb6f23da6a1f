"""Test what a change of the configuration means for connections that are kept."""

from dataclasses import replace

from gevent import sleep

from marjoramfall.gateway.model import CallerLimits
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import make_config

SMALL = CallerLimits(max_header_bytes=1024, max_body_bytes=1000)
LARGE = CallerLimits(max_header_bytes=4096, max_body_bytes=4000)
BODY = bytes(2000)
PAUSE_S = 0.05
REQUEST_LINE = b'GET /read/1 HTTP/1.1\r\n'
LONG_HEAD = REQUEST_LINE + b'X-Long: ' + b'x' * 2000 + b'\r\n'
LAST_HEADERS = (
    b'Host: a.example\r\nAuthorization: Bearer key-1\r\n'
    b'Marjoramfall-Attempt-Id: a-1\r\n'
)


class TestChangedLimits(GatewayCase):
    """Requests are read under the limits of the newest configuration."""

    def setUp(self):
        super().setUp()
        self.add_backend(answer, answer)

    def use_limits(self, version, limits):
        """Apply a configuration with other limits."""
        config = replace(make_config(version), limits=limits)
        self.registry.put_config(config, version)

    def kept_connection(self, first, second):
        """Return a connection that was used before the limits changed."""
        self.use_limits(2, first)
        connection = self.send('/read/1')
        self.assertIn(b' 200 ', self.receive(connection))
        self.use_limits(3, second)
        return connection

    def status_of_body(self, first, second):
        """Return the status of a request with a body after a change."""
        connection = self.kept_connection(first, second)
        return self.status(self.send('/read/1', body=BODY, connection=connection))

    def status_of_head(self, first, second):
        """Return the status of a request with a long head after a change."""
        connection = self.kept_connection(first, second)
        connection.sendall(LONG_HEAD)
        # A head that arrives at once is not measured.
        sleep(PAUSE_S)
        connection.sendall(LAST_HEADERS + b'\r\n')
        return self.status(connection)

    def status(self, connection):
        """Return the status of the next response."""
        return self.receive(connection).split(b' ', 2)[1]

    def test_raised_body(self):
        """Guards against a 413 for a body that the configuration allows."""
        self.assertEqual(self.status_of_body(SMALL, LARGE), b'200')

    def test_lowered_body(self):
        """Guards against a body over the limit on a kept connection."""
        self.assertEqual(self.status_of_body(LARGE, SMALL), b'413')

    def test_raised_header(self):
        """Guards against a 431 for a head that the configuration allows."""
        self.assertEqual(self.status_of_head(SMALL, LARGE), b'200')

    def test_lowered_header(self):
        """Guards against a head over the limit on a kept connection."""
        self.assertEqual(self.status_of_head(LARGE, SMALL), b'431')

    def test_change_within_head(self):
        """Guards against limits of the time at which a head began to arrive."""
        self.use_limits(2, SMALL)
        connection = self.connect()
        connection.sendall(REQUEST_LINE)
        sleep(PAUSE_S)
        self.use_limits(3, LARGE)
        connection.sendall(LAST_HEADERS + b'Content-Length: 2000\r\n\r\n' + BODY)
        self.assertIn(b' 200 ', self.receive(connection))

    def test_change_within_body(self):
        """Guards against refusing a body that was allowed as its head arrived."""
        self.use_limits(2, LARGE)
        connection = self.send('/read/1', 'Content-Length: 2000')
        connection.sendall(BODY[:1500])
        sleep(PAUSE_S)
        self.use_limits(3, SMALL)
        connection.sendall(BODY[1500:])
        self.assertIn(b' 200 ', self.receive(connection))
