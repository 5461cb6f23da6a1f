"""Test grants, retries, keys and disconnected callers in the request executor."""

import unittest
from dataclasses import replace

from gevent import Timeout, sleep, spawn

from marjoramfall.clock import PausedClock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.connection.backend_errors import (
    BackendConnectionBrokenError,
    BackendNotReachedError,
    BackendStatusError,
)
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.errors import RunState
from marjoramfall.model import Configuration, Delivery
from marjoramfall.request.dispatch_attempt import CallerGoneError
from marjoramfall.request.grants import NoBackendServerError
from marjoramfall.request.key_claim import KeyRequiredError
from marjoramfall.request.request_executor import MAX_NOT_RUN_ATTEMPTS, RequestExecutor
from tests.request_fakes import (
    CONFIGURATION,
    FakeAllowance,
    FakeClaims,
    FakeGrants,
    parsed_request,
)
from tests.scripted_backend import ScriptedBackend


def respond_ok(exchange):
    """Respond with a complete body that has token counts."""
    exchange.respond(b'{"usage":{"prompt_tokens_details":{"cached_tokens":5}}}')


def fail(exchange):
    """Respond with status 500."""
    exchange.respond(b'', '500 Failed')


def refuse_as_leaving(exchange):
    """Refuse the request as a server that is shutting down does."""
    exchange.respond(b'', '503 Busy', 'X-Leaving: 1\r\nConnection: close\r\n')


def break_connection(exchange):
    """Close the connection after reading the request."""
    return False


def respond_late(exchange):
    """Respond after the caller has disconnected."""
    sleep(0.02)
    exchange.respond(b'late')


def stall_after_first_token(exchange):
    """Send one token of a stream and nothing more; accept its cancellation."""
    if exchange.head.startswith(b'POST'):
        exchange.start_stream()
        exchange.event('e-1:0', 'a')
    else:
        exchange.respond(b'')


class RequestExecutorTestCase(unittest.TestCase):
    """Connect a request executor to scripted backend servers."""

    def start(self, *script_lists, retries=1):
        self.backends = [ScriptedBackend(*scripts) for scripts in script_lists]
        for backend in self.backends:
            self.addCleanup(backend.stop)
        self.grants = FakeGrants(*(backend.address for backend in self.backends))
        self.claims = FakeClaims()
        self.configuration = CONFIGURATION
        self.clock = PausedClock()
        self.client = BackendClient(ConnectionPool(self.clock))
        self.executor = RequestExecutor(
            grants=self.grants,
            backend=self.client,
            configuration=lambda: self.configuration,
            clock=self.clock,
            retries=FakeAllowance(retries),
            claims=self.claims,
        )

    def dispatches(self):
        return [backend.count('POST') for backend in self.backends]

    def run_state_of_failure(self, service_id, error_class):
        with self.assertRaises(error_class) as caught:
            self.executor.send(parsed_request(service_id))
        return caught.exception.actual_run_state

    def dispatch_results(self):
        return [(done.succeeded, done.dispatched) for done in self.grants.finished]

    def disconnect_during(self, function, request, *, is_reached):
        """Disconnect the caller once `is_reached` returns true."""
        caller = spawn(self.assertRaises, CallerGoneError, function, request)
        with Timeout(5):
            while not is_reached():
                sleep(0.001)
            caller.kill(CallerGoneError('gone'))


