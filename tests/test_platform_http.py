import socket
import unittest

from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from marjoramfall.borders.platform_http import HttpTableService
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
    RowCondition,
    RowWrite,
)

WRITES = (RowWrite('t', 'k', '1'),)


def read_and_close(connection, address):
    """Take a request and close the connection without a response."""
    connection.recv(4096)
    connection.close()


class FixedApplication:
    """Give every request the same response."""

    def __init__(self, status, body):
        self.paths = []
        self.status = status
        self.body = body

    def __call__(self, environ, start_response):
        self.paths.append(environ['PATH_INFO'])
        start_response(self.status, [('Content-Type', 'application/json')])
        return [self.body]


class HttpTableServiceTest(unittest.TestCase):
    """Check how transport failures are told apart."""

    def start(self, server):
        server.start()
        self.addCleanup(server.stop)
        return HttpTableService(f'127.0.0.1:{server.server_port}', timeout_ms=500)

    def serve(self, status, body):
        application = FixedApplication(status, body)
        return self.start(WSGIServer(('127.0.0.1', 0), application, log=None))

    def test_answer_lost(self):
        """Guards against calling a write refused that may have taken effect."""
        tables = self.start(StreamServer(('127.0.0.1', 0), read_and_close))
        with self.assertRaises(PlatformAnswerLostError):
            tables.transact((), WRITES)
        with self.assertRaises(PlatformUnavailableError):
            tables.read('t', 'k')

    def test_refused(self):
        """Guards against calling a write unknown that was never sent."""
        with socket.create_server(('127.0.0.1', 0)) as free:
            port = free.getsockname()[1]
        tables = HttpTableService(f'127.0.0.1:{port}', timeout_ms=500)
        with self.assertRaises(PlatformUnavailableError):
            tables.transact((), WRITES)

    def test_statuses(self):
        """Guards against taking an error status for an answer."""
        busy = self.serve('503 Service Unavailable', b'')
        with self.assertRaises(PlatformUnavailableError):
            busy.transact((), WRITES)
        failed = self.serve('500 Internal Server Error', b'')
        with self.assertRaises(PlatformAnswerLostError):
            failed.transact((), WRITES)
        rival = self.serve('409 Conflict', b'{"applied": false, "failed": 0}')
        condition = RowCondition('t', 'k', None)
        self.assertFalse(rival.transact((condition,), WRITES))

    def test_keys_with_slashes(self):
        """Guards against a key that is cut at a slash."""
        application = FixedApplication('200 OK', b'{"key": "a/1", "value": "{}"}')
        server = WSGIServer(('127.0.0.1', 0), application, log=None)
        self.assertEqual(self.start(server).read('config', 'a/1'), '{}')
        self.assertEqual(application.paths, ['/tables/config/a/1'])
