"""Start the callers' interface in front of a scripted backend."""

import json
import unittest
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent import socket

from marjoramfall.borders.caller_http import CallerApplication, CallerHooks
from marjoramfall.borders.caller_server import CALLER_SOCKET, CallerServer
from marjoramfall.clock import RuntimeClock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.identifiers import RequestIds
from marjoramfall.request.grants import ShedError
from marjoramfall.request.request_executor import RequestExecutor
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


def refuse(exchange):
    """Refuse the request as wrong."""
    exchange.respond(b'{"why":1}', '422 Wrong', 'Content-Type: text/x\r\n')


def stream_endless(exchange):
    """Send tokens until the entry stops reading."""
    if exchange.head.startswith(b'DELETE'):
        exchange.respond(b'')
        return
    exchange.start_stream()
    for index in range(100_000):
        exchange.event(f'e-1:{index}', 'x' * 10_000)


def raise_shed():
    """Shed instead of granting."""
    raise ShedError('full', retry_after_ms=1500)


class CallerCase(unittest.TestCase):
    """Start a callers' server in front of a scripted backend."""

    def start(self, *scripts, **options):
        self.backend = ScriptedBackend(*scripts)
        self.addCleanup(self.backend.stop)
        self.counts = []
        self.records = []
        self.is_ready = False
        self.grants = FakeGrants(self.backend.address)
        self.claims = FakeClaims()
        clock = RuntimeClock()
        self.client = BackendClient(ConnectionPool(clock))
        path = RequestExecutor(
            grants=self.grants,
            backend=self.client,
            configuration=lambda: CONFIGURATION,
            clock=clock,
            retries=FakeAllowance(),
            claims=self.claims,
        )
        hooks = CallerHooks(
            configuration=lambda: CONFIGURATION,
            is_ready=lambda: self.is_ready,
            check_accepting=lambda: None,
            count=self._count,
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
        return self.exchange(self.request(path, body, **options))

    def exchange(self, text, *, is_cut=False):
        caller = self.connect()
        caller.sendall(text)
        if is_cut:
            caller.shutdown(socket.SHUT_WR)
        with caller.makefile('rb') as stream:
            head, _, content = stream.read().partition(b'\r\n\r\n')
        return int(head.split()[1]), content

    def error(self, path, body=None, **options):
        status, content = self.ask(path, body, **options)
        described = json.loads(content)['error']
        return status, described['code'], described['run_state']

    def _count(self, record):
        self.records.append(record)
        self.counts.append(record.outcome)
