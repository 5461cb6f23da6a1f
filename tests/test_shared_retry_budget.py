"""Test the retry budget that all entries of a system share."""

import unittest
from dataclasses import replace

import msgspec

from marjoramfall.gateway.peers.group_digest import Scope
from marjoramfall.gateway.peers.peer_state import RetryUse
from marjoramfall.gateway.servers.retry_budget import RetryAsk, RetryBounds, RetryBudget
from marjoramfall.gateway.servers.retry_reports import (
    REPORT_SILENCE_MS,
    RetryReports,
    SharedRetryUse,
)
from tests.gateway_fakes import MODEL, make_state
from tests.group_simulation import RETRY_BOUNDS
from tests.retry_simulation import RetryNetwork, make_call

ENTRIES = 65
# A system with one group.
FEW_ENTRIES = 20
WAVES = 5
# More than the bound of the budget.
MANY_MOVES = 60
USE = RetryUse(MODEL, 10, 4)
MEMBER = SharedRetryUse(10, 4, reporters=1, entries=1)


def fields_before(message):
    """Return the struct of the build before, without the fields of this one."""
    names = message.__struct_fields__
    names = names[: names.index('retry_uses')]
    fields = [(name, type(getattr(message, name))) for name in names]
    return msgspec.defstruct('Before', fields, array_like=True)


class TestSharedRetryBudget(unittest.TestCase):
    """All entries spend from one budget, and stay within it."""

    def check_waves(self, count, *, least, old_count=0, killed_share=0, running=2):
        """Check what entries use that fail again and again."""
        network = RetryNetwork(count, old_count=old_count)
        for _ in range(WAVES):
            network.wave(running)
            network.run(500)
            network.replace_entries(killed_share)
        self.assertLessEqual(network.most_used(), 1)
        self.assertGreaterEqual(network.most_used(), least)

    def test_idle_entry(self):
        """Guards against a stream cut by an own share below one retry."""
        network = RetryNetwork(ENTRIES)
        for entry in network.entry_by_vm.values():
            entry.budget.on_request(network.clock.monotonic_ms())
        network.run(2000)
        self.assertTrue(entry.gate.try_retry(make_call()))
        use = entry.retry_budgets.others_use(MODEL, network.clock.monotonic_ms())
        self.assertEqual((use.reporters, use.requests), (ENTRIES - 1, ENTRIES - 1))

    def test_all_at_once(self):
        """Guards against entries that all spend the same rest at once."""
        for count in (FEW_ENTRIES, ENTRIES):
            with self.subTest(count):
                self.check_waves(count, running=10, least=0.7)

    def test_not_heard_yet(self):
        """Guards against the whole budget spent by each entry that knows no other."""
        network = RetryNetwork(FEW_ENTRIES)
        vms = list(network.entry_by_vm)
        network.entry_by_vm.clear()
        network.is_first_start = True
        for vm in vms:
            network.start(vm)
        for entry in network.entry_by_vm.values():
            entry.begin(10)
            entry.fail_all(is_begun=True)
        self.assertLessEqual(network.most_used(), 1)

    def test_replaced_entries(self):
        """Guards against retries forgotten with the entry that sent them."""
        for count in (FEW_ENTRIES, ENTRIES):
            with self.subTest(count):
                self.check_waves(count, killed_share=0.25, least=0.6)

    def test_build_before(self):
        """Guards against a share spent for entries that spend it by themselves."""
        for count in (FEW_ENTRIES, ENTRIES):
            with self.subTest(count):
                self.check_waves(
                    count, old_count=count // 4, killed_share=0.1, least=0.5
                )

    def test_cut(self):
        """Guards against both sides of a cut that spend the same rest."""
        network = RetryNetwork(ENTRIES)
        for number in range(WAVES):
            network.cut_data_centre = 'dc-b' if number in {1, 2, 3} else ''
            network.wave(2)
            network.run(500)
        self.assertLessEqual(network.most_used(), 1)

    def test_encoding(self):
        """Guards against datagrams that entries of the build before can't read."""
        entry = next(iter(RetryNetwork(ENTRIES).entry_by_vm.values()))
        entry.budget.on_request(entry.clock.monotonic_ms())
        for message in (
            entry.state(with_all_limits=True),
            entry.own_digest(Scope.GROUP, with_all_limits=True),
        ):
            self.assertEqual(message.retry_uses, [RetryUse(MODEL, 1, 0)])
            encoded = msgspec.msgpack.encode(message)
            before = msgspec.msgpack.decode(encoded, type=fields_before(message))
            self.assertEqual(before.vm, entry.vm)
            encoded = msgspec.msgpack.encode(before)
            decoded = msgspec.msgpack.decode(encoded, type=type(message))
            self.assertIsNone(decoded.retry_uses)


