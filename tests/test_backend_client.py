"""Test the client for backend servers against scripted bytes."""

import unittest

from gevent import sleep

from marjoramfall.clock import PausedClock
from marjoramfall.connection import http_connection
from marjoramfall.connection.answer import (
    ForeignEventError,
    IncompleteAnswerError,
    MalformedEventError,
)
from marjoramfall.connection.backend_client import (
    RESUME_DELAYS_MS,
    BackendClient,
    BackendRequest,
)
from marjoramfall.connection.backend_errors import (
    BackendConnectionBrokenError,
    BackendLeavingError,
    BackendNotReachedError,
    BackendTimeoutError,
    DispatchNotPermittedError,
    MalformedResponseError,
)
from marjoramfall.connection.connection_pool import MAX_IDLE_MS, ConnectionPool
from marjoramfall.connection.event_stream import MAX_EVENT_BYTES
from marjoramfall.errors import RunState
from tests.scripted_backend import ScriptedBackend

REQUEST = BackendRequest(request_id='e-1', method='POST', path='/v1/completions')
ONCE = BackendRequest(request_id='e-1', method='POST', path='/book', once=True)


def respond_ok(exchange):
    """Answer with a short whole response."""
    exchange.respond(b'ok')


def respond_and_close(exchange):
    """Close the connection a little after the response."""
    exchange.respond(b'ok')
    sleep(0.005)
    return False


def cut_after_first(exchange):
    """Send one token and break the connection."""
    exchange.start_stream()
    exchange.event('e-1:0', 'a')
    return False


def resume_second(exchange):
    """Repeat the first token and go on."""
    exchange.start_stream()
    exchange.event('e-1:0', 'a')
    exchange.event('e-1:1', 'b')
    exchange.end_stream('e-1', 2)


def send_foreign(exchange):
    """Send an event of another request."""
    exchange.start_stream()
    exchange.event('e-2:0', 'x')


def send_gap(exchange):
    """Leave out the second event."""
    exchange.start_stream()
    exchange.event('e-1:0', 'a')
    exchange.event('e-1:2', 'c')


def send_after_end(exchange):
    """Send an event after the terminal one."""
    exchange.start_stream()
    exchange.event('e-1:0', '[DONE]')
    exchange.event('e-1:1', 'b')


def send_huge(exchange):
    """Send an event above the limit."""
    exchange.start_stream()
    exchange.event('e-1:0', 'x' * (MAX_EVENT_BYTES + 1))


def send_nameless(exchange):
    """Send an event without an id."""
    exchange.start_stream()
    exchange.event('', 'a')


def raw(text, *, then_close=True):
    """Return a script that sends fixed bytes."""

    def script(exchange):  # noqa: WPS430 - the bytes differ per test
        exchange.write(text)
        return not then_close

    return script


class BackendCase(unittest.TestCase):
    """Connect a client to a scripted backend."""

    def start(self, *scripts, read_timeout_ms=5000):
        self.clock = PausedClock()
        self.backend = ScriptedBackend(*scripts)
        self.addCleanup(self.backend.stop)
        self.address = self.backend.address
        pool = ConnectionPool(self.clock, read_timeout_ms=read_timeout_ms)
        self.client = BackendClient(pool, clock=self.clock)

    def send(self, request=REQUEST):
        return self.client.send(self.address, request)

    def failure(self, kind, request=REQUEST):
        with self.assertRaises(kind) as caught:
            self.send(request)
        return caught.exception.actual_run_state

    def texts(self):
        events = self.client.stream(self.address, REQUEST)
        return [event.data for event in events]


class ConnectionReuseTest(BackendCase):
    """Reuse only connections that are certainly sound."""

    def test_reuse(self):
        """Guard against a new connection per request."""
        self.start(respond_ok)
        self.assertEqual({self.send().body for _ in range(3)}, {b'ok'})
        self.assertEqual(self.backend.connections, 1)

    def test_once_is_fresh(self):
        """Guard against a booking sent on a connection that is just closing."""
        self.start(respond_ok)
        self.send()
        self.send(ONCE)
        self.assertEqual(self.backend.connections, 2)

    def test_closed_while_idle(self):
        """Guard against a request sent on a connection the server has closed."""
        self.start(respond_and_close, respond_ok)
        self.send()
        sleep(0.02)
        self.assertEqual(self.send().body, b'ok')

    def test_announced_close(self):
        """Guard against reusing a connection that its server gave up."""
        head = 'Connection: close\r\n'
        self.start(lambda exchange: exchange.respond(b'', head=head))
        self.send()
        self.send()
        self.assertEqual(self.backend.connections, 2)

    def test_long_idle(self):
        """Guard against a connection kept longer than servers keep theirs."""
        self.start(respond_ok)
        self.send()
        self.clock.advance_ms(MAX_IDLE_MS + 1)
        self.send()
        self.assertEqual(self.backend.connections, 2)

    def test_cancelled_stream(self):
        """Guard against late events of a cancelled stream in a next response."""
        self.start(send_gap, respond_ok)
        events = self.client.stream(self.address, REQUEST)
        next(events)
        events.close()
        self.client.wait_for_cancels()
        self.assertTrue(self.backend.heads[-1].startswith(b'DELETE /v1/streams/e-1 '))
        self.assertEqual(self.backend.connections, 2)


