"""Test what callers get while backend servers break the protocol.

The pattern is a server in trouble: it answers late and twice, sends bytes without
end, or stalls within an event, while sound servers serve other requests.
"""

import tracemalloc
from unittest.mock import patch

from gevent import sleep, spawn

from marjoramfall.gateway.servers import body_delivery, response_watch
from tests.gateway_case import GatewayCase, answer, read_attempt, start_events
from tests.gateway_fakes import MODEL, make_config, make_route

MIB = 1_048_576
BLOCK = b'x' * 65_536
# What all buffers of the endless servers in one test may take together.
MEMORY_BOUND_BYTES = 24 * MIB
ENDLESS_SERVERS = 6
SHORT_IDLE_MS = 150.0
BYTE_INTERVAL_S = 0.02

LATE_FAILURE = b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nlate'
LATE_FAILURES = (
    LATE_FAILURE,
    b'HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nlate',
    b'HTTP/1.1 503 Service Unavailable\r\nMarjoramfall-Not-Executed: 1\r\n'
    b'Content-Length: 4\r\n\r\nlate',
    b'HTTP/1.1 500 Late\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n',
    b'HTTP/1.1 500 Late\r\n\r\nlate',
)
LATE_SUCCESSES = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n',
)


def endless_body(exchange):
    """Send a body without length that never ends."""
    head = f'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n'
    exchange.write(head.encode() + b'\r\n')
    send_forever(exchange, BLOCK)


def endless_fields(exchange):
    """Send header fields that never end."""
    exchange.write(b'HTTP/1.1 200 OK\r\n')
    send_forever(exchange, b'a: b\r\n' * 4096)


def endless_line(exchange):
    """Send one header line that never ends."""
    exchange.write(b'HTTP/1.1 200 OK\r\na: ')
    send_forever(exchange, BLOCK)


def endless_interim(exchange):
    """Send interim responses that never end."""
    send_forever(exchange, b'HTTP/1.1 102 Processing\r\n\r\n' * 1024)


def endless_chunk_extension(exchange):
    """Send a chunk whose size line never ends."""
    start_events(exchange)
    exchange.write(b'5;a=')
    send_forever(exchange, BLOCK)


def endless_trailers(exchange):
    """Send trailer fields that never end."""
    start_events(exchange)
    exchange.write(b'0\r\n')
    send_forever(exchange, b'a: b\r\n' * 4096)


def endless_late_responses(exchange):
    """Send responses to earlier requests that never end."""
    late = (
        b'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: a-0\r\nContent-Length: 0\r\n\r\n'
    )
    send_forever(exchange, late * 512)


def endless_rejection(exchange):
    """Reject a request with a body that never ends."""
    head = 'HTTP/1.1 503 Full\r\nMarjoramfall-Not-Executed: 1\r\n'
    head += f'Marjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n\r\n'
    exchange.write(head.encode())
    send_forever(exchange, BLOCK)


class EndlessEvent:
    """Send an event, then one that never ends, and count its blocks."""

    def __init__(self):
        self.blocks = 0

    def __call__(self, exchange):
        start_events(exchange)
        exchange.event('1', 'a')
        while True:
            exchange.write(b'10000\r\n' + BLOCK + b'\r\n')
            self.blocks += 1
            sleep(0)


ENDLESS_SCRIPTS = (
    endless_fields,
    endless_line,
    endless_interim,
    endless_chunk_extension,
    endless_trailers,
    endless_late_responses,
)


def send_forever(exchange, block):
    """Send a block until the gateway closes the connection."""
    while True:
        exchange.write(block)
        sleep(0)


def stall_within_event(exchange):
    """Begin a stream, then send single bytes that complete no event."""
    start_events(exchange)
    exchange.event('1', 'a')
    while True:
        exchange.write(b'1\r\nx\r\n')
        sleep(BYTE_INTERVAL_S)


def resume(exchange):
    """Send the rest of a stream after its first event."""
    start_events(exchange)
    exchange.event('2', 'b')
    exchange.write(b'0\r\n\r\n')


def stream_slowly(exchange):
    """Send a stream whose pauses exceed the gap that the route allows."""
    start_events(exchange)
    for event_id in ('1', '2', '3'):
        exchange.event(event_id, 'a')
        sleep(2 * SHORT_IDLE_MS / 1000)
    exchange.write(b'0\r\n\r\n')


def end_without_event(exchange):
    """End a stream without length and without chunks before its first event."""
    head = f'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n'
    exchange.write(head.encode() + b'\r\n')
    return False