class TestRetryBudgetOfAll(unittest.TestCase):
    """One budget serves begun streams first, and does not grow."""

    def test_begun_first(self):
        """Guards against a rest that others have used up before begun streams."""
        budget = RetryBudget(RetryBounds(share=0, slack=10, window_ms=1000))
        for is_begun, allowed in ((False, 7), (True, 8)):
            ask = RetryAsk(is_begun=is_begun)
            for _ in range(allowed + 1):
                budget.decide(0, ask)
            self.assertEqual(budget.use(MODEL, 0).retries, allowed)

    def test_move_last(self):
        """Guards against moves for speed that leave nothing to what has failed."""
        budget = RetryBudget(RETRY_BOUNDS)
        ask = RetryAsk(is_begun=True, is_move=True)
        moves = [budget.decide(0, ask).is_allowed for _ in range(MANY_MOVES)]
        self.assertFalse(all(moves))
        self.assertTrue(budget.decide(0, RetryAsk()).is_allowed)

    def test_chance(self):
        """Guards against a rest allowed for sure that others may ask for as well."""
        for draw, is_allowed in ((0.3, True), (0.4, False)):
            budget = RetryBudget(RETRY_BOUNDS, lambda draw=draw: draw)
            ask = RetryAsk(2, MEMBER, running=79, is_begun=True)
            self.assertIs(budget.decide(0, ask).is_allowed, is_allowed)

    def test_waited(self):
        """Guards against a stream that others only might have failed with, refused."""
        bounds = RetryBounds(share=0, slack=60, window_ms=1000)
        budget = RetryBudget(bounds, draw=lambda: 0.99)
        others = SharedRetryUse(reporters=64, entries=64)
        ask = RetryAsk(entry_count=65, others=others, running=80, is_begun=True)
        self.assertFalse(budget.decide(0, ask).is_allowed)
        self.assertTrue(budget.decide(0, replace(ask, has_waited=True)).is_allowed)
        many = replace(ask, others=replace(others, waiting=80), has_waited=True)
        self.assertFalse(budget.decide(0, many).is_allowed)

    def test_own_part(self):
        """Guards against one failure that is left to chance, or many that are not."""
        budget = RetryBudget(RETRY_BOUNDS, iter((0.99, 0.99, 0, 0.99)).__next__)
        ask = RetryAsk(2, MEMBER, running=79, own_running=4, delay_ms=500)
        allowed = [budget.decide(0, ask).is_allowed for _ in range(4)]
        self.assertEqual(allowed, [True, False, False, False])
        self.assertTrue(budget.decide(500, ask).is_allowed)

    def test_expired_requests(self):
        """Guards against a list that grows as nothing asks for the budget."""
        budget = RetryBudget(RETRY_BOUNDS)
        for now_ms in range(0, 100_000, 1000):
            budget.on_request(now_ms)
        self.assertEqual(len(budget._requests), 11)

    def test_restarted(self):
        """Guards against a whole budget for an entry that knows no one's use."""
        self.assertFalse(
            RetryBudget(RETRY_BOUNDS).decide(0, RetryAsk(known_share=0)).is_allowed
        )


class TestRetryReports(unittest.TestCase):
    """What an entry used counts until the window has passed."""

    def setUp(self):
        self.reports = RetryReports(RETRY_BOUNDS.window_ms)

    def known(self, now_ms):
        """Return the retries and reporters that are known."""
        use = self.reports.others_use(MODEL, now_ms)
        return use.retries, use.reporters

    def test_silence(self):
        """Guards against retries forgotten, or slack lent to a silent entry."""
        self.reports.add_state(make_state(retry_uses=[USE]), 0)
        self.assertEqual(self.known(0), (4, 1))
        self.assertEqual(self.known(REPORT_SILENCE_MS + 1), (4, 0))
        self.assertEqual(self.known(RETRY_BOUNDS.window_ms + 1), (0, 0))

    def test_incarnations(self):
        """Guards against retries forgotten as their entry starts again."""
        self.reports.add_state(make_state(retry_uses=[USE]), 0)
        self.reports.add_state(make_state(incarnation=2, retry_uses=[USE]), 0)
        self.assertEqual(self.known(0), (8, 1))

    def test_build_before(self):
        """Guards against slack counted for entries that do not report."""
        self.reports.add_state(make_state(), 0)
        use = self.reports.others_use(MODEL, 0)
        self.assertEqual((use.reporters, use.entries), (0, 1))

    def test_new_relay(self):
        """Guards against a use counted twice, or forgotten, as relays change."""
        entry = next(iter(RetryNetwork(ENTRIES).entry_by_vm.values()))
        others = entry.own_digest(Scope.OTHER_GROUPS, with_all_limits=True)
        others = msgspec.structs.replace(others, retry_uses=[USE], retry_reporters=9)
        group = msgspec.structs.replace(others, scope=Scope.GROUP, group='dc-b-9')
        less = msgspec.structs.replace(others, vm='vm-x', retry_uses=[])
        for digest in (others, group, less):
            self.reports.add_digest(digest, 0)
            self.assertEqual(self.known(0), (4, 9))
