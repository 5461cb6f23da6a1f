"""Test that the requests of all entries never exceed the memory of a model server.

The pattern is a few very large requests: a server with free slots runs out of memory
with them, and crashes.
"""

import unittest

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.callers.body_budget import MAX_HELD_BYTES, max_held_bytes
from marjoramfall.gateway.model import Service
from marjoramfall.gateway.peers.group_digest import sum_uses
from marjoramfall.gateway.peers.peer_state import ServerUse
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.server_memory import (
    INITIAL_MEAN_TOKENS,
    MemoryRule,
    ServerMemory,
)
from marjoramfall.gateway.servers.service_queue import (
    NoServerError,
    ServiceQueue,
    Waiter,
)
from tests.gateway_fakes import MODEL, make_demand, make_load, make_state

MEMORY_TOKENS = 10_000
SLOTS = 6


def make_service(memory_tokens=MEMORY_TOKENS):
    """Return a service of model servers with a memory."""
    return Service(
        MODEL,
        max_connections=0,
        is_model=True,
        tokens_per_event=1,
        memory_tokens=memory_tokens,
    )


class OldServerUse(msgspec.Struct, array_like=True):
    """Hold the report of a version that does not count memory."""

    server_id: str
    running: int
    pending_prefill_tokens: int


class MemoryCase(unittest.TestCase):
    """Assign requests to one server with a memory."""

    def setUp(self):
        self.memory = ServerMemory()
        self.load = make_load(service_id=MODEL, slots=SLOTS)
        self.use_service(make_service())
        self.memory.owned_ids = frozenset(('s1',))
        self.queue = ServiceQueue(
            PausedClock(),
            is_model=True,
            rules=PlacementRules((MemoryRule(self.memory),)),
        )
        self.queue.load_by_id['s1'] = self.load
        self.assigned = []

    def use_service(self, service):
        """Replace the service of the server."""
        self.memory.use_services({MODEL: service})
        self.memory.use_servers([self.load.server])

    def submit(self, prompt_tokens, max_output_tokens=0):
        """Submit a request and return whether it was assigned."""
        before = len(self.assigned)
        demand = make_demand(
            prompt_tokens=prompt_tokens,
            output_tokens=0,
            max_output_tokens=max_output_tokens,
        )
        self.queue.submit(Waiter(demand, self.assigned.append, self.fail))
        return len(self.assigned) > before


class TestOwnRequests(MemoryCase):
    """What this entry sends stays within the memory."""

    def test_waits_for_room(self):
        """Guards against a request whose largest output has no room."""
        self.assertTrue(self.submit(3000, 1000))
        self.assertFalse(self.submit(3000, 2000))
        self.queue.finish(self.assigned[0])
        self.assertEqual(len(self.assigned), 2)

    def test_larger_than_any_server(self):
        """Guards against a wait for room that no server will ever have."""
        with self.assertRaisesRegex(NoServerError, 'memory'):
            self.submit(MEMORY_TOKENS, 1)

    def test_as_large_as_a_server(self):
        """Guards against refusing what fits into an empty server."""
        self.assertTrue(self.submit(MEMORY_TOKENS - 100, 100))

    def test_small_requests(self):
        """Guards against asking for memory where requests can't fill it."""
        self.assertFalse(self.memory.is_scarce_for(make_demand(prompt_tokens=100)))
        self.assertTrue(self.memory.is_scarce_for(make_demand(prompt_tokens=3000)))

    def test_no_memory_stated(self):
        """Guards against a bound for services that state no memory."""
        self.use_service(make_service(0))
        for _ in range(SLOTS):
            self.assertTrue(self.submit(MEMORY_TOKENS))


class TestPeers(MemoryCase):
    """What peers hold counts, also where they don't say how much."""

    def test_reports(self):
        """Guards against two entries that fill the same server."""
        self.memory.replace('entry-2', [ServerUse('s1', 1, 0, 6000)])
        self.assertFalse(self.submit(3000))
        self.memory.replace('entry-2', [ServerUse('s1', 1, 0, 1000)])
        self.queue.assign()
        self.assertEqual(len(self.assigned), 1)

    def test_silent_peer(self):
        """Guards against counting for ever what a lost peer had sent."""
        self.memory.replace('entry-2', [ServerUse('s1', 1, 0, 9000)])
        self.memory.keep_only(set())
        self.assertEqual(self.memory.held_tokens(self.load), 0)

    def test_plain_requests(self):
        """Guards against a failure over reports of requests that hold nothing."""
        for source in ('entry-2', 'entry-3'):
            self.memory.replace(source, [ServerUse('s1', 1, 0, 0)])
        self.memory.replace('entry-2', [])
        self.memory.replace('entry-3', [ServerUse('s1', 1, 0, 5)])
        self.assertEqual(self.memory.held_tokens(self.load), 5)

    def test_report_without_memory(self):
        """Guards against taking the requests of an older version for nothing."""
        self.memory.replace('entry-2', [ServerUse('s1', 2, 0)])
        held = self.memory.held_tokens(self.load)
        self.assertEqual(held, 2 * INITIAL_MEAN_TOKENS)
        self.memory.replace('entry-2', [])
        self.assertEqual(self.memory.held_tokens(self.load), 0)

    def test_server_of_another_group(self):
        """Guards against filling a server whose own group reports late."""
        self.memory.owned_ids = frozenset()
        self.assertTrue(self.submit(4000))
        self.assertFalse(self.submit(2000))


class TestMessages(unittest.TestCase):
    """Versions with and without memory read each other's reports."""

    def test_both_ways(self):
        """Guards against a datagram that the other version rejects."""
        encoded = msgspec.msgpack.encode(ServerUse('s1', 1, 5, 700))
        old = msgspec.msgpack.decode(encoded, type=OldServerUse)
        self.assertEqual(old.pending_prefill_tokens, 5)
        encoded = msgspec.msgpack.encode(OldServerUse('s1', 1, 5))
        new = msgspec.msgpack.decode(encoded, type=ServerUse)
        self.assertIsNone(new.held_tokens)

    def test_sums(self):
        """Guards against a sum that hides an entry which does not say."""
        known = make_state(uses=[ServerUse('s1', 1, 0, 700)])
        unknown = make_state('entry-3', uses=[ServerUse('s1', 1, 0)])
        self.assertEqual(sum_uses([known, known])[0].held_tokens, 1400)
        self.assertIsNone(sum_uses([known, unknown])[0].held_tokens)


class TestOwnMemory(unittest.TestCase):
    """What an entry holds of bodies fits into the memory of its VM."""

    def test_small_vm(self):
        """Guards against bodies that take all memory of a small VM."""
        self.assertLess(3 * max_held_bytes(60), 60_000_000)

    def test_usual_vms(self):
        """Guards against less room than before where memory suffices."""
        for memory_mb in (0, 202, 552):
            self.assertEqual(max_held_bytes(memory_mb), MAX_HELD_BYTES)