def end_within_event(exchange):
    """End a stream without length within its second event."""
    head = f'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n'
    exchange.write(head.encode() + b'\r\nid: 1\ndata: a\n\nid: 2\nda')
    return False


def reset_chunked(exchange):
    """Break a chunked stream after its first event."""
    start_events(exchange)
    exchange.event('1', 'a')
    return False


class LateResponder:
    """Send a late response to an earlier request before the awaited one."""

    def __init__(self, late, *, pause_s=0.0):
        self._late = late
        self._pause_s = pause_s

    def __call__(self, exchange):
        exchange.write(self._late)
        if self._pause_s:
            sleep(self._pause_s)
        answer(exchange, b'mine')
        return False


def answer_then_begin(exchange):
    """Answer, then send a part of the head of a second response."""
    attempt = f'Marjoramfall-Attempt-Id: {read_attempt(exchange)}\r\n'
    head = f'HTTP/1.1 200 OK\r\n{attempt}Content-Length: 2\r\n\r\n'
    exchange.write(head.encode() + b'okHTTP/1.1 500 La')


class TestLateResponses(GatewayCase):
    """A late second response never reaches the caller of a later request."""

    def answer_after(self, late, **options):
        """Return how a caller is answered whose response follows a late one."""
        backend = self.add_backend(answer, LateResponder(late, **options))
        self.ask('/post/1', 'Content-Length: 0', method='POST')
        response = self.ask('/post/1', 'Content-Length: 0', method='POST')
        self.assertEqual(backend.connections, 1)
        return response

    def test_failure(self):
        """Guards against a failure of an earlier request sent to the next caller.

        It lacks the attempt id, so that it cannot be told from the response to the
        next request on the kept connection.
        """
        for late in LATE_FAILURES:
            with self.subTest(late):
                self.assertIn(b'502 Bad Gateway', self.answer_after(late))
                self.doCleanups()
                self.setUp()

    def test_success(self):
        """Guards against a success of an earlier request sent to the next caller."""
        for late in LATE_SUCCESSES:
            with self.subTest(late):
                self.assertTrue(self.answer_after(late).endswith(b'mine'))
                self.doCleanups()
                self.setUp()

    def test_later_segment(self):
        """Guards against a late failure that arrives apart from the next response."""
        response = self.answer_after(LATE_FAILURE, pause_s=BYTE_INTERVAL_S)
        self.assertIn(b'502 Bad Gateway', response)

    def test_first_failure(self):
        """Guards against hiding a server's own failure on a new connection."""
        self.add_backend(lambda exchange: exchange.write(LATE_FAILURE))
        response = self.ask('/post/1', 'Content-Length: 0', method='POST')
        self.assertTrue(response.endswith(b'late'))

    def test_begun_response(self):
        """Guards against reusing a connection that received a part of a response."""
        backend = self.add_backend(answer_then_begin, answer)
        self.ask('/post/1', 'Content-Length: 0', method='POST')
        self.ask('/post/1', 'Content-Length: 0', method='POST')
        self.assertEqual(backend.connections, 2)


class TestEndlessResponses(GatewayCase):
    """A response without end is broken off, in bounded memory."""

    def setUp(self):
        super().setUp()
        long_route = make_route('read', timeout_ms=60_000, max_attempts=1)
        self.registry.put_config(make_config(2, routes=(long_route,)), 2)

    def test_broken_off(self):
        """Guards against memory taken until the process exceeds its limit."""
        for script in ENDLESS_SCRIPTS:
            with self.subTest(script.__name__):
                self.add_backend(script)
                self.assertIn(b'502 Bad Gateway', self.ask('/read/1'))
                self.doCleanups()
                self.setUp()

    def test_rejection(self):
        """Guards against memory taken by the body of a rejection, which is held."""
        self.add_backend(endless_rejection)
        self.assertIn(b'503 Service Unavailable', self.ask('/read/1'))

    def test_body(self):
        """Guards against memory taken by bodies without end, or a cut one as whole.

        Their start is sent to the callers, as that of any large body.
        """
        patched = patch.object(body_delivery, 'MAX_UNSTATED_BODY_BYTES', MIB)
        patched.start()
        self.addCleanup(patched.stop)
        self.add_backend(endless_body)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        workers = [spawn(self.ask, '/read/1') for _ in range(ENDLESS_SERVERS)]
        for worker in workers:
            response = worker.get(timeout=10)
            self.assertGreater(len(response), MIB / 2)
            self.assertFalse(response.endswith(b'\r\n0\r\n\r\n'))
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, MEMORY_BOUND_BYTES)

    def test_beside_others(self):
        """Guards against callers of sound servers hurt by several endless ones."""
        for script in ENDLESS_SCRIPTS[:ENDLESS_SERVERS]:
            self.add_backend(script)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        workers = [spawn(self.ask, '/read/1') for _ in range(4 * ENDLESS_SERVERS)]
        for worker in workers:
            self.assertIn(b'502', worker.get(timeout=10).split(b'\r\n')[0])
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, MEMORY_BOUND_BYTES)


