"""Test the size of the snapshots that entries send each other."""

import unittest
from contextlib import closing

import msgspec

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway.http_messages import find_header
from marjoramfall.gateway.internal_http_server import (
    InternalHttpServer,
    InternalResponse,
)
from marjoramfall.gateway.peers import snapshot_client
from marjoramfall.gateway.servers.backend_connection import BackendConnection
from tests.gateway_fakes import make_config, make_route, new_registry
from tests.test_planned_stop import free_address

ROUTES = 1450
# 10 Mbit/s for half of the time that a fetch may take.
MAX_BYTES = 100_000


class TestManyRoutes(unittest.TestCase):
    """A configuration with many routes reaches all entries in time."""

    def setUp(self):
        registry = new_registry(RuntimeClock())
        routes = tuple(
            make_route(name=f'r-{number}', prefix=f'/{number:x}/')
            for number in range(ROUTES)
        )
        registry.put_config(make_config(7, routes=routes), 7)
        self.body = msgspec.msgpack.encode(registry.snapshot())
        self.address = free_address()
        server = InternalHttpServer(
            self.address,
            {
                snapshot_client.SNAPSHOT_PATH: lambda: InternalResponse(
                    200, 'application/msgpack', self.body
                )
            },
        )
        server.start()
        self.addCleanup(server._server.stop, timeout=0)

    def fetch(self, *headers):
        """Return the response to a request with these headers, and its body."""
        lines = ('GET /snapshot HTTP/1.1', 'Host: x', *headers, '', '')
        opened = BackendConnection(
            self.address, connect_timeout_ms=500, bounds=snapshot_client.SNAPSHOT_BOUNDS
        )
        with closing(opened) as connection:
            connection.send('\r\n'.join(lines).encode())
            response = connection.read_response(500)
            return response, connection.read_all(response, 500)

    def test_size(self):
        """Guards against fetches that time out on slow links, one after the other."""
        _response, body = self.fetch('Accept-Encoding: deflate')
        self.assertLess(len(body), MAX_BYTES)

    def test_fetched(self):
        """Guards against a compressed snapshot that is not read as it was sent."""
        snapshot = snapshot_client.fetch_snapshot(self.address)
        self.assertEqual(len(snapshot.config.find_route('a.example', '/1/').name), 3)

    def test_build_before(self):
        """Guards against bytes that an entry of the build before can't read."""
        response, body = self.fetch()
        self.assertEqual(body, self.body)
        self.assertIsNone(find_header(response.headers, b'content-encoding'))

    def test_too_long(self):
        """Guards against a few bytes that become gigabytes."""
        self.body = bytes(2 * snapshot_client.MAX_SNAPSHOT_BYTES)
        with self.assertRaises(msgspec.DecodeError):
            snapshot_client.fetch_snapshot(self.address)
