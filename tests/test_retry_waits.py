"""Test requests that wait for the retry budget of their service."""

from functools import partial
from unittest.mock import patch

from gevent import sleep

from marjoramfall.gateway.servers.retry_budget import RetryBounds
from tests.gateway_case import GatewayCase, answer, start_events
from tests.gateway_fakes import MODEL
from tests.test_begun_streams import END_OF_CHUNKS, end_stream, use_long_route

SPENT = RetryBounds(share=0, slack=0, window_ms=10_000)
ROOM = RetryBounds(share=0, slack=50, window_ms=10_000)
PAUSE_S = 0.1


def begin_and_break(exchange):
    """Break a stream off after its first event."""
    start_events(exchange)
    exchange.event('1', 'a')
    return False


def break_off(_exchange):
    """Send nothing and break the connection off."""
    return False


class TestRetryWait(GatewayCase):
    """A request that the budget refuses waits for it while there is time."""

    def setUp(self):
        super().setUp()
        use_long_route(self.registry)
        self.retry_budgets.replace_bounds(SPENT)

    def send_first(self, script):
        """Send a stream to a server of this script, and add a sound one then."""
        first = self.add_backend(script, service_id=MODEL, server_id='first')
        connection = self.send('/review/1', 'Connection: close')
        self.wait_for(lambda: first.heads)
        self.second = self.add_backend(end_stream, service_id=MODEL)
        sleep(PAUSE_S)
        self.assertEqual(self.gateway.in_flight, 1, 'the request has ended')
        return connection

    def check_waits(self, connection):
        """Check that a request goes on once the budget has room."""
        self.assertEqual(len(self.second.heads), 0)
        self.retry_budgets.replace_bounds(ROOM)
        self.assertIn(b'data: b', self.receive(connection, END_OF_CHUNKS))
        self.assertEqual(len(self.second.heads), 1)

    def test_begun(self):
        """Guards against a begun stream cut as the budget is spent for a moment."""
        connection = self.send_first(begin_and_break)
        self.receive(connection, b'data: a')
        self.check_waits(connection)

    def test_not_begun(self):
        """Guards against a 502 though the request may run again and has time."""
        self.check_waits(self.send_first(break_off))

    def test_error_passed_on(self):
        """Guards against a wait where the server's own error answers the caller."""
        failure = partial(answer, status='500 Internal Server Error')
        for _ in range(2):
            self.add_backend(failure, service_id=MODEL)
        with patch.object(self.fleet.retries, 'waiting') as waiting:
            self.assertIn(b' 500 ', self.ask('/review/1'))
        waiting.assert_not_called()

    def test_caller_leaves(self):
        """Guards against a wait for the budget that goes on without its caller."""
        connection = self.send_first(begin_and_break)
        self.receive(connection, b'data: a')
        self.assertEqual(self.retry_budgets.find(MODEL).waiting, 1)
        connection.close()
        self.wait_for(lambda: not self.gateway.in_flight)
        self.assertEqual(self.retry_budgets.find(MODEL).waiting, 0)
        self.assertEqual(len(self.second.heads), 0)
