"""Test HEAD requests, whose responses have a length but no body."""

from tests.gateway_case import GatewayCase, answer, read_attempt

LENGTH = 7


def announce(exchange):
    """Answer a HEAD request with the length of the body it leaves out."""
    exchange.write(
        b'HTTP/1.1 200 OK\r\n'
        + f'Marjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n'.encode()
        + f'Content-Length: {LENGTH}\r\n\r\n'.encode()
    )


class TestHeadRequests(GatewayCase):
    """A response to HEAD ends with its head."""

    def test_plain(self):
        """Guards against waiting for a body that never comes."""
        self.add_backend(announce)
        received = self.ask_head('/read/1')
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'))
        self.assertIn(f'content-length: {LENGTH}'.encode(), head.lower())
        self.assertEqual(body, b'')

    def test_next_request(self):
        """Guards against the next response being read as the missing body."""
        self.add_backend(announce, answer)
        self.ask_head('/read/1')
        self.assertTrue(self.ask('/read/1').endswith(b'ok'))

    def test_gateway_error(self):
        """Guards against a body in the gateway's own error response to HEAD."""
        received = self.ask_head('/nowhere/')
        self.assertTrue(received.startswith(b'HTTP/1.1 404'))
        self.assertTrue(received.endswith(b'\r\n\r\n'))

    def ask_head(self, path):
        """Send a HEAD request and return everything received."""
        connection = self.send(path, 'Connection: close', method='HEAD')
        return self.receive_all(connection)
