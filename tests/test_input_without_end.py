"""Test an entry whose sockets are sent requests without a pause.

The pattern is a sender in another process that is faster than the entry, so that
there is always something to read.
"""

import socket as blocking_socket
import threading
import unittest
from contextlib import suppress

from gevent import sleep

from marjoramfall.gateway.internal_http_server import (
    InternalHttpServer,
    InternalResponse,
)
from marjoramfall.gateway.servers.backend_connection import split_address
from tests.test_peer_exchange import free_address

REQUEST = b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n'
REQUESTS_AT_ONCE = 500
FLOOD_S = 4.0
SOCKET_TIMEOUT_S = 0.5
PAUSE_S = 0.05


class FloodCase(unittest.TestCase):
    """Send without end from threads, which go on while greenlets are busy."""

    def setUp(self):
        self.is_over = threading.Event()
        self.addCleanup(self.is_over.set)
        timer = threading.Timer(FLOOD_S, self.is_over.set)
        timer.start()
        self.addCleanup(timer.cancel)

    def run_in_thread(self, function, *arguments):
        """Run a part of the flood until it is over."""
        arguments = (function, *arguments)
        threading.Thread(target=self.repeat, args=arguments, daemon=True).start()

    def repeat(self, function, *arguments):
        """Call a function until the flood is over or its socket is closed."""
        with suppress(OSError):
            while not self.is_over.is_set():
                function(*arguments)

    def check_others_run(self):
        """Check that another greenlet goes on before the flood is over."""
        for _ in range(3):
            sleep(PAUSE_S)
        self.assertFalse(self.is_over.is_set())


class TestReadinessRequests(FloodCase):
    """Requests that are pipelined without end leave others their turn."""

    def test_others_run(self):
        """Guards against an entry that a client of the readiness port keeps busy."""
        address = free_address()
        response = InternalResponse(200, 'text/plain', b'')
        server = InternalHttpServer(address, {'/-/ready': lambda: response})
        server.start()
        self.addCleanup(server._server.stop, timeout=0)
        client = blocking_socket.create_connection(split_address(address))
        client.settimeout(SOCKET_TIMEOUT_S)
        self.addCleanup(client.close)
        self.run_in_thread(client.sendall, REQUEST * REQUESTS_AT_ONCE)
        self.run_in_thread(client.recv, 65_536)
        self.check_others_run()
