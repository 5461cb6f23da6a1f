"""Test requests while servers cannot be reached.

The failure is a crash of a quarter of the servers at once, which every entry of
a large system detects on its own.
"""

import unittest
from collections import deque

from gevent import socket

from marjoramfall.gateway.peers.peer_loads import PeerLoads, report_of_state
from marjoramfall.gateway.registry import ServerChange
from marjoramfall.gateway.servers.retry_budget import RetryBounds
from marjoramfall.gateway.servers.server_load import UNREACHABLE_REPORT_MS, ServerLoad
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import make_demand, make_load, make_server, make_state

CRASHED = 8
NOW_MS = 100_000


# Bound but not listening, so that no listener of a test gets one of their ports.
RESERVED = deque(maxlen=64)


def closed_address():
    """Return an address where nothing listens, nor does later in the test."""
    reserved = socket.socket()
    reserved.bind(('127.0.0.1', 0))
    RESERVED.append(reserved)
    return f'127.0.0.1:{reserved.getsockname()[1]}'


class TestCrashedServers(GatewayCase):
    """An unreachable server consumes neither an attempt nor a retry."""

    def setUp(self):
        super().setUp()
        self.retry_budgets.replace_bounds(RetryBounds(share=0, slack=0, window_ms=1000))
        names = [f'crashed-{number}' for number in range(CRASHED)]
        changes = [
            ServerChange(name, make_server(name, address=closed_address()), 1)
            for name in names
        ]
        self.registry.apply_changes(changes, 1)

    def test_no_retry_budget_used(self):
        """Guards against rejecting requests while healthy servers are free."""
        backend = self.add_backend(answer)
        for _ in range(5):
            self.assertIn(b'200 OK', self.ask('/read/1'))
            self.assertIn(b'200 OK', self.ask('/post/1', method='POST'))
        self.assertEqual(len(backend.heads), 10)

    def test_all_servers_unreachable(self):
        """A request that reached no server is rejected as not run."""
        self.assertIn(b'503 Service', self.ask('/post/1', method='POST'))


class TestUnreachableReports(unittest.TestCase):
    """Entries report unreachable servers to each other."""

    def setUp(self):
        self.loads = {name: make_load(name) for name in ('s1', 's2')}
        self.peer_loads = PeerLoads(self.loads, lambda service_id: None)

    def report(self, *server_ids):
        """Process the unreachable servers that a peer reports."""
        state = make_state(unreachable_server_ids=list(server_ids))
        self.peer_loads.replace(report_of_state(state), 0)

    def cost(self, name):
        """Return the cost of a request at a server."""
        return self.loads[name].cost(make_demand(NOW_MS), NOW_MS)

    def test_reported_server_avoided(self):
        """Guards against each entry trying a server that peers found unreachable."""
        self.report('s1')
        self.assertGreater(self.cost('s1'), self.cost('s2'))

    def test_report_withdrawn(self):
        """The cost of a server returns to normal once the peer reaches it."""
        self.report('s1')
        self.report()
        self.assertEqual(self.cost('s1'), self.cost('s2'))

    def test_silent_peer(self):
        """Guards against counting reports of a peer that is gone."""
        self.report('s1')
        self.peer_loads.keep_only(set())
        self.assertEqual(self.cost('s1'), self.cost('s2'))

    def test_own_success(self):
        """Guards against avoiding a reachable server due to a partitioned peer."""
        self.report('s1')
        self.loads['s1'].on_success(NOW_MS)
        self.assertEqual(self.cost('s1'), self.cost('s2'))

    def test_failure_reported(self):
        """A failure is reported for a limited time and until the next success."""
        load: ServerLoad = self.loads['s1']
        self.assertFalse(load.is_recently_unreachable(NOW_MS))
        load.on_unreachable(NOW_MS)
        self.assertTrue(load.is_recently_unreachable(NOW_MS + 1))
        self.assertFalse(load.is_recently_unreachable(NOW_MS + UNREACHABLE_REPORT_MS))
        load.on_success(NOW_MS + 1)
        self.assertFalse(load.is_recently_unreachable(NOW_MS + 2))
