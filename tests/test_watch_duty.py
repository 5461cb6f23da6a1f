"""Test which entries follow the store for the others.

The pattern is a store that is priced by the call, refuses some VMs, and fails for
all, while entries that follow it are killed.
"""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.peers.watch_duty import REFUSAL_MEMORY_MS, WatchDuty
from tests.gateway_fakes import make_state

OLD_MS = 60_000


class TestWatchDuty(unittest.TestCase):
    """The first entries that reach the store follow it, and others replace them."""

    def setUp(self):
        self.clock = PausedClock()
        self.uptime_ms = OLD_MS
        self.vms = [f'entry-{number}' for number in range(1, 7)]
        self.table_by_vm = {
            vm: PeerTable(self.clock, own_vm=vm, data_centre='dc-a') for vm in self.vms
        }
        self.duty_by_vm = {vm: self.new_duty(vm) for vm in self.vms}
        self.sequence = 0
        self.exchange(self.vms)

    def new_duty(self, vm, uptime_ms=None, *, needs_state=False):
        """Return the duty of an entry."""
        return WatchDuty(
            self.table_by_vm[vm],
            own_vm=vm,
            uptime_ms=lambda: self.uptime_ms if uptime_ms is None else uptime_ms,
            on_change=lambda: None,
            needs_state=lambda: needs_state,
        )

    def exchange(self, vms, **changes):
        """Let the entries tell each other their states."""
        self.sequence += 1
        for vm in vms:
            is_unreachable = not self.duty_by_vm[vm].is_store_reachable
            fields = {'uptime_ms': OLD_MS, 'is_store_unreachable': is_unreachable}
            state = make_state(vm, self.sequence, **{**fields, **changes})
            for receiver in set(vms) - {vm}:
                self.table_by_vm[receiver].update(state)

    def due(self, vms=None):
        """Return the VMs that follow the store."""
        return [vm for vm in vms or self.vms if self.duty_by_vm[vm].is_due()]

    def test_few(self):
        """Guards against every entry following the store."""
        self.assertEqual(self.due(), ['entry-1', 'entry-2'])

    def test_killed(self):
        """Guards against changes missed after those following the store are killed."""
        self.clock.advance_ms(2000)
        survivors = self.vms[2:]
        self.exchange(survivors)
        self.assertEqual(self.due(survivors), ['entry-3', 'entry-4'])

    def test_leaving(self):
        """Guards against leaving the duty to entries that stop."""
        for vm in self.vms[2:]:
            for leaving in self.vms[:2]:
                state = make_state(leaving, 9, uptime_ms=OLD_MS, is_leaving=True)
                self.table_by_vm[vm].update(state)
        self.assertEqual(self.due(self.vms[2:]), ['entry-3', 'entry-4'])

    def test_refused(self):
        """Guards against a store that refuses just the entries that follow it."""
        for vm in self.vms[:2]:
            self.duty_by_vm[vm].set_store_reachable(is_reachable=False)
        self.exchange(self.vms)
        self.assertEqual(self.due(), self.vms[:4])

    def test_refused_in_turn(self):
        """Guards against refused entries that take the duty in turn, for ever."""
        due = []
        for _ in range(12):
            self.clock.advance_ms(100)
            self.uptime_ms += 100
            due = self.due()
            for vm in due:
                is_reachable = vm in {'entry-1', 'entry-6'}
                self.duty_by_vm[vm].set_store_reachable(is_reachable=is_reachable)
            self.exchange(self.vms)
        self.assertEqual(due, ['entry-1', 'entry-2', 'entry-6'])

    def test_tried_again(self):
        """Guards against an entry that never follows the store again."""
        self.duty_by_vm['entry-3'].set_store_reachable(is_reachable=False)
        self.due()
        self.assertFalse(self.duty_by_vm['entry-3'].is_store_reachable)
        self.uptime_ms += REFUSAL_MEMORY_MS
        self.due()
        self.assertTrue(self.duty_by_vm['entry-3'].is_store_reachable)

    def test_outage(self):
        """Guards against an outage whose end nobody notices."""
        for vm in self.vms:
            self.duty_by_vm[vm].set_store_reachable(is_reachable=False)
        self.exchange(self.vms)
        self.assertEqual(self.due(), self.vms)
        reserves = [vm for vm in self.vms if self.duty_by_vm[vm].is_reserve()]
        self.assertEqual(reserves, self.vms[2:])

    def test_just_started(self):
        """Guards against a duty that moves to each entry that starts.

        One that knows nothing yet reads the store at once, as it refuses callers
        until then.
        """
        self.assertFalse(self.new_duty('entry-1', uptime_ms=100).is_due())
        restarted = self.new_duty('entry-6', uptime_ms=0, needs_state=True)
        self.assertTrue(restarted.is_due())
        self.exchange(self.vms[:1], uptime_ms=1000)
        state = make_state('entry-1', 9, uptime_ms=1000)
        for vm in self.vms[1:]:
            self.table_by_vm[vm].update(state)
        self.assertEqual(self.due(self.vms[1:]), ['entry-2', 'entry-3'])

    def test_cut_off(self):
        """Guards against an entry that waits for peers it cannot hear."""
        self.clock.advance_ms(2000)
        self.assertEqual(self.due(), self.vms)
