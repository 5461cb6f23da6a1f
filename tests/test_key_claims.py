"""Test key claims under concurrency, outages and lost replies."""

import unittest

from gevent import get_hub, joinall, sleep, spawn

from marjoramfall.clock import PausedClock
from marjoramfall.errors import MarjoramfallError, RunState
from marjoramfall.messages import ReleaseKey
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
    TableService,
)
from marjoramfall.request.key_claim import (
    AlreadyRunError,
    ClaimOutcome,
    InvalidKeyError,
    KeyInUseError,
    KeyOwnerUnavailableError,
    KeyStoreUnavailableError,
    ScopedKey,
)
from marjoramfall.request.key_claims import (
    IssuedKeyClaims,
    KeyOwnerClient,
    RoutedKeyClaims,
    TableKeyClaims,
)
from marjoramfall.request.key_registry import KeyRegistry
from marjoramfall.request.swap_batcher import (
    DEFERRED_DELAY_MS,
    MAX_BATCH_ROWS,
    SwapBatcher,
)
from tests.request_fakes import FakeClaims

NOT_DISPATCHED = ClaimOutcome(dispatched=False)
RECORDED = ClaimOutcome(dispatched=True, status=201, body=b'{}', recorded=True)


class MemoryTable(TableService):
    """Store rows in memory; each call takes its fault, if any, from `faults`."""

    def __init__(self):
        self.rows = {}
        self.transactions = 0
        self.reads = 0
        self.faults = iter(())

    def transact(self, conditions, writes):
        self.transactions += 1
        fault = next(self.faults, None)
        if fault == 'down':
            raise PlatformUnavailableError(fault)
        sleep(0)
        applied = all(self.rows.get(row.key) == row.equals for row in conditions)
        if applied:
            self.rows.update({row.key: row.value for row in writes})
        if fault == 'lost':
            raise PlatformAnswerLostError(fault)
        return applied

    def read(self, table, key):
        self.reads += 1
        if next(self.faults, None) == 'down':
            raise PlatformUnavailableError('down')
        return self.rows.get(key)

    def scan(self, table, *, prefix='', after='', limit=100):
        raise NotImplementedError


class YieldingClock(PausedClock):
    """Advance by each sleep and yield to other greenlets without waiting."""

    def sleep_ms(self, duration_ms):
        self.advance_ms(duration_ms)
        sleep(0)


class LocalKeyOwners(KeyOwnerClient):
    """Call the registries of other entries directly; can lose the replies."""

    def __init__(self, **registries):
        self.registries = registries
        self.loses_replies = False
        self.released = []

    def claim(self, owner, message):
        if owner not in self.registries:
            raise KeyOwnerUnavailableError('no such entry')
        reply = self.registries[owner].claim(message, 0)
        if self.loses_replies:
            raise KeyOwnerUnavailableError('no reply')
        return reply

    def release(self, owner, message: ReleaseKey):
        self.registries[owner].release(message)


def scoped_key(key='k', fingerprint='f'):
    """Return a key of the test team and service."""
    return ScopedKey(
        team_id='school', service_id='bookings', key=key, fingerprint=fingerprint
    )


class TableKeyClaimsTestCase(unittest.TestCase):
    """Let two entries claim keys in one table."""

    def setUp(self):
        self.table = MemoryTable()
        self.clock = PausedClock()
        self.entries = [TableKeyClaims(self.table, self.clock, name) for name in 'ab']

    def claim_results(self, claims):
        """Make all claims concurrently; return an error code or `granted` for each."""
        # The event loop counts the timeout from its last run, which may be long ago
        # after a test that does not yield.
        get_hub().loop.update_now()
        workers = [spawn(self.claim_result, *claim) for claim in claims]
        joinall(workers, timeout=5)
        return [worker.value for worker in workers]

    def claim_result(self, entry, key, claim_id):
        try:
            entry.claim(scoped_key(key), claim_id)
        except MarjoramfallError as error:
            return error.code
        return 'granted'


