"""Serve a stand-in of the platform's store on loopback."""

import unittest

from gevent.pywsgi import WSGIServer

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.platform.members import MemberDirectory
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


class MembersCase(StoreCase):
    """Provide the directory of one entry."""

    def setUp(self):
        super().setUp()
        self.peers = PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a')
        self.directory = MemberDirectory(
            self.client,
            self.peers,
            self.clock,
            vm='entry-1',
            address='10.0.0.1:7',
            data_centre='dc-a',
            store_era=lambda: self.store.era,
        )
