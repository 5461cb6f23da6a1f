"""Test how a move between two versions ends under traffic."""

import unittest

from marjoramfall.model import Move, MoveState
from marjoramfall.request.events import FinishReport, WaitingRequest, WorkEstimate
from marjoramfall.version.actions import MoveAtRisk, MoveEnded, WithdrawVersion
from marjoramfall.version.betting import BettingTest
from marjoramfall.version.move_router import MoveRouter

ROUTE = '/v1/completions'
DEADLINE_MS = 600_000


class Traffic:
    """Send requests to a router one after another and report their results."""

    def __init__(self, *, deadline_ms: float = DEADLINE_MS, share: float = 0):
        move = Move('m', 's', 'old', 'new', DEADLINE_MS, share=share)
        self.router = MoveRouter(move, now_ms=0, deadline_ms=deadline_ms)
        self.now_ms = 0
        self.sent = {'old': 0, 'new': 0}
        self.tokens = {'old': 0, 'new': 0}
        self.actions = []

    def grant(self, *, tokens=100, route=ROUTE):
        """Grant one request; return it with its version."""
        self.now_ms += 100
        waiting = self._waiting(tokens, route)
        version = self.router.preferred_versions(waiting, self.now_ms)[0]
        self.router.on_granted(waiting, version, self.now_ms)
        self.sent[version] += 1
        self.tokens[version] += tokens
        return waiting, version

    def finish(self, waiting, version, *, failing=(), first_ms=None, dispatched=True):
        """Report the result of one request."""
        report = FinishReport(
            request_id=waiting.request_id,
            server_id=version,
            version_id=version,
            route=waiting.route,
            succeeded=version not in failing,
            dispatched=dispatched,
            first_token_ms=(first_ms or {}).get(version, 50),
            total_ms=500,
            work=waiting.work,
            decode_tokens=20,
        )
        self.router.on_finished(report, self.now_ms)
        self.actions += self.router.tick(self.now_ms)

    def send(self, *, tokens=100, route=ROUTE, **results):
        """Send one request and report its result; return its version."""
        waiting, version = self.grant(tokens=tokens, route=route)
        self.finish(waiting, version, **results)
        return version

    def send_many(self, count, **kwargs):
        """Send several requests with the same results."""
        for _ in range(count):
            self.send(**kwargs)

    def _waiting(self, tokens, route):
        return WaitingRequest(
            request_id=str(self.now_ms),
            entry_id='e',
            tier_rank=0,
            team_id='t',
            team_weight=1,
            deadline_ms=self.now_ms + 10_000,
            arrived_ms=self.now_ms,
            work=WorkEstimate(tokens, 0),
            route=route,
        )