class TableKeyClaimsTest(TableKeyClaimsTestCase):
    """Test claims in the table service under concurrency and faults."""

    def test_same_instant(self):
        """Guards against granting a key to two entries that claim it concurrently."""
        claims = [
            (entry, f'k{index}', f'{name}{index}')
            for index in range(30)
            for name, entry in zip('ab', self.entries, strict=True)
        ]
        results = self.claim_results(claims)
        self.assertEqual(results.count('granted'), 30)
        self.assertEqual(results.count('already_dispatched'), 30)

    def test_same_batch(self):
        """Guards against two swaps of the same row in one transaction."""
        results = self.claim_results(
            [(self.entries[0], 'k', f'c{n}') for n in range(5)]
        )
        self.assertEqual(results.count('granted'), 1)
        self.assertEqual(results.count('already_dispatched'), 4)

    def test_batch(self):
        """Guards against one transaction per claim and a failed batch that fails all.

        A transaction fails as a whole if one of its keys is already claimed.
        """
        claims = [(self.entries[0], f'k{n}', f'c{n}') for n in range(MAX_BATCH_ROWS)]
        self.assertEqual(set(self.claim_results(claims)), {'granted'})
        self.assertEqual(self.table.transactions, 1)
        repeated_claims = [(self.entries[1], 'k0', 'd0')]
        repeated_claims += [(self.entries[1], f'm{n}', f'd{n}') for n in range(1, 32)]
        results = self.claim_results(repeated_claims)
        self.assertEqual(results.count('granted'), 31)
        self.assertLess(self.table.transactions, 15)

    def test_deferred_release(self):
        """Guards against a separate transaction for each deferred release."""
        entry = TableKeyClaims(self.table, YieldingClock(), 'c')
        entry.claim(scoped_key('k1'), 'c1')
        entry.release(scoped_key('k1'), 'c1', ClaimOutcome(dispatched=True, status=200))
        for _ in range(10):
            sleep(0)
        entry.claim(scoped_key('k2'), 'c2')
        self.assertTrue(entry.drain(5000))
        self.assertEqual(self.table.transactions, 2)

    def test_urgent_release(self):
        """Guards against returning before a recorded response is in the table."""
        entry = TableKeyClaims(self.table, YieldingClock(), 'c')
        entry.claim(scoped_key('k1'), 'c1')
        entry.release(scoped_key('k1'), 'c1', RECORDED)
        self.assertEqual(self.table.transactions, 2)

    def test_recorded_response(self):
        """Guards against a key repeated at another entry that misses its response."""
        self.entries[0].claim(scoped_key(), 'c1')
        self.entries[0].release(scoped_key(), 'c1', RECORDED)
        self.assertTrue(self.entries[0].drain(5000))
        self.assertLess(self.clock.monotonic_ms(), DEFERRED_DELAY_MS)
        with self.assertRaises(AlreadyRunError) as caught:
            self.entries[1].claim(scoped_key(), 'c2')
        self.assertEqual(caught.exception.outcome.body, b'{}')

    def test_store_down(self):
        """Guards against a dispatch without a claim while the table service is down."""
        self.table.faults = iter(('down',))
        with self.assertRaises(KeyStoreUnavailableError) as caught:
            self.entries[0].claim(scoped_key(), 'c1')
        self.assertIs(caught.exception.actual_run_state, RunState.NOT_RUN)

    def test_lost_claim_is_released(self):
        """Guards against a key that stays claimed after the claim failed in an outage.

        The insertion is applied but its answer is lost, and the next read fails.
        """
        self.table.faults = iter(('lost', 'down', 'down', 'lost'))
        with self.assertRaises(KeyStoreUnavailableError):
            self.entries[0].claim(scoped_key(), 'c1')
        self.assertTrue(self.entries[0].drain(5000))
        self.entries[1].claim(scoped_key(), 'c2')

    def test_too_many_waiting(self):
        """Guards against an unbounded queue of swaps if the table service is slow."""
        batcher = SwapBatcher(self.table, self.clock, max_pending=2)
        entry = TableKeyClaims(self.table, self.clock, 'c', batcher=batcher)
        results = self.claim_results([(entry, f'k{n}', f'c{n}') for n in range(4)])
        self.assertEqual(results.count('key_store_unavailable'), 2)


class IssuedKeyClaimsTest(unittest.TestCase):
    """Test claims of issued keys at the entry that issued them and at another."""

    def setUp(self):
        clock = PausedClock(start_wall_ms=0)
        self.registry = KeyRegistry('a')
        self.key = scoped_key(self.registry.issue('school', 0))
        self.owners = LocalKeyOwners(a=self.registry)
        self.store = FakeClaims()
        local = IssuedKeyClaims(self.registry, self.owners, clock, 'a')
        remote = IssuedKeyClaims(KeyRegistry('b'), self.owners, clock, 'b')
        self.local = RoutedKeyClaims(local, self.store)
        self.remote = RoutedKeyClaims(remote, self.store)

    def test_other_entry(self):
        """Guards against granting an issued key at two entries."""
        self.remote.claim(self.key, 'b1')
        with self.assertRaises(KeyInUseError):
            self.local.claim(self.key, 'a1')
        self.remote.release(self.key, 'b1', RECORDED)
        with self.assertRaises(AlreadyRunError):
            self.local.claim(self.key, 'a2')

    def test_lost_reply(self):
        """Guards against a key that stays claimed because the reply was lost."""
        self.owners.loses_replies = True
        with self.assertRaises(KeyOwnerUnavailableError) as caught:
            self.remote.claim(self.key, 'b1')
        self.assertIs(caught.exception.actual_run_state, RunState.UNKNOWN)
        self.local.claim(self.key, 'a1')

    def test_malformed_issued_key(self):
        """Guards against treating a malformed issued key as a caller-made one."""
        with self.assertRaises(InvalidKeyError):
            self.local.claim(scoped_key('ek1~nonsense'), 'a1')
        self.assertEqual(self.store.claimed, [])
