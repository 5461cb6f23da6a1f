"""Test how many idle connections an entry keeps."""

import unittest
from itertools import repeat

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.servers.connection_pool import (
    ConnectionPool,
    max_idle_connections,
)


class FakeConnection:
    """Replace an idle connection that is open."""

    address = 'a:1'
    idle_timeout_ms = 4000

    def __init__(self):
        self.idle_since_ms = 0
        self.is_closed = False

    def close(self):
        """Record that the connection was closed."""
        self.is_closed = True

    def is_reusable(self):
        """Return that neither data nor EOF arrived."""
        return True


class TestMaxIdleConnections(unittest.TestCase):
    """All entries together stay below the connection limit of a server."""

    def test_few_entries(self):
        """Guards against needless new connections when there are few entries."""
        self.assertGreaterEqual(max_idle_connections(110, slots=6, entry_count=9), 6)

    def test_many_entries(self):
        """Guards against resets by a server that holds too many connections."""
        for entry_count in (30, 100, 300, 1000):
            kept = max_idle_connections(370, slots=5, entry_count=entry_count)
            self.assertLess(kept * entry_count + 5, 370)

    def test_unlimited(self):
        """Guards against no idle connections if the server has no limit."""
        self.assertEqual(max_idle_connections(0, slots=5, entry_count=300), 5)


class TestConnectionPool(unittest.TestCase):
    """Idle connections beyond the limit are closed."""

    def setUp(self):
        self.pool = ConnectionPool(PausedClock(), connect_timeout_ms=100)
        self.connections = [new() for new in repeat(FakeConnection, 3)]

    def test_release_beyond_limit(self):
        """Guards against keeping a connection for every request of a burst."""
        self.pool.set_max_idle('s1', 2)
        for connection in self.connections:
            self.pool.release('s1', connection)
        self.assertEqual(sum(known.is_closed for known in self.connections), 1)
        self.assertIs(self.pool.acquire('s1', 'a:1'), self.connections[-1])

    def test_lowered_limit(self):
        """Guards against keeping connections that new entries need."""
        for connection in self.connections:
            self.pool.release('s1', connection)
        self.pool.set_max_idle('s1', 1)
        self.pool.close_expired()
        self.assertEqual(
            [known.is_closed for known in self.connections], [True, True, False]
        )