class MoveRouterTest(unittest.TestCase):
    """Check that moves end on evidence and by their deadline."""

    def test_good_version_completes(self):
        """Guards against a good version that never gets all requests."""
        traffic = Traffic()
        traffic.send_many(5900)
        ended = [a for a in traffic.actions if isinstance(a, MoveEnded)]
        self.assertEqual([a.state for a in ended], [MoveState.COMPLETED])
        self.assertEqual(traffic.send(), 'new')

    def test_failing_version_is_withdrawn(self):
        """Guards against a failing version that keeps getting requests."""
        traffic = Traffic()
        traffic.send_many(400, failing=('new',))
        self.assertLessEqual(traffic.sent['new'], 8)
        kinds = [type(action) for action in traffic.actions]
        self.assertIn(WithdrawVersion, kinds)
        self.assertEqual(traffic.actions[-1].state, MoveState.TAKEN_BACK)

    def test_slow_version_is_withdrawn(self):
        """Guards against a slow version that stays because no request fails."""
        traffic = Traffic()
        traffic.send_many(1500, first_ms={'new': 200})
        self.assertIs(traffic.router.controller.state, MoveState.TAKEN_BACK)
        self.assertLess(traffic.sent['new'], 40)

    def test_slow_on_small_route(self):
        """Guards against a fault on a small route that other routes average out."""
        traffic = Traffic()
        for index in range(5900):
            first_ms = 40 + index % 20
            is_small = index % 7 == 0
            traffic.send(
                route='/small' if is_small else ROUTE,
                first_ms={'old': first_ms, 'new': first_ms * (4 if is_small else 1)},
            )
        self.assertIs(traffic.router.controller.state, MoveState.TAKEN_BACK)
        self.assertIn('/small', traffic.router.controller.reason)

    def test_no_withdrawal_on_general_failure(self):
        """Guards against withdrawal when both versions fail alike."""
        traffic = Traffic()
        traffic.send_many(500)
        traffic.send_many(500, failing=('old', 'new'))
        self.assertTrue(traffic.router.controller.running)

    def test_no_withdrawal_on_general_slowdown(self):
        """Guards against withdrawal when both versions become slow at once."""
        traffic = Traffic()
        traffic.send_many(500)
        for index in range(1000):
            first_ms = 400 + index % 100
            traffic.send(first_ms={'old': first_ms, 'new': first_ms})
        kinds = {type(action) for action in traffic.actions}
        self.assertNotIn(WithdrawVersion, kinds)

    def test_no_withdrawal_on_undispatched_failures(self):
        """Guards against withdrawal for requests that never reached a server."""
        traffic = Traffic()
        traffic.send_many(1000, failing=('new',), dispatched=False)
        self.assertTrue(traffic.router.controller.running)
        self.assertLessEqual(traffic.sent['new'], 50)

    def test_no_withdrawal_on_server_failure(self):
        """Guards against withdrawal when all requests of one failed server fail."""
        traffic = Traffic()
        traffic.send_many(200)
        running = []
        while len(running) < 8:
            waiting, version = traffic.grant()
            if version == 'new':
                running.append(waiting)
            else:
                traffic.finish(waiting, version)
        for broken in running:
            traffic.finish(broken, 'new', failing=('new',))
        self.assertTrue(traffic.router.controller.running)

    def test_deadline_without_evidence(self):
        """Guards against a move that is still running after its deadline.

        Too few requests come for evidence; the operator is warned before.
        """
        traffic = Traffic(deadline_ms=5000)
        traffic.send_many(49)
        self.assertIs(traffic.router.controller.state, MoveState.TAKEN_BACK)
        kinds = [type(action) for action in traffic.actions]
        self.assertLess(kinds.index(MoveAtRisk), kinds.index(MoveEnded))

    def test_share_holds_in_tokens(self):
        """Guards against a new version that exceeds its share of the tokens.

        This happens if only requests are counted and large ones go to it.
        """
        traffic = Traffic()
        for index in range(300):
            traffic.send(tokens=10_000 if index % 19 == 0 else 100, dispatched=False)
            total = sum(traffic.tokens.values())
            self.assertLessEqual(traffic.tokens['new'], 0.05 * total)
        self.assertGreater(traffic.sent['new'], 0)

    def test_withdrawal_from_outside(self):
        """Guards against grants after a peer has withdrawn the version."""
        traffic = Traffic(share=0.5)
        traffic.router.withdraw('new', 'a peer withdrew it')
        traffic.send_many(100)
        self.assertEqual(traffic.sent['new'], 0)
        self.assertIs(traffic.router.controller.state, MoveState.TAKEN_BACK)


class BettingTestTest(unittest.TestCase):
    """Check the sequential test of an event rate."""

    def test_pending_results_count(self):
        """Guards against false evidence when failures end before successes."""
        test = BettingTest()
        for _ in range(3):
            test.observe(happened=True, probability=0.02)
        self.assertGreater(test.e_value(), 1000)
        self.assertLess(test.e_value(pending=300), 1)

    def test_late_fault_is_found(self):
        """Guards against a late fault that many earlier successes hide."""
        test = BettingTest()
        for _ in range(5000):
            test.observe(happened=False, probability=0.02)
        for _ in range(8):
            test.observe(happened=True, probability=0.02)
        self.assertGreater(test.e_value(), 100_000)
