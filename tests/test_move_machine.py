"""Test the limits on a new version in any order of events, and its share."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramfall.model import Move, MoveGuard, MoveState
from marjoramfall.request.events import FinishReport, WaitingRequest, WorkEstimate
from marjoramfall.version.actions import MoveEnded
from marjoramfall.version.move_router import MoveRouter
from marjoramfall.version.share import REQUIREMENTS, ShareController

DEADLINE_MS = 100_000
ROUTES = ('a', 'b')


class MoveMachine(RuleBasedStateMachine):
    """Grant, finish, fail and withdraw in any order until the deadline.

    Guards against a large share without evidence, grants to a withdrawn
    version and moves that end late, twice or with a withdrawn version.
    """

    def __init__(self):
        super().__init__()
        move = Move('m', 's', 'old', 'new', DEADLINE_MS)
        self.router = MoveRouter(move, now_ms=0, deadline_ms=DEADLINE_MS)
        self.now_ms = 0
        self.sent = 0
        self.running = []
        self.granted = {route: {'old': 0, 'new': 0} for route in ROUTES}
        self.tokens = {route: {'old': 0, 'new': 0} for route in ROUTES}
        self.clean = dict.fromkeys(ROUTES, 0)
        self.withdrawn = False
        self.ends = []

    @rule(
        route=st.sampled_from(ROUTES),
        tokens=st.sampled_from((1, 100, 10_000)),
        count=st.integers(1, 40),
    )
    def grant(self, route, tokens, count):
        """Grant requests, each to the preferred version."""
        for _ in range(count):
            self.sent += 1
            waiting = WaitingRequest(
                request_id=str(self.sent),
                entry_id='e',
                tier_rank=0,
                team_id='t',
                team_weight=1,
                deadline_ms=self.now_ms + 1000,
                arrived_ms=self.now_ms,
                work=WorkEstimate(tokens, 0),
                route=route,
            )
            version = self.router.preferred_versions(waiting, self.now_ms)[0]
            assert version == 'old' or not self.withdrawn
            self.router.on_granted(waiting, version, self.now_ms)
            self.granted[route][version] += 1
            self.tokens[route][version] += tokens
            self.running.append((waiting, version))

    @rule(succeeded=st.booleans(), dispatched=st.booleans(), count=st.integers(1, 40))
    def finish(self, succeeded, dispatched, count):
        """Report results of the requests that have run longest."""
        for waiting, version in self.running[:count]:
            report = FinishReport(
                request_id=waiting.request_id,
                server_id=version,
                version_id=version,
                route=waiting.route,
                succeeded=succeeded or version == 'old',
                dispatched=dispatched,
                first_token_ms=10,
                total_ms=20,
                work=waiting.work,
            )
            self.router.on_finished(report, self.now_ms)
            is_clean = version == 'new' and succeeded and dispatched
            self.clean[waiting.route] += is_clean
        self.running = self.running[count:]

    @rule(duration_ms=st.sampled_from((10, 1000, 10_000)))
    def advance(self, duration_ms):
        """Let time pass and advance the move."""
        self.now_ms += duration_ms
        self._tick()

    @rule()
    def withdraw(self):
        """Withdraw the new version, as on a message from a peer."""
        if not self.router.controller.completed:
            self.router.withdraw('new', 'told by a peer')
            self.withdrawn = True
            self._tick()

    @invariant()
    def share_holds_before_evidence(self):
        """A route without a clean result grants the new version at most 5%."""
        if self.router.controller.running:
            for route in ROUTES:
                if not self.clean[route]:
                    self._assert_share(self.granted[route])
                    self._assert_share(self.tokens[route])

    def teardown(self):
        """Every move ends exactly once by its deadline."""
        self.now_ms = max(self.now_ms, DEADLINE_MS)
        self._tick()
        assert len(self.ends) == 1
        assert not self.router.controller.running

    def _tick(self):
        actions = self.router.tick(self.now_ms)
        self.ends += [a for a in actions if isinstance(a, MoveEnded)]
        states = {end.state for end in self.ends}
        assert not (self.withdrawn and MoveState.COMPLETED in states)

    def _assert_share(self, counts):
        assert counts['new'] <= 0.05 * sum(counts.values()), counts


MoveMachineTest = MoveMachine.TestCase
MoveMachineTest.settings = settings(
    max_examples=100,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)


class ShareControllerTest(unittest.TestCase):
    """Check when the share of a new version rises and falls."""

    def test_results_of_lower_share_do_not_count(self):
        """Guards against a share raised on results of an earlier, lower share."""
        share = ShareController(MoveGuard())
        for _ in range(200):
            share.on_result(0, clean=True, failed=False)
        self.assertTrue(share.raise_level(REQUIREMENTS[0]))
        for _ in range(200):
            share.on_result(0, clean=True, failed=False)
        self.assertFalse(share.raise_level(REQUIREMENTS[0]))

    def test_close_faults_throttle(self):
        """Guards against a version that keeps a large share when it begins to fail."""
        share = ShareController(MoveGuard(), recorded_share=0.5)
        for _ in range(3):
            share.on_result(share.level, clean=False, failed=True)
        self.assertEqual(share.share, 0.05)
        for _ in range(20):
            share.on_result(share.level, clean=True, failed=False)
        self.assertEqual(share.share, 0.5)

    def test_unused_credit_lapses(self):
        """Guards against a burst of requests to a version whose servers were full.

        Without a cap, its credit grows while it gets no grant.
        """
        share = ShareController(MoveGuard())
        for _ in range(1000):
            share.on_granted(100, is_new=False)
        burst = 0
        while share.allows(100):
            share.on_granted(100, is_new=True)
            burst += 1
        self.assertLessEqual(burst, 2)

    def test_restart_uses_recorded_share(self):
        """Guards against a new dispatcher that exceeds the recorded share."""
        for recorded, expected in ((0, 0.05), (0.3, 0.25), (0.9, 0.9)):
            share = ShareController(MoveGuard(), recorded_share=recorded)
            self.assertEqual(share.share, expected)
