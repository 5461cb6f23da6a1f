"""Test how the gateway serves requests while backend servers fail."""

from unittest.mock import patch

from gevent import sleep

from marjoramfall.gateway.forwarder import Forwarder
from tests.gateway_case import GatewayCase, answer, read_attempt, start_events
from tests.gateway_fakes import MODEL, make_config, make_route

ACQUIRE = Forwarder._acquire
LATE_S = 0.02
NOT_RUN = 'Marjoramfall-Not-Executed: 1\r\n'


def reject_without_run(exchange):
    """Reject the request without running it."""
    answer(exchange, b'full', '503 Service Unavailable', extra=NOT_RUN)


def fail(exchange):
    """Fail after the request has run."""
    answer(exchange, b'bad', '500 Internal Server Error')


def close(exchange):
    """Break the connection without a response."""
    return False


def answer_misdirected(exchange):
    """Answer as another server that took over the address."""
    answer(exchange, b'', '421 Misdirected Request', attempt='')


def truncate_body(exchange):
    """Break the connection in the middle of the body."""
    head = f'Marjoramfall-Attempt-Id: {read_attempt(exchange)}\r\nContent-Length: 9'
    exchange.write(f'HTTP/1.1 200 OK\r\n{head}\r\n\r\nabc'.encode())
    return False


def stream_two(exchange):
    """Send a stream of two events."""
    start_events(exchange)
    exchange.event('1', 'a')
    exchange.event('2', 'b')
    exchange.write(b'0\r\n\r\n')


def stream_truncated(exchange):
    """Break a stream in the middle of its second event."""
    start_events(exchange)
    exchange.event('1', 'a')
    exchange.write(b'5\r\nid: 2')
    return False


def stream_resumed(exchange):
    """Resume a stream after its first event."""
    start_events(exchange)
    exchange.event('2', 'b')
    exchange.write(b'0\r\n\r\n')


def stall(exchange):
    """Begin a stream and send nothing more."""
    start_events(exchange)
    exchange.event('1', 'a')
    exchange.sock.recv(1)
    return False


def never_answer(exchange):
    """Answer nothing until the connection ends."""
    exchange.sock.recv(1)
    return False


def respond_twice(exchange):
    """Send a late response to an earlier request first."""
    answer(exchange, b'late', attempt='a-0')
    answer(exchange, b'mine')


def respond_wrong(exchange):
    """Send only a response to an earlier request."""
    answer(exchange, b'late', attempt='a-0')
    return False


def respond_surplus(exchange):
    """Send a second response to the same request."""
    answer(exchange, b'mine')
    sleep(LATE_S)
    answer(exchange, b'more')


def acquire_late(forwarder, call):
    """Assign a call to a server, then let its deadline pass as a pause would."""
    assignment = ACQUIRE(forwarder, call)
    call.deadline_ms = 0
    return assignment


class TestAtMostOnce(GatewayCase):
    """A request that must not run twice is repeated only if it did not run."""

    def post(self):
        """Send a POST request and return the response."""
        return self.ask('/post/1', 'Content-Length: 0', method='POST')

    def test_broken(self):
        """Guards against a second run, and a 503 for a request that may have run.

        The connection breaks after the request was sent.
        """
        backend = self.add_backend(close)
        other = self.add_backend(close)
        self.assertIn(b'502 Bad Gateway', self.post())
        self.assertEqual(len(backend.heads) + len(other.heads), 1)

    def test_truncated_body(self):
        """Guards against a truncated response that looks complete."""
        self.add_backend(truncate_body)
        self.assertIn(b'502 Bad Gateway', self.post())

    def test_failure_passed_on(self):
        """Guards against replacing the server's own error response."""
        self.add_backend(fail)
        response = self.post()
        self.assertIn(b'500 Internal Server Error', response)
        self.assertTrue(response.endswith(b'bad'))

    def test_not_run_retried(self):
        """Guards against failing a request that only one of the servers rejects.

        The server did not run it, so another one may.
        """
        full = self.add_backend(reject_without_run)
        self.add_backend(answer)
        for _ in range(3):
            self.assertIn(b'200 OK', self.post())
        self.assertLessEqual(len(full.heads), 3)

    def test_all_full(self):
        """Guards against another error than 503 if no server ran the request."""
        self.add_backend(reject_without_run)
        response = self.post()
        self.assertIn(b'503', response.split(b'\r\n')[0])

    def test_response_of_another(self):
        """Guards against delivering the late response to an earlier request.

        It arrives on the connection before the response to this request.
        """

        self.add_backend(respond_twice)
        self.assertTrue(self.post().endswith(b'mine'))

    def test_only_response_of_another(self):
        """Guards against delivering the response to another request.

        The connection ends after it, without a response to this request.
        """

        self.add_backend(respond_wrong)
        self.assertIn(b'502 Bad Gateway', self.post())

    def test_surplus(self):
        """Guards against a surplus response delivered to the next request.

        It arrives on the idle connection, which must not be used again.
        """

        backend = self.add_backend(respond_surplus, answer)
        connection = self.send('/post/1', 'Content-Length: 0', method='POST')
        self.assertTrue(self.receive(connection).endswith(b'mine'))
        sleep(2 * LATE_S)
        self.assertTrue(self.post().endswith(b'ok'))
        self.assertEqual(backend.connections, 2)

    def test_unreachable(self):
        """Guards against another error than 503 if no server was reached."""
        gone = self.add_backend(answer)
        gone.stop()
        self.assertIn(b'503', self.post().split(b'\r\n')[0])


