"""Serve a stand-in of the platform's store on loopback."""

import unittest

from gevent.pywsgi import WSGIServer

from marjoramfall.clock import RuntimeClock
from marjoramfall.platform.store import StoreClient
from marjoramfall_standins.store import StoreStandin


class StoreCase(unittest.TestCase):
    """Serve a stand-in of the store on a free port."""

    def setUp(self):
        self.clock = RuntimeClock()
        self.store = StoreStandin()
        self.server = WSGIServer(('127.0.0.1', 0), self.store, log=None, error_log=None)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.client = self.new_client()

    def new_client(self):
        """Return a client of the stand-in."""
        client = StoreClient(f'127.0.0.1:{self.server.server_port}', self.clock)
        self.addCleanup(client.close)
        return client
