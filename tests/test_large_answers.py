"""Test answers that are too large to be held back until they are whole.

The pattern is an answer of 400 kB, which got 502 though its engine had run the request
and sent all of it (findings of fe3796e).
"""

from functools import partial

from tests.gateway_case import GatewayCase, answer, read_attempt

SIZE_BYTES = 400_000
CHUNK_BYTES = 40_000
BODY = bytes(range(200)) * (SIZE_BYTES // 200)
LAST_CHUNK = b'0\r\n\r\n'


def start(exchange, *headers, status='200 OK'):
    """Send the head of an answer."""
    lines = (
        f'HTTP/1.1 {status}',
        f'Marjoramfall-Attempt-Id: {read_attempt(exchange)}',
        *headers,
    )
    exchange.write(''.join(f'{line}\r\n' for line in (*lines, '')).encode())


def answer_with_length(exchange, status='200 OK'):
    """Answer with a length."""
    answer(exchange, BODY, status=status)


def answer_in_chunks(exchange):
    """Answer in chunks."""
    start(exchange, 'Transfer-Encoding: chunked')
    for offset in range(0, SIZE_BYTES, CHUNK_BYTES):
        part = BODY[offset : offset + CHUNK_BYTES]
        exchange.write(b'%x\r\n%b\r\n' % (len(part), part))
    exchange.write(LAST_CHUNK)


def answer_until_end(exchange):
    """Answer without a length, and end the connection."""
    start(exchange)
    exchange.write(BODY)
    return False


def break_off(exchange):
    """Send most of an answer, and end the connection."""
    start(exchange, f'Content-Length: {SIZE_BYTES}')
    exchange.write(BODY[:-1])
    return False


def body_of(response):
    """Return the body of a response in chunks, None if its end is missing."""
    _, _, rest = response.partition(b'\r\n\r\n')
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return body
        body += rest[:length]
        rest = rest[length + 2 :]
    return None


class TestLargeAnswer(GatewayCase):
    """A large answer reaches its caller whole, or visibly cut."""

    def receive_body(self, path, **options):
        """Return the body of an answer, None if it is not whole."""
        connection = self.send(path, 'Connection: close', **options)
        return body_of(self.receive_all(connection))

    def check_whole(self, script):
        """Check that the caller gets all that a server sends."""
        self.add_backend(script)
        self.assertEqual(self.receive_body('/post/1', method='POST', body=b'x'), BODY)

    def test_length(self):
        """Guards against 502 in place of a large answer with a length."""
        self.check_whole(answer_with_length)

    def test_chunks(self):
        """Guards against 502 in place of a large answer in chunks."""
        self.check_whole(answer_in_chunks)

    def test_end_of_connection(self):
        """Guards against 502 in place of a large answer without a length."""
        self.check_whole(answer_until_end)

    def test_broken_off(self):
        """Guards against a large answer that looks whole though its server broke off.

        Nor may the rest come from a second run.
        """
        backends = [self.add_backend(break_off) for _ in range(2)]
        self.assertIsNone(self.receive_body('/read/1'))
        self.assertEqual(sum(len(backend.heads) for backend in backends), 1)

    def test_failure(self):
        """Guards against a large failure that is passed on though one server is well.

        Its body is not held back, and the request may still go elsewhere.
        """
        backend = self.add_backend(
            partial(answer_with_length, status='500 Internal Server Error'),
            server_id='i-1',
        )
        self.assertIn(b'500 Internal', self.ask_briefly())
        other = self.add_backend(partial(answer, body=b'ran'), server_id='i-2')
        self.assertTrue(self.ask('/read/1').endswith(b'ran'))
        self.assertEqual(len(other.heads), 1)
        self.assertGreaterEqual(len(backend.heads), 1)

    def ask_briefly(self):
        """Return the first bytes of an answer."""
        return self.send('/read/1', 'Connection: close').recv(1000)
