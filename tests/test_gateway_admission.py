"""Test which requests the gateway accepts."""

from marjoramfall.gateway.model import Team
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import MODEL, make_config, make_route


class TestAdmission(GatewayCase):
    """Requests that the configuration does not allow are rejected."""

    def test_no_route(self):
        """Guards against forwarding a request whose path matches no route."""
        self.assertIn(b'404 Not Found', self.ask('/nothing/'))

    def test_unknown_key(self):
        """Guards against serving a request whose key belongs to no team."""
        self.assertIn(b'401 Unauthorized', self.ask('/read/1', key='wrong'))
        self.assertIn(b'401 Unauthorized', self.ask('/read/1', key=''))

    def test_not_configured(self):
        """Guards against a final error before the first configuration arrives."""
        self.registry.config = None
        response = self.ask('/read/1')
        self.assertIn(b'503 Service Unavailable', response)
        self.assertIn(b'retry-after', response)

    def test_team_limit(self):
        """Guards against a team that exceeds its limit."""
        team = Team('kvali', None, 1, 300, counts_tokens=True, plain_tokens=200)
        self.registry.put_config(make_config(2, team=team), 2)
        self.add_backend(answer)
        statuses = [self.ask('/read/1').split()[1] for _ in range(4)]
        self.assertEqual(statuses, [b'200', b'200', b'429', b'429'])

    def test_request_smuggling(self):
        """Guards against request smuggling behind ambiguous framing."""
        backend = self.add_backend(answer)
        connection = self.connect()
        connection.sendall(
            b'POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /read/2 HTTP/1.1\r\nHost: a.example\r\n\r\n'
        )
        response = self.receive_all(connection)
        self.assertEqual(response.count(b'HTTP/1.1'), 1)
        self.assertIn(b'400 Bad Request', response)
        self.assertFalse(backend.heads)

    def test_length_hint(self):
        """Guards against an internal fault for a hint that is no finite number."""
        self.add_backend(answer)
        for hint in ('nan', 'inf', '-inf'):
            usage = 'Marjoramfall-Token-Usage: 10,20'
            response = self.ask('/read/1', usage, f'Marjoramfall-Length-Hint: {hint}')
            self.assertIn(b'200 OK', response)

    def test_token_count(self):
        """Guards against a count that ends the greenlets which estimate waits."""
        self.add_backend(answer, service_id=MODEL)
        usage = f'Marjoramfall-Token-Usage: {10**400},20'
        response = self.receive(self.send('/review/1', usage), b'\r\n0\r\n\r\n')
        self.assertIn(b'200 OK', response)

    def test_forwarded_headers(self):
        """Guards against a forged team or the caller's key reaching the server.

        The server gets its own id and the caller's other headers as well.
        """
        backend = self.add_backend(answer)
        self.ask('/read/1', 'Marjoramfall-Tenant: other', 'X-Own: 1')
        head = backend.heads[0].lower()
        self.assertIn(b'marjoramfall-tenant: kvali\r\n', head)
        self.assertNotIn(b'other', head)
        self.assertNotIn(b'key-1', head)
        self.assertIn(b'marjoramfall-expect-instance: i-', head)
        self.assertIn(b'x-own: 1', head)


class TestStopping(GatewayCase):
    """A stopping process accepts only requests that it can finish."""

    def setUp(self):
        super().setUp()
        self.backend = self.add_backend(answer)
        self.gateway.stopping = True
        self.gateway.set_latest_deadline(self.clock.monotonic_ms() + 30_000)

    def ask_within(self, caller_timeout_ms):
        """Send a request whose caller waits for the given time."""
        long_route = make_route('read', timeout_ms=60_000)
        self.registry.put_config(make_config(2, routes=(long_route,)), 2)
        return self.ask('/read/1', f'Marjoramfall-Deadline-Ms: {caller_timeout_ms}')

    def test_too_long(self):
        """Guards against accepting a request that the end of the process cuts."""
        response = self.ask_within(40_000)
        self.assertIn(b'503 Service Unavailable', response)
        self.assertIn(b'connection: close', response)
        self.assertIn(b'retry-after', response)
        self.assertFalse(self.backend.heads)

    def test_short(self):
        """Guards against rejecting a request that can be finished in time."""
        self.assertIn(b'200 OK', self.ask_within(10_000))
