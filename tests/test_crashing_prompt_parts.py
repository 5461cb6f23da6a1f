"""Test what callers get while one prompt part crashes every server that runs it.

The pattern is a prompt that makes a model server exit: requests with it arrive again
and again, among sound ones that share their first part and API key.
"""

from tests.gateway_case import GatewayCase, read_attempt, start_events
from tests.gateway_fakes import MODEL

SERVER_COUNT = 8
REQUEST_COUNT = 6
# The users stop counting crashes at the fifth: requests after it must not be sent.
MAX_CRASHES = 5
CRASHING_PART = b'bad0:40'


class TestCrashingPart(GatewayCase):
    """A part that crashes servers is kept from them, and sound requests are served."""

    def setUp(self):
        super().setUp()
        self.backends = [
            self.add_backend(self.run_request, service_id=MODEL)
            for _ in range(SERVER_COUNT)
        ]
        self.crashed_addresses = set()

    def run_request(self, exchange):
        """Answer with one event, or crash if the prompt has the crashing part."""
        host, port = exchange.sock.getsockname()
        if CRASHING_PART in exchange.head:
            self.crash(f'{host}:{port}')
            return False
        start_events(exchange)
        exchange.end_stream(read_attempt(exchange), 1)
        return True

    def crash(self, address):
        """Stop the server with the address from listening."""
        self.crashed_addresses.add(address)
        for backend in self.backends:
            if backend.address == address:
                backend.stop()

    def ask_with_parts(self, *parts):
        """Return the response to a stream request with the prompt parts."""
        prompt = ','.join(f'{part}:40' for part in parts)
        return self.receive_all(
            self.send(
                '/review/1',
                f'Marjoramfall-Prompt-Prefix: {prompt}',
                'Marjoramfall-Token-Usage: 120,10',
                'Connection: close',
                method='POST',
            )
        )

    def test_crashes_in_series(self):
        """Guards against sending a part to one server after the other (issue 22)."""
        for number in range(REQUEST_COUNT):
            self.ask_with_parts('aa', 'bad0', f'e{number}')
        self.assertLessEqual(len(self.crashed_addresses), MAX_CRASHES)

    def test_sound_requests(self):
        """Guards against refusing requests that share the first part and the key."""
        for number in range(REQUEST_COUNT):
            self.ask_with_parts('aa', 'bad0', f'e{number}')
        for number in range(REQUEST_COUNT):
            response = self.ask_with_parts('aa', f'f{number}')
            self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
