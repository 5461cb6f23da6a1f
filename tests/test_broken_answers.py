"""Test what callers get of answers that are repeated, failed or cut in the head.

The pattern is a faulty server, as operators of similar systems reported: it writes an
earlier refusal once more, answers a resumed stream with an error, or closes in the
middle of a head.
"""

from functools import partial

from gevent import sleep

from tests.gateway_case import GatewayCase, answer, read_attempt, start_events
from tests.gateway_fakes import MODEL

END_OF_CHUNKS = b'0\r\n\r\n'
PAUSE_S = 0.05
REFUSAL = (
    'HTTP/1.1 503 Service Unavailable\r\nMarjoramfall-Not-Executed: 1\r\n'
    'Marjoramfall-Attempt-Id: {attempt}\r\nContent-Length: 4\r\n\r\nfull'
)
FAILURES = (
    '500 Internal Server Error',
    '503 Service Unavailable',
    '429 Too Many Requests',
    '404 Not Found',
    '302 Found',
    '204 No Content',
)
HEAD = b'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: a-1\r\n'
TRUNCATED_HEADS = (
    b'HTTP/1.1 200 OK\r\n',
    HEAD,
    HEAD + b'Content-Length: 9\r\n',
    HEAD + b'Transfer-Encoding: chunked\r\n',
    HEAD + b'Content-Le',
    HEAD + b'\r',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n' + HEAD,
)


def break_off(exchange):
    """Send one event, and break off."""
    start_events(exchange)
    exchange.event('1', 'a')
    return False


def end_stream(exchange):
    """Send the last event and the end."""
    start_events(exchange)
    exchange.event('2', 'b')
    exchange.write(END_OF_CHUNKS)


def close_after(exchange, head):
    """Write a part of a head and close."""
    exchange.write(head)
    return False


class ScriptSeries:
    """Run scripts in their order, whichever server is asked."""

    def __init__(self, *scripts):
        self._scripts = iter(scripts)

    def __call__(self, exchange):
        return next(self._scripts)(exchange)


class TestRepeatedRefusal(GatewayCase):
    """A refusal of an earlier request is never taken for one of a later request."""

    def setUp(self):
        super().setUp()
        self.runs = 0

    def refuse(self, exchange):
        """Refuse a request."""
        exchange.write(REFUSAL.format(attempt=read_attempt(exchange)).encode())

    def refuse_again(self, exchange):
        """Write the refusal of the request before once more, then run this one."""
        exchange.write(REFUSAL.format(attempt='a-1').encode())
        sleep(PAUSE_S)
        self.run_request(exchange)

    def run_request(self, exchange):
        """Run a request."""
        self.runs += 1
        answer(exchange, b'ran')

    def test_write(self):
        """Guards against a second run, or 503 for a write that runs."""
        backend = self.add_backend(self.refuse, self.refuse_again, self.run_request)
        self.ask('/post/1', method='POST', body=b'x', attempt='a-1')
        response = self.ask('/post/1', method='POST', body=b'x', attempt='a-2')
        self.assertEqual(backend.connections, 1)
        self.assertTrue(response.endswith(b'ran'), response)
        self.assertEqual(self.runs, 1)

    def test_before_next_request(self):
        """Guards against using a connection on which a refusal came once more."""
        backend = self.add_backend(self.refuse_twice, self.run_request)
        self.ask('/post/1', method='POST', body=b'x', attempt='a-1')
        sleep(2 * PAUSE_S)
        response = self.ask('/post/1', method='POST', body=b'x', attempt='a-1')
        self.assertEqual(backend.connections, 2)
        self.assertTrue(response.endswith(b'ran'), response)

    def refuse_twice(self, exchange):
        """Refuse a request, and after a pause once more."""
        self.refuse(exchange)
        sleep(PAUSE_S)
        self.refuse(exchange)


