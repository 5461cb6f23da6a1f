"""Test that at most one holder has a lease, and which orders it may send."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramfall.clock import PausedClock
from marjoramfall.model import BackendServer
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
    TableService,
)
from marjoramfall.version.fenced_order import (
    LeaseNotHeldError,
    OrderKind,
    UnfencedOrderError,
    fencing_token,
)
from marjoramfall.version.lease import Lease

TTL_MS = 3000
HOLDERS = ('a', 'b', 'c')


class FaultyTable(TableService):
    """Keep rows in memory and inject a fault into a read or the next write."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.fault = ''
        self.delay_ms = 0
        self.late = []

    def read(self, table, key):
        """Return the row, or fail if the service is down."""
        if self.fault == 'down':
            raise PlatformUnavailableError('down')
        return self.rows.get(key)

    def scan(self, table, *, prefix='', after='', limit=100):
        """Return nothing; leases are read one by one."""
        return []

    def transact(self, conditions, writes):
        """Apply the write with the planned fault."""
        fault = self.fault
        self.fault = ''
        if fault == 'slow':
            self.clock.advance_ms(self.delay_ms)
        if fault == 'late':
            self.late.append((conditions, writes))
            raise PlatformAnswerLostError('late')
        applied = self.apply(conditions, writes)
        if fault == 'slow_answer':
            self.clock.advance_ms(self.delay_ms)
        if fault == 'lost':
            raise PlatformAnswerLostError('lost')
        return applied

    def apply(self, conditions, writes):
        """Apply the write if its condition holds."""
        if self.rows.get(conditions[0].key) != conditions[0].equals:
            return False
        self.rows[writes[0].key] = writes[0].value
        return True


class LeaseMachine(RuleBasedStateMachine):
    """Let three holders compete for a lease while the table service fails."""

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.table = FaultyTable(self.clock)
        self.leases = {
            name: Lease(self.table, self.clock, name='m', holder=name, ttl_ms=TTL_MS)
            for name in HOLDERS
        }
        self.holder_by_token = {}

    @rule(duration_ms=st.sampled_from((100, 1000, 2000, 3400)))
    def advance(self, duration_ms):
        """Let time pass without a renewal, as if the holders were paused."""
        self.clock.advance_ms(duration_ms)

    @rule(
        fault=st.sampled_from(('slow', 'slow_answer', 'late', 'lost', 'down')),
        delay_ms=st.sampled_from((500, 2500, 4000)),
    )
    def plan_fault(self, fault, delay_ms):
        """Choose the fault of the table service."""
        self.table.fault = fault
        self.table.delay_ms = delay_ms

    @rule()
    def apply_late_writes(self):
        """Apply writes whose senders no longer wait for the answer."""
        late = self.table.late
        self.table.late = []
        for conditions, writes in late:
            self.table.apply(conditions, writes)

    @rule(name=st.sampled_from(HOLDERS))
    def attempt(self, name):
        """Let one holder try to acquire or renew the lease."""
        self.leases[name].try_acquire()

    @rule(name=st.sampled_from(HOLDERS))
    def release(self, name):
        """Let one holder release the lease."""
        self.leases[name].release()

    @invariant()
    def one_valid_holder(self):
        """At most one lease is valid; tokens never fall and have one holder each."""
        valid = [name for name in HOLDERS if self.leases[name].is_valid()]
        assert len(valid) <= 1, valid
        for name in valid:
            token = self.leases[name].token
            assert token >= max(self.holder_by_token, default=0)
            assert self.holder_by_token.setdefault(token, name) == name


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(
    max_examples=300,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)


class LeaseTest(unittest.TestCase):
    """Check leases under single faults, and which orders may be sent."""

    def setUp(self):
        self.clock = PausedClock()
        self.table = FaultyTable(self.clock)
        self.first = self.lease('a')

    def lease(self, holder):
        """Return the lease object of a holder."""
        return Lease(self.table, self.clock, name='m', holder=holder, ttl_ms=TTL_MS)

    def test_lost_answer(self):
        """Guards against a holder that never learns that it has the lease.

        Its write was applied but the answer was lost; the next read shows it.
        """
        self.table.fault = 'lost'
        self.assertFalse(self.first.try_acquire())
        self.assertTrue(self.first.try_acquire())

    def test_taken_over_after_expiry(self):
        """Guards against a lease that nobody can acquire after its holder failed."""
        self.first.try_acquire()
        second = self.lease('b')
        self.assertFalse(second.try_acquire())
        self.first.try_acquire()
        self.assertFalse(second.try_acquire())
        self.clock.advance_ms(TTL_MS * 1.2)
        self.assertTrue(second.try_acquire())
        self.assertGreater(second.token, self.first.token)
        self.assertFalse(self.first.try_acquire())

    def test_lost_answer_found_late(self):
        """Guards against a lease that is valid for longer than its time to live.

        The answer to a write was lost and a later read finds the write. The
        time to live counts from before the write was sent, not from the read.
        """
        self.table.fault = 'lost'
        self.first.try_acquire()
        self.lease('b').try_acquire()
        self.clock.advance_ms(TTL_MS)
        self.table.fault = 'late'
        self.assertFalse(self.first.try_acquire())

    def test_late_release(self):
        """Guards against a lease that stays valid although it was released.

        The release is applied after its holder has tried to acquire it again.
        """
        self.first.try_acquire()
        self.table.fault = 'late'
        self.first.release()
        self.table.fault = 'late'
        self.first.try_acquire()
        for conditions, writes in self.table.late:
            self.table.apply(conditions, writes)
        second = self.lease('b')
        self.assertTrue(second.try_acquire())
        self.assertFalse(self.first.is_valid())

    def test_order_after_expiry(self):
        """Guards against an order of a holder whose lease expired in a pause."""
        server = BackendServer('s', '127.0.0.1:1', 'a', 'v', checks_fencing=True)
        self.first.try_acquire()
        order = OrderKind.CHANGE_ROLE
        self.assertEqual(fencing_token(order, server, self.first), self.first.token)
        self.clock.advance_ms(TTL_MS)
        with self.assertRaises(LeaseNotHeldError):
            fencing_token(order, server, self.first)

    def test_order_to_server_without_fencing(self):
        """Guards against unsafe orders to a server that ignores fencing tokens.

        An order that arrives late may revert one of a later lease holder.
        """
        server = BackendServer('s', '127.0.0.1:1', 'a', 'v')
        self.first.try_acquire()
        self.assertTrue(fencing_token(OrderKind.LOAD_VERSION, server, self.first))
        for order in (OrderKind.UNLOAD, OrderKind.CHANGE_ROLE):
            with self.assertRaises(UnfencedOrderError):
                fencing_token(order, server, self.first)
