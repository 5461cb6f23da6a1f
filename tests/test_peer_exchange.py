"""Test how an entry that is behind catches up from its peers.

The pattern is a restart during an outage of the store, while one of the peers was
cut off and still holds a key that was withdrawn.
"""

import unittest

import msgspec
from gevent import sleep, spawn

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway.peers.peer_exchange import PeerExchange, PeerListener
from marjoramfall.gateway.peers.peer_table import PeerTable
from tests.gateway_fakes import make_config, make_state, new_registry
from tests.scripted_backend import ScriptedBackend
from tests.test_planned_stop import free_address

STALE_VERSION = 5
NEWEST_VERSION = 9


class QuietListener(PeerListener):
    """Ignore the states of peers and follow no store."""

    def own_state(self, *, with_speeds, with_all_limits):
        return make_state('entry-1')

    def own_digest(self, scope, *, with_all_limits):
        raise NotImplementedError

    def uptime_ms(self):
        return 0

    def on_peer_state(self, state):
        pass

    def on_digest(self, digest):
        pass

    def on_relay_change(self):
        pass

    def follows_store(self):
        return False

    def on_stale_watch(self):
        pass


class SnapshotScript:
    """Answer with the snapshot of an entry that knows a version."""

    def __init__(self, version):
        registry = new_registry(RuntimeClock())
        registry.put_config(make_config(version), version)
        registry.set_config_as_of(version)
        self._body = msgspec.msgpack.encode(registry.snapshot())

    def __call__(self, exchange):
        exchange.respond(self._body)


class TestCatchUp(unittest.TestCase):
    """An entry takes over what the most advanced peer knows."""

    def setUp(self):
        self.clock = RuntimeClock()
        self.registry = new_registry(self.clock)
        self.peers = PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a')
        exchange = PeerExchange(
            free_address(),
            self.peers,
            self.registry,
            QuietListener(),
            self.clock,
            own_vm='entry-1',
        )
        self.loop = spawn(exchange._catch_up_loop)
        self.addCleanup(self.loop.kill)

    def add_peer(self, vm, version):
        """Add a peer that knows a version of the configuration."""
        backend = ScriptedBackend(SnapshotScript(version))
        self.addCleanup(backend.stop)
        self.peers.update(
            make_state(
                vm,
                address=backend.address,
                config_version=version,
                config_revision=version,
                servers_revision=0,
            )
        )
        return backend

    def test_newest_peer(self):
        """Guards against a withdrawn key in use again after a restart."""
        stale = [self.add_peer(f'entry-{n}', STALE_VERSION) for n in range(2, 6)]
        self.add_peer('entry-9', NEWEST_VERSION)
        for _ in range(100):
            if self.registry.config is not None:
                break
            sleep(0.02)
        self.assertEqual(self.registry.config.version, NEWEST_VERSION)
        self.assertFalse(any(backend.heads for backend in stale))