class TestStalledStreams(GatewayCase):
    """Streams end by missing progress, not by missing bytes or long pauses."""

    def setUp(self):
        super().setUp()
        for name in ('STREAM_IDLE_TIMEOUT_MS', 'SOUND_PAUSE_MS'):
            patched = patch.object(response_watch, name, SHORT_IDLE_MS)
            patched.start()
            self.addCleanup(patched.stop)

    def test_stalled(self):
        """Guards against a stalled stream kept alive by bytes that end no event."""
        self.registry.put_config(
            make_config(2, routes=(stream_route(max_gap_ms=10),)), 2
        )
        self.add_resuming_pair(stall_within_event)
        response = self.receive(self.send('/review/1'), b'0\r\n\r\n')
        self.assertEqual(response.count(b'data: a'), 1)
        self.assertEqual(response.count(b'data: b'), 1)
        self.assertNotIn(b'x', response.partition(b'data: a')[2])

    def test_slow(self):
        """Guards against cutting a sound stream whose pauses exceed the route's gap."""
        gap_ms = int(SHORT_IDLE_MS)
        self.registry.put_config(
            make_config(2, routes=(stream_route(max_gap_ms=gap_ms),)), 2
        )
        first = self.add_backend(stream_slowly, service_id=MODEL)
        second = self.add_backend(stream_slowly, service_id=MODEL)
        response = self.receive(self.send('/review/1'), b'0\r\n\r\n')
        self.assertEqual(response.count(b'data: a'), 3)
        self.assertEqual(len(first.heads + second.heads), 1)

    def test_endless_event(self):
        """Guards against buffering an event without end."""
        endless = EndlessEvent()
        self.add_resuming_pair(endless)
        response = self.receive(self.send('/review/1'), b'0\r\n\r\n')
        self.assertEqual(response.count(b'data: b'), 1)
        self.assertLess(endless.blocks * len(BLOCK), MEMORY_BOUND_BYTES)

    def add_resuming_pair(self, script):
        """Add two servers: the one asked first runs the script, the other resumes."""
        scripts = [script, resume]
        for _ in range(2):
            backend = self.add_backend(*scripts, service_id=MODEL)
            backend._scripts = scripts


class TestTruncatedStreams(GatewayCase):
    """A stream that broke off is never a complete success for its caller."""

    def test_end_of_connection(self):
        """Guards against the clean end of a connection within an event."""
        self.add_backend(end_within_event, service_id=MODEL)
        response = self.receive_all(self.send('/summary/1'))
        self.assertIn(b'data: a', response)
        self.assertFalse(response.endswith(b'0\r\n\r\n'))

    def test_no_event(self):
        """Guards against a server that ends a stream without length before an event."""
        self.add_backend(end_without_event, service_id=MODEL)
        response = self.receive_all(self.send('/summary/1', 'Connection: close'))
        self.assertTrue(response.startswith(b'HTTP/1.1 502'), response)

    def test_end_of_resumed_stream(self):
        """A stream that is resumed after its last event may have no more events."""
        self.add_backend(end_without_event, service_id=MODEL)
        headers = ('Last-Event-Id: 9', 'Connection: close')
        response = self.receive_all(self.send('/review/1', *headers))
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)

    def test_http10(self):
        """Guards against a cut stream that looks whole to a caller of HTTP/1.0.

        Without chunks only the end of the connection marks the end of the body, so
        that a broken one must be reset.
        """
        self.add_backend(reset_chunked, service_id=MODEL)
        connection = self.connect()
        connection.sendall(
            b'GET /summary/1 HTTP/1.0\r\nHost: a.example\r\n'
            b'Marjoramfall-Attempt-Id: a-1\r\nAuthorization: Bearer key-1\r\n\r\n'
        )
        with self.assertRaises(ConnectionResetError):
            self.receive_all(connection)


def stream_route(*, max_gap_ms):
    """Return a route whose streams may be resumed."""
    review = make_config().find_route('a.example', '/review/1')
    return make_route(
        'review',
        review.repeat_rule,
        services=review.services,
        is_stream=True,
        max_gap_ms=max_gap_ms,
        timeout_ms=5000,
    )
