"""Test how an entry that starts again learns the levels of limits from its peers."""

import unittest

import msgspec
from gevent import socket, spawn

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway.level_learning import LEARNING_MS
from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peers.peer_exchange import PeerExchange
from marjoramfall.gateway.peers.peer_state import (
    LimitLevel,
    LimitUse,
    PeerState,
    decode_state,
    encode_state,
)
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.backend_connection import split_address
from marjoramfall.gateway.shared_limits import SharedLimits
from tests.gateway_fakes import make_state, new_registry
from tests.test_peer_exchange import QuietListener
from tests.test_planned_stop import free_address

TEAM = Team('tide', 1, 1000, 500, counts_tokens=True, plain_tokens=200)
TOLERANCE = 100
PEER_UPTIME_MS = 10_000
ANSWER_TIMEOUT_S = 5


class TestLearning(unittest.TestCase):
    """A started entry takes over a level, and counts only what it doesn't contain."""

    def setUp(self):
        self.limits = self.started()
        self.limit = self.limits.find(TEAM)

    def started(self, *, starts_full=False):
        """Return the limits of an entry that has started."""
        limits = SharedLimits(
            tolerance_share=0, tolerance=TOLERANCE, starts_full=starts_full
        )
        limits.set_teams({'tide': TEAM}, 0)
        return limits

    def report(
        self,
        level,
        now_ms,
        *,
        vm='entry-2',
        used=5000,
        peer_uptime_ms=PEER_UPTIME_MS,
        **withheld,
    ):
        """Let a peer report the level and its own use."""
        state = make_state(
            vm,
            uptime_ms=peer_uptime_ms,
            limit_uses=[LimitUse('tide', used)],
            has_all_limits=True,
            limit_levels=None
            if level is None
            else [LimitLevel('tide', level, **withheld)],
        )
        self.limits.add_state(state, now_ms, uptime_ms=now_ms)

    def test_unknown(self):
        """Guards against spending a tolerance that may be used up already."""
        self.assertFalse(self.limit.try_use(1))
        self.assertEqual(self.limits.levels(0), [])
        self.limit.refill(50, 0)
        self.assertTrue(self.limit.try_use(50))
        self.assertFalse(self.limit.try_use(1))

    def test_undiscovered_peers(self):
        """Guards against an entry that admits nothing until it has heard the others."""
        self.limit.refill(0, 0.9)
        self.assertAlmostEqual(self.limit.available, 0)
        self.limit.refill(0, 0)
        self.assertAlmostEqual(self.limit.available, 0)

    def test_taken_over(self):
        """Guards against a wait for what peers know to be unused, and own use lost."""
        self.limit.use(30)
        self.report(400, 10)
        self.assertEqual(self.limit.level, 370)
        self.assertEqual(self.limits.levels(10), [LimitLevel('tide', 370)])

    def test_share_withheld(self):
        """Guards against losing the part of a level that is withheld at first."""
        self.limit.refill(10, 0.5)
        self.report(400, 10)
        self.assertEqual(self.limit.available, 200 + TOLERANCE / 2)
        self.limit.refill(10, 0)
        self.assertEqual(self.limit.available, 400 + TOLERANCE)

    def test_silent_peers(self):
        """Guards against spending or losing what a peer withholds for silent ones."""
        self.limit.refill(10, 0.5)
        self.report(-100, 10, withheld=300, reserved_share=0.5)
        self.assertEqual(self.limit.available, TOLERANCE / 2 - 100)
        self.limit.refill(10, 0)
        self.assertEqual(self.limit.available, 200 + TOLERANCE)

    def test_contained_use(self):
        """Guards against counting the use in a level again, or losing later use."""
        self.report(400, 10)
        self.report(None, 10, vm='entry-3')
        self.assertEqual(self.limit.level, 400)
        self.report(None, 10, vm='entry-3', used=5050)
        self.assertEqual(self.limit.level, 350)
        self.report(None, 20, vm='entry-4')
        self.assertEqual(self.limit.level, 350 + 10 - 5000 * 10 / PEER_UPTIME_MS)

    def test_corrected(self):
        """Guards against keeping the level of a peer that was paused just before."""
        self.report(400, 10)
        self.report(480, 10)
        self.report(400 - TOLERANCE, 10)
        self.assertEqual(self.limit.level, 400)
        self.report(399 - TOLERANCE, 10)
        self.assertEqual(self.limit.level, 399 - TOLERANCE)

    def test_running(self):
        """Guards against one entry with a wrong level that misleads those that run."""
        self.report(400, 10)
        self.report(-10_000, LEARNING_MS)
        self.assertEqual(self.limit.level, 500)
        self.limits = self.started(starts_full=True)
        self.report(-10_000, LEARNING_MS, used=0)
        self.assertEqual(self.limits.find(TEAM).level, 500)

    def test_first_start(self):
        """Guards against a full burst for each entry that starts after the first.

        The level of an entry that started later misleads nobody.
        """
        for peer_uptime_ms, level in ((5, 500), (PEER_UPTIME_MS, -10_000)):
            self.limits = self.started(starts_full=True)
            self.report(-10_000, 10, used=0, peer_uptime_ms=peer_uptime_ms)
            self.assertEqual(self.limits.find(TEAM).level, level)

    def test_nobody_knows(self):
        """Guards against levels that nobody reports after a kill of all entries."""
        self.report(None, LEARNING_MS, used=0)
        self.limit.refill(LEARNING_MS, 0)
        self.assertEqual(self.limit.level, 500)
        self.assertTrue(self.limits.levels(LEARNING_MS))


class TestDatagrams(unittest.TestCase):
    """Entries of this version and of the one before read each other's states."""

    def test_build_before(self):
        """Guards against a roll-out in which entries do not hear each other."""
        fields = [
            (field.name, field.type)
            for field in msgspec.structs.fields(PeerState)
            if field.name not in {'limit_levels', 'unlisted_work'}
        ]
        before = msgspec.defstruct('Before', fields, array_like=True)
        state = make_state(limit_levels=[LimitLevel('tide', -5.5)])
        read = msgspec.msgpack.decode(encode_state(state), type=before)
        self.assertEqual(read.vm, state.vm)
        self.assertIsNone(decode_state(msgspec.msgpack.encode(read)).limit_levels)
        self.assertEqual(decode_state(encode_state(state)), state)

    def test_answered_start(self):
        """Guards against an entry that knows no levels for half a second."""
        clock = RuntimeClock()
        peers = PeerTable(clock, own_vm='entry-1', data_centre='dc-a')
        address = free_address()
        exchange = PeerExchange(
            address,
            peers,
            new_registry(clock),
            QuietListener(),
            clock,
            own_vm='entry-1',
        )
        receiving = spawn(exchange._receive_loop)
        self.addCleanup(receiving.kill)
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(peer.close)
        peer.bind(('127.0.0.1', 0))
        peer.settimeout(ANSWER_TIMEOUT_S)
        own_address = f'127.0.0.1:{peer.getsockname()[1]}'
        for incarnation in (1, 2):
            state = make_state(address=own_address, incarnation=incarnation)
            peer.sendto(encode_state(state), split_address(address))
            self.assertEqual(decode_state(peer.recv(65000)).vm, 'entry-1')
