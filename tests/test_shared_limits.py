"""Test team limits and retry budgets that all entries share."""

import unittest

from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peers.group_digest import Scope
from marjoramfall.gateway.peers.peer_state import LimitUse
from marjoramfall.gateway.servers.retry_budget import RetryBounds, RetryBudget
from marjoramfall.gateway.shared_limits import SharedLimits

TEAM = Team('tide', 1, 1000, 500, counts_tokens=True, plain_tokens=200)


def use_up(limit):
    """Take amounts until the limit refuses."""
    is_allowed = True
    while is_allowed:
        is_allowed = limit.try_use(100)


class TestSharedLimit(unittest.TestCase):
    """Every entry subtracts the use at all entries."""

    def setUp(self):
        self.limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=True)
        self.limits.set_teams({'tide': TEAM}, 0)
        self.limit = self.limits.find(TEAM)

    def test_burst_then_rate(self):
        """Guards against admitting more than burst and rate allow."""
        passed = sum(self.limit.try_use(100) for _ in range(20))
        self.assertEqual(passed, 5)
        self.limit.refill(1000, 0)
        passed = sum(self.limit.try_use(100) for _ in range(20))
        self.assertEqual(passed, 5)

    def test_peers_count(self):
        """Guards against a full limit at each entry when peer use is ignored."""
        self.limits.add_peer('entry-2', 1, [LimitUse('tide', 0)], 0, recent_share=0)
        self.limits.subtract_peer_use('entry-2', 1, [LimitUse('tide', 500)], 0)
        self.assertFalse(self.limit.try_use(1))

    def test_restarted_peer(self):
        """Guards against subtracting the use of a peer before its restart."""
        self.limits.add_peer(
            'entry-2', 1, [LimitUse('tide', 10_000)], 0, recent_share=0
        )
        self.limits.add_peer('entry-2', 2, [LimitUse('tide', 0)], 0, recent_share=0)
        self.assertTrue(self.limit.try_use(1))

    def test_silent_peers(self):
        """Guards against the full rate on each side of a partition."""
        use_up(self.limit)
        self.limit.refill(1000, 0.75)
        self.assertGreater(self.limit.available, 0)
        self.assertLessEqual(self.limit.available, 250)

    def test_partition(self):
        """Guards against a whole burst on each side of a partition."""
        self.limit.refill(0, 0.75)
        self.assertEqual(self.limit.available, 125)

    def test_partition_healed(self):
        """The withheld amount is released once peers have reported their use."""
        self.limits.add_peer('entry-2', 1, [LimitUse('tide', 0)], 0, recent_share=0)
        self.limit.refill(0, 0.5)
        self.limits.subtract_peer_use('entry-2', 1, [LimitUse('tide', 100)], 0)
        self.limit.refill(0, 0)
        self.assertEqual(self.limit.available, 400)

    def test_peer_started_later(self):
        """Guards against losing the use of a peer between its start and discovery."""
        self.limits.add_peer('entry-2', 1, [LimitUse('tide', 400)], 0, recent_share=0.5)
        self.assertEqual(self.limit.level, 300)

    def test_rare_requests(self):
        """Guards against a full limit at an entry that rarely serves the team.

        Peers used it up meanwhile, and the refill for the idle time came after it.
        """
        self.limits.add_peer('entry-2', 1, [LimitUse('tide', 0)], 0, recent_share=0)
        uses = [LimitUse('tide', 5000)]
        self.limits.subtract_peer_use('entry-2', 1, uses, 60_000)
        self.limit.refill(60_100, 0)
        self.assertFalse(self.limit.try_use(100))

    def test_unknown_peer(self):
        """Guards against subtracting the total use of a peer not known yet.

        A partial report of such a peer has no baseline.
        """
        self.limits.subtract_peer_use('entry-2', 1, [LimitUse('tide', 10_000)], 0)
        self.assertTrue(self.limit.try_use(1))

    def test_restart(self):
        """Guards against another full burst after all entries restarted."""
        limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=False)
        limits.set_teams({'tide': TEAM}, 0)
        limit = limits.find(TEAM)
        self.assertFalse(limit.try_use(1))
        limit.refill(100, 0)
        self.assertTrue(limit.try_use(100))

    def test_changed(self):
        """Guards against datagrams that grow by teams without use, or omit a use."""
        self.assertEqual(self.limits.changed_uses(), [])
        self.limit.try_use(100)
        self.assertEqual(self.limits.changed_uses(), [LimitUse('tide', 100)])
        self.assertEqual(self.limits.changed_uses(), [])
        self.limit.refund(100)
        self.assertEqual(self.limits.changed_uses(), [LimitUse('tide', 0)])

    def test_digest(self):
        """Guards against a digest that omits the use of a peer or repeats it."""
        self.limit.try_use(20)
        self.limits.add_peer('entry-2', 1, [LimitUse('tide', 0)], 0, recent_share=0)
        self.limits.subtract_peer_use('entry-2', 1, [LimitUse('tide', 20)], 0)
        reported = self.limits.digest_uses(Scope.GROUP, with_all_limits=False)
        self.assertEqual(reported, [LimitUse('tide', 40)])
        self.assertEqual(
            self.limits.digest_uses(Scope.GROUP, with_all_limits=False), []
        )

    def test_new_team(self):
        """A team that is added later starts with its burst, also after a restart."""
        limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=False)
        limits.set_teams({}, 0)
        limits.set_teams({'tide': TEAM}, 0)
        self.assertTrue(limits.find(TEAM).try_use(500))

    def test_burst_lowered(self):
        """Guards against a level above the burst after the burst is lowered."""
        lower = Team('tide', 1, 10, 50, counts_tokens=True, plain_tokens=200)
        self.limits.set_teams({'tide': lower}, 0)
        self.assertEqual(self.limits.find(lower).level, 50)

    def test_refund(self):
        """The amount of a request that was refused later is returned."""
        self.limit.try_use(500)
        self.limit.refund(500)
        self.assertTrue(self.limit.try_use(500))

    def test_tolerance(self):
        """Guards against refusing requests within the limit due to late reports."""
        limits = SharedLimits(tolerance_share=0.1, tolerance=100, starts_full=True)
        limits.set_teams({'tide': TEAM}, 0)
        limit = limits.find(TEAM)
        passed = sum(limit.try_use(50) for _ in range(40))
        self.assertEqual(passed, (500 + 150) / 50)

    def test_wait(self):
        """The wait ends when the rate has refilled the limit."""
        use_up(self.limit)
        self.assertAlmostEqual(self.limit.wait_ms(), 1, delta=1)


