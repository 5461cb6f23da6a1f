"""Test how many bodies of requests an entry holds, and for how long."""

import gc
from unittest.mock import patch

from gevent import sleep, socket, spawn
from gevent.event import Event

from marjoramfall.gateway.callers.body_budget import SMALL_BODY_BYTES, BodyBudget
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.delegation.messages import ELSEWHERE, FAILURE
from marjoramfall.gateway.delegation.requests import DelegatedRequests
from marjoramfall.gateway.http_messages import RequestParser
from marjoramfall.gateway.model import CallerLimits
from marjoramfall.gateway.servers.socket_state import has_input
from tests.gateway_case import ATTEMPT, GatewayCase, answer

BODY = bytes(300_000)
REQUESTS = 5
SLOW_BODY_MS = 300
PAUSE_S = 0.1


def count_instances(*types):
    """Return how many objects of these types the process holds."""
    return sum(isinstance(found, types) for found in gc.get_objects())


# More than is buffered behind a request that is being served.
LONG = bytes(600_000)


class TestServedBodies(GatewayCase):
    """Bodies of up to some MB come faster than the cyclic collector runs."""

    def setUp(self):
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def check_released(self):
        """Check that no parser or call is left but those of open connections."""
        self.wait_for(lambda: not self.gateway.in_flight)
        self.assertEqual(count_instances(Call), 0)
        self.assertLessEqual(count_instances(RequestParser), 1)

    def test_kept_connection(self):
        """Guards against parsers and bodies that wait for the cyclic collector."""
        self.add_backend(answer)
        connection = self.connect()
        for _ in range(REQUESTS):
            self.ask('/read/1', method='POST', body=BODY, connection=connection)
        self.check_released()

    def test_unfinished(self):
        """Guards against a part of a body that stays after its caller has left."""
        for _ in range(REQUESTS):
            connection = self.connect()
            head = b'POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n'
            connection.sendall(head + b'\r\npart')
            connection.close()
        self.wait_for(lambda: count_instances(RequestParser) <= 1)


