"""Test what callers get while one request crashes every server that begins to run it.

The pattern is a request that its caller sends again and again, under a new attempt id,
among sound ones with the same path, API key and prompt parts.
"""

from gevent import spawn
from gevent.event import Event

from marjoramfall.gateway.model import RepeatRule
from tests.gateway_case import GatewayCase, answer, read_attempt, start_events
from tests.gateway_fakes import MODEL, PLAIN, make_config, make_route

SERVER_COUNT = 8
REPEAT_COUNT = 6
# The users allow some requests more only for a while after the third crash.
MAX_CRASHES = 3
# Longer than the test.
LONG_TIMEOUT_MS = 60_000
SOUND = b'sound'
CRASHING = b'crashing'


class CrashingRequestCase(GatewayCase):
    """Send one request again and again to servers that it crashes."""

    service_id = PLAIN

    def setUp(self):
        super().setUp()
        self.backends = [
            self.add_backend(self.run_request, service_id=self.service_id)
            for _ in range(SERVER_COUNT)
        ]
        self.crashed_addresses = set()

    def run_request(self, exchange):
        """Answer a sound request, and crash under the other one."""
        if CRASHING in exchange.body:
            host, port = exchange.sock.getsockname()
            self.crash(f'{host}:{port}')
            return False
        self.answer(exchange)
        return True

    def answer(self, exchange):
        """Answer with a short body."""
        answer(exchange)

    def crash(self, address):
        """Stop the server with the address from listening."""
        self.crashed_addresses.add(address)
        for backend in self.backends:
            if backend.address == address:
                backend.stop()

    def ask(self, path, body):
        """Return the response to a request with a body."""
        return self.receive_all(
            self.send(
                path,
                'Marjoramfall-Prompt-Prefix: aa:40,bb:40',
                'Connection: close',
                method='POST',
                body=body,
            )
        )

    def repeat(self, path):
        """Repeat the crashing request, each time after a sound one."""
        for _ in range(REPEAT_COUNT):
            response = self.ask(path, SOUND)
            self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
            self.ask(path, CRASHING)


class TestPlainRequest(CrashingRequestCase):
    """A request to a plain service is kept from its servers."""

    def test_repeated_read(self):
        """Guards against a read that crashes one server after the other (issue 25)."""
        self.repeat('/read/1')
        self.assertLessEqual(len(self.crashed_addresses), MAX_CRASHES)

    def test_repeated_write(self):
        """Guards against a write that its caller sends to one server after the other.

        The gateway itself sends it to one server each time.
        """
        self.repeat('/post/1')
        self.assertLessEqual(len(self.crashed_addresses), MAX_CRASHES)

    def test_refusal(self):
        """A refused request is answered with the promise that it has not run."""
        self.repeat('/read/1')
        response = self.ask('/read/1', CRASHING)
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertIn(b'retry-after', response.lower())


class TestWaitingRequest(CrashingRequestCase):
    """A request that waits at a server is withdrawn once it is known to crash them."""

    def setUp(self):
        super().setUp()
        route = make_route('post', RepeatRule.AT_MOST_ONCE, timeout_ms=LONG_TIMEOUT_MS)
        self.registry.put_config(make_config(2, routes=(route,)), 2)
        self.was_withdrawn = Event()
        self.holds_next = True

    def run_request(self, exchange):
        """Hold the first crashing request until the caller or the gateway leaves."""
        if CRASHING not in exchange.body or not self.holds_next:
            return super().run_request(exchange)
        self.holds_next = False
        if not exchange.sock.recv(1):
            self.was_withdrawn.set()
        return False

    def test_withdrawn(self):
        """Guards against a crash by a request that was sent before the last one."""
        waiting = spawn(self.ask, '/post/1', CRASHING)
        self.wait_for(lambda: not self.holds_next)
        for _ in range(MAX_CRASHES):
            self.ask('/post/1', CRASHING)
        self.assertIn(b'502', waiting.get(timeout=1).split(b'\r\n')[0])
        self.assertTrue(self.was_withdrawn.wait(1))


class TestGeneration(CrashingRequestCase):
    """A request to model servers is kept from them, though its parts are sound."""

    service_id = MODEL

    def answer(self, exchange):
        """Answer with one event."""
        start_events(exchange)
        exchange.end_stream(read_attempt(exchange), 1)

    def test_repeated_stream(self):
        """Guards against a stream that crashes one server after the other."""
        self.repeat('/review/1')
        self.assertLessEqual(len(self.crashed_addresses), MAX_CRASHES)
