"""Test how long requests that crash servers are refused, and by which entries."""

import unittest
from unittest.mock import patch

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.crashes.crash_evidence import CRASH_MEMORY_MS
from marjoramfall.gateway.crashes.crash_quarantine import (
    MAX_TRIAL_DELAY_FACTOR,
    TRIAL_INTERVAL_MS,
)
from marjoramfall.gateway.peers.peer_state import decode_state, encode_state
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from tests.gateway_fakes import MODEL, make_server, make_state
from tests.quarantine_case import QuarantineCase, make_call
from tests.scripted_backend import ScriptedBackend

POOL_MODULE = ConnectionPool.__module__


class TestRelease(QuarantineCase):
    """A refused part is served again once it is known to be sound."""

    def setUp(self):
        super().setUp()
        for own in ('own-0', 'own-1', 'own-2'):
            self.crash(make_call('crashing', own))

    def wait_for_trial(self):
        """Let the longest time pass until the next trial."""
        self.clock.advance_ms(TRIAL_INTERVAL_MS * MAX_TRIAL_DELAY_FACTOR)

    def test_served(self):
        """A complete response begun after the crashes clears the part."""
        self.serve('crashing', 'own-3')
        self.assertFalse(self.is_refused('crashing', 'own-4'))

    def test_served_before(self):
        """Guards against clearing a part by a response begun before the crash."""
        self.quarantine.on_served(make_call('crashing', 'own-3', first_byte_ms=1000))
        self.assertTrue(self.is_refused('crashing', 'own-4'))

    def test_trial(self):
        """Guards against refusing for ever, and against trying with many requests."""
        self.wait_for_trial()
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.assertTrue(self.is_refused('crashing', 'own-5', attempt_id='a-5'))
        # The request is checked again after its wait in the queue.
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))

    def test_trial_that_crashes(self):
        """Guards against a retry of the request that tried the part in vain."""
        self.wait_for_trial()
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.clock.advance_ms(50)
        self.crash(make_call('crashing', 'own-4'))
        self.assertTrue(self.is_refused('crashing', 'own-4', attempt_id='a-4', runs=1))
        self.assertTrue(self.is_refused('crashing', 'own-5', attempt_id='a-5'))

    def test_forgotten(self):
        """Crashes are forgotten after some minutes."""
        self.clock.advance_ms(CRASH_MEMORY_MS)
        self.crash(make_call('other', 'own-3'))
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.assertFalse(self.is_refused('crashing', 'own-5', attempt_id='a-5'))


class TestPeers(QuarantineCase):
    """The evidence of all entries counts at each of them."""

    def setUp(self):
        super().setUp()
        self.other = self.new_quarantine()

    def report(self, sender, receiver, *, is_full=False):
        """Send the evidence of an entry to another in a datagram."""
        report = sender.report(is_full=is_full)
        datagram = encode_state(make_state(crash_evidence=report))
        receiver.merge(decode_state(datagram).crash_evidence)

    def test_crashes_at_two_entries(self):
        """Guards against entries that each wait for a second crash of their own."""
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.crash(make_call('first', 'crashing', 'own-2'), quarantine=self.other)
        self.report(self.other, self.quarantine)
        self.report(self.quarantine, self.other)
        for quarantine in (self.quarantine, self.other):
            self.assertTrue(
                self.is_refused('x', 'crashing', 'own-3', quarantine=quarantine)
            )

    def test_one_crash_seen_twice(self):
        """Guards against counting one crash once for each entry that saw it."""
        server = make_server('i-1', service_id=MODEL)
        self.quarantine.on_crash(make_call('sound', 'own-1'), server)
        self.other.on_crash(make_call('sound', 'own-2'), server)
        self.report(self.other, self.quarantine)
        self.assertFalse(self.is_refused('sound', 'own-3'))

    def test_restarted_entry(self):
        """Guards against an entry that forgets at its restart what crashes servers."""
        for own in ('own-1', 'own-2'):
            self.crash(make_call('crashing', own))
        for _ in range(5):
            self.quarantine.report(is_full=False)
        restarted = self.new_quarantine()
        self.report(self.quarantine, restarted, is_full=True)
        third = self.new_quarantine()
        self.report(restarted, third, is_full=True)
        self.assertTrue(self.is_refused('crashing', 'own-3', quarantine=third))

    def test_served_at_peer(self):
        """Guards against refusing a part that another entry has served since."""
        for own in ('own-1', 'own-2'):
            self.crash(make_call('sound', own))
        self.report(self.quarantine, self.other)
        self.serve('sound', 'own-3', quarantine=self.other)
        self.report(self.other, self.quarantine, is_full=True)
        self.assertFalse(self.is_refused('sound', 'own-4'))

    def test_old_peer(self):
        """A state of a version without evidence is read."""
        state = msgspec.msgpack.decode(encode_state(make_state()))
        decoded = decode_state(msgspec.msgpack.encode(state[:-1]))
        self.assertIsNone(decoded.crash_evidence)


class TestCrashCheck(unittest.TestCase):
    """A crash is told apart from a lost connection."""

    def setUp(self):
        self.pool = ConnectionPool(PausedClock(), connect_timeout_ms=50)

    def test_crashed(self):
        """No process listens any more."""
        backend = ScriptedBackend()
        backend.stop()
        self.assertTrue(self.pool.is_refused('i-1', backend.address))

    def test_running(self):
        """Guards against blaming a prompt for a connection that was reset."""
        backend = ScriptedBackend(lambda exchange: None)
        self.addCleanup(backend.stop)
        self.assertFalse(self.pool.is_refused('i-1', backend.address))

    def test_unreachable(self):
        """Guards against blaming a prompt for a partition of the network."""
        with patch(f'{POOL_MODULE}.BackendConnection', side_effect=NotReachedError):
            self.assertFalse(self.pool.is_refused('i-1', '127.0.0.1:1'))