class TestBodyBudget(GatewayCase):
    """Callers that send large bodies together don't exhaust the memory."""

    def setUp(self):
        super().setUp()
        self.bodies = BodyBudget(max_bytes=len(BODY))
        self.may_answer = Event()

    def hold(self, exchange):
        """Answer once the test says so."""
        self.may_answer.wait()
        answer(exchange)

    def begin(self, *headers):
        """Send a request whose body is to follow."""
        connection = self.connect()
        lines = ('POST /read/1 HTTP/1.1', 'Host: a.example', *headers, '', '')
        connection.sendall('\r\n'.join(lines).encode())
        return connection

    def test_waits(self):
        """Guards against bodies of all callers held in memory at once."""
        backend = self.add_backend(self.hold)
        first = self.send('/read/1', method='POST', body=BODY)
        self.wait_for(lambda: backend.heads)
        second = self.begin(f'Content-Length: {len(BODY)}', 'Expect: 100-continue')
        sleep(PAUSE_S)
        self.assertFalse(has_input(second))
        small = self.send('/read/1', method='POST', body=b'small')
        self.wait_for(lambda: len(backend.heads) == 2)
        self.may_answer.set()
        for connection in (first, small):
            self.assertIn(b' 200 ', self.receive(connection))
        self.assertIn(b' 100 ', self.receive(second, b'\r\n\r\n'))

    def test_no_room(self):
        """Guards against callers that wait without an answer, or lose their room."""
        room = self.bodies.reserve(len(BODY))
        stated = self.begin(f'Content-Length: {len(BODY)}')
        chunked = self.begin('Transfer-Encoding: chunked')
        chunk = b'%x\r\n' % len(BODY) + BODY
        chunked.sendall(chunk[: 2 * SMALL_BODY_BYTES])
        for connection in (stated, chunked):
            self.assertIn(b' 503 ', self.receive(connection))
        self.bodies.release(room)
        self.add_backend(answer)
        self.assertIn(b' 200 ', self.ask('/read/1', method='POST', body=BODY))

    def test_pipelined(self):
        """Guards against a second answer, or a refusal of a request that runs."""
        for is_released in (False, True):
            room = self.bodies.reserve(len(BODY))
            connection = self.pipeline()
            connection.sendall(BODY[SMALL_BODY_BYTES:])
            sleep(PAUSE_S)
            self.assertFalse(has_input(connection))
            if is_released:
                self.bodies.release(room)
                self.assertIn(b' 200 ', self.receive(connection))
                continue
            self.assertIn(b' 503 ', self.receive(connection))
            self.assertEqual(connection.recv(1), b'')
            self.bodies.release(room)

    def pipeline(self):
        """Begin a large request while the one before is served, and receive that."""
        self.may_answer.clear()
        backend = self.add_backend(self.hold)
        connection = self.send('/read/1')
        self.wait_for(lambda: backend.heads)
        head = f'POST /read/2 HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT}: a-1\r\n'
        head += f'Authorization: Bearer key-1\r\nContent-Length: {len(BODY)}\r\n\r\n'
        connection.sendall(head.encode() + BODY[:SMALL_BODY_BYTES])
        sleep(PAUSE_S)
        self.may_answer.set()
        self.assertIn(b' 200 ', self.receive(connection))
        return connection

    def test_slow_body(self):
        """Guards against callers that keep others from room by a byte now and then."""
        limits = CallerLimits(idle_timeout_ms=SLOW_BODY_MS)
        with patch.object(self.gateway, 'limits', return_value=limits):
            connection = self.begin(f'Content-Length: {len(BODY)}')
            for _ in range(REQUESTS):
                connection.sendall(b'x')
                sleep(SLOW_BODY_MS / 2000)
                if has_input(connection):
                    break
            self.assertIn(b' 408 ', self.receive(connection))
        self.add_backend(answer)
        self.assertIn(b' 200 ', self.ask('/read/1', method='POST', body=BODY))

    def test_chunked(self):
        """Guards against room for the longest body kept for a short one."""
        self.bodies = BodyBudget(max_bytes=CallerLimits().max_body_bytes)
        backend = self.add_backend(self.hold)
        size = 2 * SMALL_BODY_BYTES
        connection = self.begin(
            'Transfer-Encoding: chunked', 'Authorization: Bearer key-1'
        )
        connection.sendall(b'%x\r\n' % size + bytes(size))
        sleep(PAUSE_S)
        connection.sendall(b'\r\n0\r\n\r\n')
        self.wait_for(lambda: backend.heads)
        self.assertTrue(self.bodies.reserve(len(BODY)).granted.is_set())
        self.may_answer.set()
        self.assertIn(b' 200 ', self.receive(connection))

    def test_refused_by_peer(self):
        """Guards against a peer without room whose refusal looks like a server's."""
        self.handler = DelegatedRequests(self.gateway)
        self.bodies.reserve(len(BODY))
        refusal = self.receive(self.begin(f'Content-Length: {len(BODY)}'))
        for header in (FAILURE, ELSEWHERE):
            self.assertIn(header, refusal)

    def test_caller_leaves(self):
        """Guards against room that is kept for callers that have left."""
        for _ in range(REQUESTS):
            self.begin(f'Content-Length: {len(BODY)}').close()
        self.add_backend(answer)
        self.assertIn(b' 200 ', self.ask('/read/1', method='POST', body=BODY))


class TestPipelinedUploads(GatewayCase):
    """A request that is being served outlasts a long one behind it.

    The pattern is a second upload that was sent before the answer to the first: the
    entry ended the connection, and the first got none (second review).
    """

    def setUp(self):
        super().setUp()
        self.may_answer = Event()

    def hold(self, exchange):
        """Answer once the test says so."""
        self.may_answer.wait()
        answer(exchange)

    def pipeline(self):
        """Send two uploads, the second while the first is served."""
        backend = self.add_backend(self.hold)
        connection = self.send('/read/1', method='POST', body=b'x')
        self.wait_for(lambda: backend.heads)
        spawn(self.send, '/read/2', method='POST', body=LONG, connection=connection)
        sleep(PAUSE_S)
        return connection

    def test_answered(self):
        """Guards against a request that loses its connection to the one behind it."""
        connection = self.pipeline()
        self.may_answer.set()
        self.assertIn(b' 200 ', self.receive(connection))
        self.assertIn(b' 200 ', self.receive(connection))

    def test_caller_gone(self):
        """Guards against work for a caller that has left, as nothing more is read."""
        connection = self.pipeline()
        connection.shutdown(socket.SHUT_WR)
        self.wait_for(lambda: not self.gateway.in_flight)
