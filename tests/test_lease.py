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
    """Keep rows; the next write may be slow, lost, late or refused."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.fault = ''
        self.delay_ms = 0
        self.late = []

    def read(self, table, key):
        """Return the row."""
        if self.fault == 'down':
            raise PlatformUnavailableError('down')
        return self.rows.get(key)

    def scan(self, table, *, prefix='', after='', limit=100):
        """Return nothing; leases are read one by one."""
        return []

    def transact(self, conditions, writes):
        """Apply the write as the planned fault says."""
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
    """Let three holders race for a lease under faults of the table service."""

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
        """Let time pass, as for a holder that is paused."""
        self.clock.advance_ms(duration_ms)

    @rule(
        fault=st.sampled_from(('slow', 'slow_answer', 'late', 'lost', 'down')),
        delay_ms=st.sampled_from((500, 2500, 4000)),
    )
    def plan_fault(self, fault, delay_ms):
        """Choose how the next write goes wrong."""
        self.table.fault = fault
        self.table.delay_ms = delay_ms

    @rule()
    def apply_late_writes(self):
        """Apply writes whose senders gave up waiting."""
        late = self.table.late
        self.table.late = []
        for conditions, writes in late:
            self.table.apply(conditions, writes)

    @rule(name=st.sampled_from(HOLDERS))
    def attempt(self, name):
        """Let one holder try to take or renew the lease."""
        self.leases[name].try_acquire()

    @rule(name=st.sampled_from(HOLDERS))
    def release(self, name):
        """Let one holder give the lease up."""
        self.leases[name].release()

    @invariant()
    def one_valid_holder(self):
        """No two holders may act at a time, and each token has one holder."""
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
    """Check single faults of leases and the rule for orders."""

    def setUp(self):
        self.clock = PausedClock()
        self.table = FaultyTable(self.clock)
        self.first = self.lease('a')

    def lease(self, holder):
        """Return a lease object of a holder."""
        return Lease(self.table, self.clock, name='m', holder=holder, ttl_ms=TTL_MS)

    def test_lost_answer(self):
        """Guards against a lease held by nobody who knows it."""
        self.table.fault = 'lost'
        self.assertFalse(self.first.try_acquire())
        self.assertTrue(self.first.try_acquire())

    def test_taken_after_holder_is_silent(self):
        """Guards against a lease that dies with its holder."""
        self.first.try_acquire()
        second = self.lease('b')
        self.assertFalse(second.try_acquire())
        self.first.try_acquire()
        self.assertFalse(second.try_acquire())
        self.clock.advance_ms(TTL_MS * 1.2)
        self.assertTrue(second.try_acquire())
        self.assertGreater(second.token, self.first.token)
        self.assertFalse(self.first.try_acquire())

    def test_answer_found_late(self):
        """Guards against counting a lost write from when it was found."""
        self.table.fault = 'lost'
        self.first.try_acquire()
        self.lease('b').try_acquire()
        self.clock.advance_ms(TTL_MS)
        self.table.fault = 'late'
        self.assertFalse(self.first.try_acquire())

    def test_late_release(self):
        """Guards against trust in a lease whose release is still under way."""
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

    def test_order_of_late_holder(self):
        """Guards against an order sent by a holder that was paused."""
        server = BackendServer('s', '127.0.0.1:1', 'a', 'v', checks_fencing=True)
        self.first.try_acquire()
        order = OrderKind.CHANGE_ROLE
        self.assertEqual(fencing_token(order, server, self.first), self.first.token)
        self.clock.advance_ms(TTL_MS)
        with self.assertRaises(LeaseNotHeldError):
            fencing_token(order, server, self.first)

    def test_order_to_server_without_fencing(self):
        """Guards against late harm at servers that ignore the token."""
        server = BackendServer('s', '127.0.0.1:1', 'a', 'v')
        self.first.try_acquire()
        self.assertTrue(fencing_token(OrderKind.LOAD_VERSION, server, self.first))
        for order in (OrderKind.UNLOAD, OrderKind.CHANGE_ROLE):
            with self.assertRaises(UnfencedOrderError):
                fencing_token(order, server, self.first)
