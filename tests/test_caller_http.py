"""Test the callers' interface over loopback against a scripted backend."""

import json
import unittest
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent import Timeout, sleep, socket

from marjoramfall.borders.caller_http import CallerApplication, CallerHooks
from marjoramfall.borders.caller_server import CALLER_SOCKET, CallerServer
from marjoramfall.clock import RuntimeClock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.identifiers import RequestIds
from marjoramfall.request.request_path import RequestPath
from tests.request_fakes import (
    BEARER_KEY,
    CONFIGURATION,
    FakeAllowance,
    FakeClaims,
    FakeGrants,
)
from tests.scripted_backend import ScriptedBackend

STREAM = {'model': 'reviews', 'prompt': 'x', 'stream': True}


def stream_whole(exchange):
    """Send two tokens, the first one twice."""
    exchange.start_stream()
    exchange.event('e-1:0', 'a')
    exchange.event('e-1:0', 'a')
    exchange.event('e-1:1', 'b')
    exchange.end_stream('e-1', 2)


def stream_cut(exchange):
    """Break the connection after a token and refuse to resume."""
    if exchange.head.startswith(b'POST'):
        exchange.start_stream()
        exchange.event('e-1:0', 'a')
    return False


def stream_stalled(exchange):
    """Send one token and no more."""
    if exchange.head.startswith(b'DELETE'):
        exchange.respond(b'')
        return
    exchange.start_stream()
    exchange.event('e-1:0', 'a')


def report_no_delay(environ, start_response):
    """Answer with the option of the accepted socket."""
    option = environ[CALLER_SOCKET].getsockopt(IPPROTO_TCP, TCP_NODELAY)
    start_response('200 OK', [])
    return [str(option).encode()]


class CallerCase(unittest.TestCase):
    """Start a callers' server in front of a scripted backend."""

    def start(self, *scripts, **options):
        self.backend = ScriptedBackend(*scripts)
        self.addCleanup(self.backend.stop)
        self.counts = []
        self.grants = FakeGrants(self.backend.address)
        self.claims = FakeClaims()
        clock = RuntimeClock()
        self.client = BackendClient(ConnectionPool(clock))
        path = RequestPath(
            grants=self.grants,
            backend=self.client,
            configuration=lambda: CONFIGURATION,
            clock=clock,
            retries=FakeAllowance(),
            claims=self.claims,
        )
        hooks = CallerHooks(
            configuration=lambda: CONFIGURATION,
            is_ready=bool,
            check_accepting=lambda: None,
            count=self.counts.append,
            issue_key=lambda team_id: f'key-of-{team_id}',
        )
        self.application = CallerApplication(
            path, hooks, clock=clock, request_ids=RequestIds('e'), max_body_bytes=2048
        )
        self.server = CallerServer(
            ('127.0.0.1', 0), self.application, count=self.counts.append, **options
        )
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)

    def connect(self):
        address = ('127.0.0.1', self.server.server_port)
        caller = socket.create_connection(address, timeout=5)
        self.addCleanup(caller.close)
        return caller

    def request(self, path, body=None, *, method='POST', key=BEARER_KEY, headers=''):
        text = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n'
            f'Authorization: Bearer {key}\r\n{headers}'
            f'Content-Length: {len(text)}\r\n\r\n'
        )
        return head.encode() + text

    def ask(self, path, body=None, **options):
        caller = self.connect()
        caller.sendall(self.request(path, body, **options))
        with caller.makefile('rb') as stream:
            head, _, content = stream.read().partition(b'\r\n\r\n')
        return int(head.split()[1]), content

    def error(self, path, body=None, **options):
        status, content = self.ask(path, body, **options)
        described = json.loads(content)['error']
        return status, described['code'], described['run_state']


class CallerStreamTest(CallerCase):
    """Relay streams and notice callers that leave."""

    def test_whole_stream(self):
        """Guard against an event that is lost or held back on its way."""

        self.start(stream_whole)
        status, content = self.ask('/v1/completions', STREAM)
        self.assertEqual(status, 200)
        self.assertEqual(content.count(b'data: a'), 1)
        self.assertIn(b'data: [DONE]', content)
        self.assertEqual([result.succeeded for result in self.grants.finished], [True])

    def test_cut_stream(self):
        """Guard against a cut stream that looks like a whole one."""

        self.start(stream_cut)
        _, content = self.ask('/v1/completions', STREAM)
        self.assertNotIn(b'[DONE]', content)
        self.assertIn(b'"run_state":"unknown"', content)
        self.assertEqual([result.succeeded for result in self.grants.finished], [False])

    def test_vanished_caller(self):
        """Guard against an engine slot that works for a caller who left."""

        self.start(stream_stalled)
        caller = self.connect()
        caller.sendall(self.request('/v1/completions', STREAM))
        caller.recv(4096)
        caller.close()
        with Timeout(5):
            while not (self.backend.count('DELETE') and self.grants.finished):
                sleep(0.001)
        self.assertEqual(self.application.active_requests, 0)
        self.assertIn('caller_gone', self.counts)


class CallerRefusalTest(CallerCase):
    """Refuse what cannot be served, with a code and the state not run."""

    def test_no_delay(self):
        """Guard against responses that wait 44 ms for an acknowledgement."""
        self.start(stream_whole)
        self.server.application = report_no_delay
        self.assertEqual(self.ask('/'), (200, b'1'))

    def test_refusals(self):
        """Guard against a bad request that reaches a dispatcher."""
        self.start(stream_whole)
        good = {'model': 'reviews', 'prompt': 'x'}
        large = {'model': 'reviews', 'prompt': 'x' * 3000}
        cases = (
            (self.error('/v1/completions', good, key='bad'), 401, 'unauthorized'),
            (self.error('/v1/completions', good, key='lost-key'), 400, 'unknown_tier'),
            (self.error('/v1/completions', {}), 400, 'invalid_request'),
            (self.error('/v1/completions', large), 413, 'body_too_large'),
            (self.error('/services/none/a', good), 404, 'unknown_service'),
            (self.error('/services/reviews/a', good), 404, 'unknown_service'),
            (self.error('/services/lookups/../a'), 400, 'invalid_request'),
            (self.error('/readyz', method='GET'), 503, 'not_ready'),
            (
                self.error('/v1/completions', good, headers='X-Tier: none\r\n'),
                400,
                'unknown_tier',
            ),
            (
                self.error(
                    '/v1/completions', good, headers=f'X-Big: {"x" * 20000}\r\n'
                ),
                431,
                'headers_too_large',
            ),
        )
        for answer, status, code in cases:
            with self.subTest(code):
                self.assertEqual(answer, (status, code, 'not_run'))
        self.assertEqual(self.grants.asks, [])

    def test_plain_call(self):
        """Guard against a pass-through that changes path, status or body."""
        self.start(lambda exchange: exchange.respond(b'{"id":7}', '409 Conflict'))
        answer = self.ask('/services/lookups/a%20b?c=1', method='GET')
        self.assertEqual(answer, (409, b'{"id":7}'))
        self.assertTrue(self.backend.heads[0].startswith(b'GET /a%20b?c=1 HTTP/1.1'))