class TestFailedResumption(GatewayCase):
    """An error of the server that should go on with a stream stays out of it."""

    def break_off_then(self, script):
        """Register two servers: the first to be asked breaks off, the other goes on."""
        series = ScriptSeries(break_off, script, script)
        for _ in range(2):
            self.add_backend(series, service_id=MODEL)

    def ask_for_stream(self):
        """Return all bytes of the response to a stream request."""
        return self.receive_all(self.send('/review/1', 'Connection: close'))

    def test_failure(self):
        """Guards against an error's text in a stream, or its end taken as whole."""
        for status in FAILURES:
            with self.subTest(status):
                self.break_off_then(partial(answer, body=b'oops', status=status))
                self.check_broken(self.ask_for_stream())
                self.doCleanups()
                self.setUp()

    def test_page(self):
        """Guards against a page of another type in a stream."""
        head = 'Content-Type: text/html\r\n'
        self.break_off_then(partial(answer, body=b'oops', extra=head))
        self.check_broken(self.ask_for_stream())

    def test_rest(self):
        """The rest of the stream follows what the caller has."""
        self.break_off_then(end_stream)
        received = self.ask_for_stream()
        self.assertEqual(received.count(b'data: '), 2)
        self.assertTrue(received.endswith(END_OF_CHUNKS), received)

    def check_broken(self, received):
        """Check that a stream broke off after its first event."""
        self.assertEqual(received.count(b'HTTP/1.1'), 1, received)
        self.assertEqual(received.count(b'data: '), 1, received)
        self.assertNotIn(b'oops', received)
        self.assertFalse(received.endswith(END_OF_CHUNKS), received)


class TestTruncatedHead(GatewayCase):
    """An answer that ends in its head is no answer."""

    def test_plain_request(self):
        """Guards against a 200 with an empty body that is framed as whole."""
        self.check('/read/1')

    def test_stream(self):
        """Guards against an empty stream that is framed as whole."""
        self.check('/review/1', service_id=MODEL)

    def check(self, path, **options):
        """Check what a caller gets for each truncated head."""
        for head in TRUNCATED_HEADS:
            with self.subTest(head):
                self.add_backend(partial(close_after, head=head), **options)
                response = self.receive_all(self.send(path, 'Connection: close'))
                self.assertTrue(response.startswith(b'HTTP/1.1 502'), response)
                self.doCleanups()
                self.setUp()


class TestLongNumbers(GatewayCase):
    """A number in a header that Python does not convert is as none."""

    def answer(self, exchange):
        """State a timeout of more digits than are converted."""
        answer(exchange, b'ran', extra=f'Keep-Alive: timeout={"9" * 5000}\r\n')

    def test_keep_alive(self):
        """Guards against an answer that is lost over the timeout of its connection."""
        self.add_backend(self.answer)
        response = self.ask('/post/1', method='POST', body=b'x')
        self.assertTrue(response.endswith(b'ran'), response)


class TestNoStatus(GatewayCase):
    """An answer with an invalid status code is no answer, and is known at once."""

    def ask_once(self, path, status, **options):
        """Return the response where the only server answers with a status."""
        self.backend = self.add_backend(partial(answer, body=b'ran', status=status))
        return self.ask(path, **options)

    def test_below(self):
        """Guards against waiting for the real status until the caller's deadline."""
        response = self.ask_once('/post/1', '000 None', method='POST', body=b'x')
        self.assertTrue(response.startswith(b'HTTP/1.1 502 '), response)
        self.assertEqual(len(self.backend.heads), 1)

    def test_above(self):
        """Guards against a status that is none as the answer of a caller."""
        response = self.ask_once('/post/1', '999 None', method='POST', body=b'x')
        self.assertTrue(response.startswith(b'HTTP/1.1 502 '), response)
        self.assertEqual(len(self.backend.heads), 1)

    def test_repeat(self):
        """Guards against a request that is not repeated though its engine failed."""
        series = ScriptSeries(
            partial(answer, status='000 None'), partial(answer, body=b'ran')
        )
        self.add_backend(series)
        self.add_backend(series)
        response = self.ask('/read/1')
        self.assertTrue(response.endswith(b'ran'), response)