class TestRetryBudget(unittest.TestCase):
    """Retries stay within a share of the requests and a part of the slack."""

    def test_share(self):
        """Guards against a retry storm when many requests fail."""
        budget = RetryBudget(RetryBounds(share=0.2, slack=0, window_ms=10_000))
        for _ in range(100):
            budget.on_request(0)
        allowed = sum(budget.try_retry(0, 1) for _ in range(100))
        self.assertLessEqual(allowed, 20)
        self.assertGreater(allowed, 10)

    def test_slack_is_shared(self):
        """Guards against granting the whole slack to each entry."""
        budget = RetryBudget(RetryBounds(share=0.2, slack=58, window_ms=10_000))
        allowed = sum(budget.try_retry(0, 9) for _ in range(100))
        self.assertLessEqual(allowed * 9, 58)
        self.assertGreater(allowed, 0)

    def test_changed_bounds(self):
        """Guards against resetting the count of retries when the bounds change."""
        budget = RetryBudget(RetryBounds(share=0, slack=4, window_ms=1000))
        self.assertTrue(budget.try_retry(0, 1))
        budget.replace_bounds(RetryBounds(share=0, slack=2, window_ms=1000))
        self.assertFalse(budget.try_retry(100, 1))

    def test_window(self):
        """Retries are allowed again once the window has passed."""
        budget = RetryBudget(RetryBounds(share=0, slack=2, window_ms=1000))
        self.assertTrue(budget.try_retry(0, 1))
        self.assertFalse(budget.try_retry(900, 1))
        self.assertTrue(budget.try_retry(1100, 1))
