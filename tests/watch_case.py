"""Follow a stand-in of the store with the watches of an entry."""

from unittest.mock import patch

from gevent import sleep

from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.peers.watch_duty import WatchDuty
from marjoramfall.gateway.registry import Registry
from marjoramfall.platform import watch as watch_module
from marjoramfall.platform.watch import OperatorWatch, ServerWatch
from tests.platform_records import CONFIG, SERVER
from tests.store_case import StoreCase

WAIT_STEP_S = 0.01
MAX_WAIT_STEPS = 400
POLL_MS = 300
LONG_POLL_MS = 60_000


def wait_until(condition):
    """Wait until the condition holds; return False after `MAX_STEPS` steps."""
    for _ in range(MAX_WAIT_STEPS):
        if condition():
            return True
        sleep(WAIT_STEP_S)
    return False


class WatchCase(StoreCase):
    """Follow a store with one configuration and one server."""

    def setUp(self):
        super().setUp()
        self.poll_ms = POLL_MS
        self.uptime_ms = 10_000
        patcher = patch.object(
            watch_module, 'choose_wait_ms', lambda rank: self.poll_ms
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.duty = WatchDuty(
            PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a'),
            own_vm='entry-1',
            uptime_ms=lambda: self.uptime_ms,
            on_change=lambda: None,
            needs_state=bool,
        )
        self.store.put('op', 'config', CONFIG)
        self.store.put('servers', 'i-1', SERVER)
        self.registry = Registry(
            self.clock, lambda config: None, lambda: None, lambda order: None
        )
        self.watches = (
            self.new_watch(OperatorWatch),
            self.new_watch(ServerWatch),
        )
        for watch in self.watches:
            watch.start()
            self.addCleanup(watch.stop)
        self.assertTrue(
            wait_until(lambda: self.registry.config and self.registry.servers)
        )

    def new_watch(self, kind):
        """Return a watch of the given class that polls with `poll_ms`."""
        return kind(
            self.new_client(),
            self.registry,
            self.clock,
            duty=self.duty,
        )

    def reaches_version(self, version):
        """Wait for a version of the configuration; return whether it was applied."""
        return wait_until(lambda: self.registry.config.version == version)