class TestIdempotent(GatewayCase):
    """A request that may run more than once is retried within its deadline."""

    def test_broken(self):
        """Guards against failing a request whose first connection breaks."""
        self.add_backend(close)
        self.add_backend(answer)
        for _ in range(3):
            self.assertIn(b'200 OK', self.ask('/read/1'))

    def test_max_attempts(self):
        """Guards against more runs than the route allows."""
        backends = [self.add_backend(fail) for _ in range(3)]
        self.assertIn(b'500 Internal', self.ask('/read/1'))
        self.assertEqual(sum(len(backend.heads) for backend in backends), 2)

    def test_broken_runs(self):
        """Guards against more runs than the route allows while connections break."""
        backends = [self.add_backend(close) for _ in range(6)]
        self.assertIn(b'502 Bad Gateway', self.ask('/read/1'))
        self.assertEqual(sum(len(backend.heads) for backend in backends), 2)

    def test_other_server(self):
        """Guards against delivering the 421 of a server that took over an address."""
        self.add_backend(answer_misdirected)
        self.add_backend(answer)
        for _ in range(3):
            self.assertIn(b'200 OK', self.ask('/read/1'))

    def test_slow_server(self):
        """Guards against waiting for a server that does not answer.

        Another server could answer before the deadline.
        """

        self.add_backend(never_answer)
        self.add_backend(answer)
        for _ in range(2):
            self.assertIn(b'200 OK', self.ask('/read/1'))

    def test_deadline(self):
        """Guards against holding a request beyond the caller's deadline."""

        self.add_backend(never_answer)
        response = self.ask('/read/1', 'Marjoramfall-Deadline-Ms: 200')
        self.assertIn(b'504 Gateway Timeout', response)

    def test_reused_connections(self):
        """Guards against a new connection for each request, on both sides."""
        backend = self.add_backend(answer)
        connection = self.connect()
        for _ in range(3):
            self.assertIn(b'200 OK', self.ask('/read/1', connection=connection))
        self.assertEqual(backend.connections, 1)

    def test_pipelined(self):
        """Guards against a connection that answers no pipelined request."""
        self.add_backend(answer)
        connection = self.connect()
        self.send('/read/1', connection=connection)
        self.send('/read/2', 'Connection: close', connection=connection)
        response = self.receive_all(connection)
        self.assertGreaterEqual(response.count(b'200 OK'), 1)

    def test_paused_before_send(self):
        """Guards against sending a request whose deadline passed during a pause."""
        backend = self.add_backend(answer)
        with patch.object(Forwarder, '_acquire', acquire_late):
            response = self.ask('/read/1')
        self.assertIn(b'503 Service Unavailable', response)
        self.assertFalse(backend.heads)

    def test_caller_leaves(self):
        """Guards against work that goes on after the caller has disconnected."""
        long_route = make_route('read', timeout_ms=60_000)
        self.registry.put_config(make_config(2, routes=(long_route,)), 2)
        backend = self.add_backend(never_answer)
        connection = self.send('/read/1')
        self.wait_for(lambda: backend.heads)
        connection.close()
        self.wait_for(lambda: not self.gateway.in_flight)
        self.assertEqual(self.fleet.own_load.uses(), [])


class TestStreams(GatewayCase):
    """Streams arrive event by event, complete and in order."""

    def test_whole(self):
        """Guards against a stream that loses an event or its end."""
        self.add_backend(stream_two, service_id=MODEL)
        response = self.receive(self.send('/summary/1'), b'0\r\n\r\n')
        self.assertIn(b'id: 1\ndata: a', response)
        self.assertIn(b'id: 2\ndata: b', response)
        self.assertTrue(response.endswith(b'0\r\n\r\n'))

    def test_resumed(self):
        """Guards against an event lost or sent twice when a stream is resumed."""
        first = self.add_backend(stream_truncated, service_id=MODEL)
        second = self.add_backend(stream_truncated, stream_resumed, service_id=MODEL)
        first._scripts = [stream_truncated, stream_resumed]
        second._scripts = first._scripts
        response = self.receive(self.send('/review/1'), b'0\r\n\r\n')
        self.assertEqual(response.count(b'HTTP/1.1 200 OK'), 1)
        body = response.partition(b'\r\n\r\n')[2]
        parts = body.split(b'\r\n')[1::2]
        events = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
        self.assertEqual(b''.join(parts), events)
        heads = first.heads + second.heads
        self.assertTrue(any(b'last-event-id: 1' in head for head in heads))

    def test_truncated(self):
        """Guards against a truncated stream that looks complete or runs twice."""
        backend = self.add_backend(stream_truncated, service_id=MODEL)
        response = self.receive_all(self.send('/summary/1'))
        self.assertIn(b'id: 1', response)
        self.assertFalse(response.endswith(b'0\r\n\r\n'))
        self.assertEqual(len(backend.heads), 1)

    def test_caller_leaves(self):
        """Guards against a generation that outlasts the caller's connection."""
        self.add_backend(stall, service_id=MODEL)
        connection = self.send('/summary/1')
        self.receive(connection, b'data: a')
        connection.close()
        self.wait_for(lambda: not self.gateway.in_flight)
        self.assertEqual(self.fleet.own_load.uses(), [])

    def test_first_event_at_once(self):
        """Guards against holding back events until the stream ends."""
        self.add_backend(stall, service_id=MODEL)
        response = self.receive(self.send('/summary/1'), b'data: a')
        self.assertIn(b'data: a', response)