class BackendFailureTest(BackendCase):
    """Report each failure with the true run state."""

    def test_not_reached(self):
        """Guard against a refused connection that is reported as unknown."""
        self.start(respond_ok)
        self.backend.stop()
        self.assertIs(self.failure(BackendNotReachedError), RunState.NOT_RUN)

    def test_not_permitted(self):
        """Guard against a dispatch after the grant lapsed during the connect."""
        self.start(respond_ok)
        late = BackendRequest(
            request_id='e-1', method='POST', path='/', is_permitted=bool
        )
        self.assertIs(self.failure(DispatchNotPermittedError, late), RunState.NOT_RUN)
        self.assertEqual(self.backend.heads, [])

    def test_broken(self):
        """Guard against a silent second dispatch after a broken connection."""
        self.start(respond_ok, raw(b''), respond_ok)
        self.send()
        state = self.failure(BackendConnectionBrokenError)
        self.assertIs(state, RunState.UNKNOWN)
        self.assertEqual(len(self.backend.heads), 2)

    def test_leaving(self):
        """Guard against a leaving server that is taken for a failed one."""
        head = 'X-Leaving: 1\r\nConnection: close\r\n'
        self.start(lambda exchange: exchange.respond(b'', '503 Busy', head))
        self.assertIs(self.failure(BackendLeavingError), RunState.NOT_RUN)

    def test_silent(self):
        """Guard against a request that waits for ever for a silent server."""
        self.start(raw(b'', then_close=False), read_timeout_ms=20)
        self.assertIs(self.failure(BackendTimeoutError), RunState.UNKNOWN)

    def test_malformed(self):
        """Guard against garbage, half and surplus responses taken as whole."""
        start = b'HTTP/1.1 200 OK\r\n'
        whole = b'%sContent-Length: 2\r\n\r\nok' % start
        endless = b'X-Filler: %s\r\n' % (b'x' * http_connection.MAX_HEAD_BYTES)
        cases = (
            (b'\x00garbage\r\n\r\n', MalformedResponseError),
            (whole.replace(b'200', b'000'), MalformedResponseError),
            (whole.replace(b'200', b'999'), MalformedResponseError),
            (whole[:-1], BackendConnectionBrokenError),
            (b'HTTP/1.1 100 Continue\r\n\r\n', BackendConnectionBrokenError),
            (b'%ssurplus' % whole, MalformedResponseError),
            (whole + whole, MalformedResponseError),
            (start + endless * 2, MalformedResponseError),
            (b'%s\r\nuntil closed' % start, IncompleteAnswerError),
            (
                whole.replace(b'\r\n', b'\r\nX-Request-Id: e-2\r\n', 1),
                ForeignEventError,
            ),
        )
        for text, kind in cases:
            with self.subTest(text=text[:60]):
                self.start(raw(text))
                self.assertIs(self.failure(kind), RunState.UNKNOWN)


class StreamResumeTest(BackendCase):
    """Deliver each event once, in order and only the caller's own."""

    def test_resume(self):
        """Guard against a token that is missing or repeated after a break."""
        self.start(cut_after_first, resume_second)
        self.assertEqual(self.texts(), [b'a', b'b', b'[DONE]'])
        self.assertIn(b'Last-Event-ID: e-1:0', self.backend.heads[1])

    def test_gap(self):
        """Guard against a response with a hole."""
        self.start(send_gap, resume_second)
        self.assertEqual(self.texts(), [b'a', b'b', b'[DONE]'])

    def test_foreign_event(self):
        """Guard against tokens of another caller's response."""
        self.start(send_foreign)
        with self.assertRaises(ForeignEventError):
            self.texts()

    def test_bounded_resumes(self):
        """Guard against resuming for ever, and a false state when it fails."""
        self.start(cut_after_first, raw(b''))
        with self.assertRaises(BackendConnectionBrokenError) as caught:
            self.texts()
        self.assertIs(caught.exception.actual_run_state, RunState.UNKNOWN)
        self.assertEqual(self.backend.count('GET'), len(RESUME_DELAYS_MS))
        self.assertEqual(self.clock.monotonic_ms(), sum(RESUME_DELAYS_MS))

    def test_refused_resume(self):
        """Guard against `not run` for a stream whose server died half way."""
        self.start(cut_after_first)
        events = self.client.stream(self.address, REQUEST)
        next(events)
        self.backend.stop()
        with self.assertRaises(BackendConnectionBrokenError):
            list(events)

    def test_surplus_event(self):
        """Guard against text after the end that is passed to the caller."""
        self.start(send_after_end)
        with self.assertRaises(MalformedResponseError):
            self.texts()

    def test_endless_event(self):
        """Guard against an event that takes unbounded memory."""
        self.start(send_huge)
        with self.assertRaises(MalformedResponseError):
            self.texts()

    def test_event_without_id(self):
        """Guard against an event that cannot be put in order."""
        self.start(send_nameless)
        with self.assertRaises(MalformedEventError):
            self.texts()