class RetryTest(RequestExecutorTestCase):
    """Test which failed attempts are retried."""

    def test_retry_elsewhere(self):
        """Guards against a retry on the server that has just failed."""
        self.start([fail], [respond_ok])
        self.executor.send(parsed_request('lookups'))
        self.assertEqual(self.dispatches(), [1, 1])
        self.assertEqual(self.dispatch_results(), [(False, True), (True, True)])
        self.assertEqual(self.grants.finished[1].cached_tokens, 5)

    def test_exhausted_retry_allowance(self):
        """Guards against retries that multiply the load during an overload."""
        self.start([fail], [respond_ok], retries=0)
        self.assertIs(
            self.run_state_of_failure('lookups', BackendStatusError), RunState.UNKNOWN
        )
        self.assertEqual(self.dispatches(), [1, 0])

    def test_no_retry_of_dispatch_once(self):
        """Guards against retrying a dispatch-once request after a broken connection."""
        self.start([break_connection], [respond_ok])
        state = self.run_state_of_failure('bookings', BackendConnectionBrokenError)
        self.assertIs(state, RunState.UNKNOWN)
        self.assertEqual(self.dispatches(), [1, 0])
        self.assertEqual(self.claims.outcomes[0].run_state, RunState.UNKNOWN)

    def test_changed_delivery(self):
        """Guards against a retry after operators have changed the delivery.

        The request is retried only if the old and the new delivery are idempotent.
        """
        once, idempotent = (
            replace(CONFIGURATION.services_by_id['lookups'], delivery=delivery)
            for delivery in (Delivery.DISPATCH_ONCE, Delivery.IDEMPOTENT)
        )
        for sent, current in ((once, idempotent), (idempotent, once)):
            self.start([break_connection], [respond_ok])
            self.configuration = Configuration(services_by_id={'lookups': current})
            with self.assertRaises(BackendConnectionBrokenError):
                self.executor.send(parsed_request('lookups', service=sent))
            self.assertEqual(self.dispatches(), [1, 0])

    def test_dispatch_once_after_refusal(self):
        """Guards against failing a request that no server has run yet.

        One server is unreachable and the next one is shutting down.
        """
        self.start([respond_ok], [refuse_as_leaving], [respond_ok])
        self.backends[0].stop()
        self.executor.send(parsed_request('bookings'))
        self.assertEqual(self.dispatches(), [0, 1, 1])
        self.assertEqual(
            self.dispatch_results(), [(False, False), (False, False), (True, True)]
        )

    def test_refusal_after_run(self):
        """Guards against reporting `not run` if only the retry was refused.

        The connection breaks after the dispatch, and no server is left for the retry.
        """
        self.start([break_connection])
        state = self.run_state_of_failure('lookups', NoBackendServerError)
        self.assertIs(state, RunState.UNKNOWN)

    def test_lapsed_grant(self):
        """Guards against a dispatch under a grant that lapsed during a pause."""
        self.start([respond_ok])
        self.grants.confirms = iter((False, True))
        self.executor.send(parsed_request('bookings'))
        self.assertEqual(self.dispatches(), [1])
        self.assertEqual(self.dispatch_results(), [(False, False), (True, True)])

    def test_bounded_attempts(self):
        """Guards against endless grant requests while no server can be reached."""
        self.start(*([respond_ok] for _ in range(MAX_NOT_RUN_ATTEMPTS + 1)))
        for backend in self.backends:
            backend.stop()
        state = self.run_state_of_failure('bookings', BackendNotReachedError)
        self.assertIs(state, RunState.NOT_RUN)
        self.assertEqual(len(self.grants.grant_requests), MAX_NOT_RUN_ATTEMPTS)
        self.assertEqual(len(self.grants.finished), MAX_NOT_RUN_ATTEMPTS)
        self.assertEqual(self.claims.outcomes[0].run_state, RunState.NOT_RUN)


class DisconnectedCallerTest(RequestExecutorTestCase):
    """Test that grants and keys are released after the caller disconnects."""

    def test_disconnect_while_waiting(self):
        """Guards against keeping a grant request or a key after a disconnect."""
        self.start([respond_ok])
        self.grants.wait = lambda: sleep(60)
        request = parsed_request('deposits')
        self.disconnect_during(
            self.executor.send, request, is_reached=lambda: self.grants.grant_requests
        )
        sleep(0)
        self.assertEqual(len(self.grants.withdrawn), 1)
        self.assertEqual(self.claims.outcomes[0].run_state, RunState.NOT_RUN)
        self.assertEqual(self.dispatches(), [0])

    def test_dispatched_run_once_completes(self):
        """Guards against losing a run-once response because its caller disconnected."""
        self.start([respond_late])
        self.disconnect_during(
            self.executor.send,
            parsed_request('deposits'),
            is_reached=lambda: self.backends[0].heads,
        )
        self.assertTrue(self.executor.drain(5000))
        outcome = self.claims.outcomes[0]
        self.assertEqual((outcome.body, outcome.recorded), (b'late', True))
        self.assertEqual(self.dispatch_results(), [(True, True)])

    def test_unread_stream(self):
        """Guards against a stream that keeps its grant although it is never read."""
        self.start([stall_after_first_token])
        stream = self.executor.stream(parsed_request('summaries'))
        stream.close()
        stream.close()
        self.client.wait_for_cancels()
        sleep(0)
        self.assertEqual(self.backends[0].count('DELETE'), 1)
        self.assertEqual(self.dispatch_results(), [(True, True)])
        self.assertEqual(self.claims.outcomes[0].run_state, RunState.UNKNOWN)

    def test_disconnect_after_deadline(self):
        """Guards against a version that hangs and is not counted as failed.

        Its callers time out, so a disconnect after the deadline counts as a failure.
        """
        self.start([stall_after_first_token])
        stream = self.executor.stream(parsed_request('reviews'))
        self.clock.advance_ms(20_000)
        stream.close()
        self.assertEqual(self.dispatch_results(), [(False, True)])

    def test_key_required(self):
        """Guards against a dispatch-once request without an idempotency key."""
        self.start([respond_ok])
        with self.assertRaises(KeyRequiredError):
            self.executor.send(parsed_request('bookings', idempotency_key=None))
        self.assertEqual(self.grants.grant_requests, [])
