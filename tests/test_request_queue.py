import unittest
from collections import Counter

from marjoramfall.request.events import WaitingRequest, WorkEstimate
from marjoramfall.request.request_queue import RequestQueue


class RequestQueueTest(unittest.TestCase):
    """Check the order of requests within a tier."""

    def setUp(self):
        self.queue = RequestQueue()

    def add(self, request_id, team_id, *, weight=1, tokens=100, latest_ms=0):
        request = WaitingRequest(
            request_id=request_id,
            entry_id='entry',
            tier_rank=1,
            team_id=team_id,
            team_weight=weight,
            deadline_ms=1000,
            arrived_ms=0,
            work=WorkEstimate(tokens, 0),
        )
        self.queue.add(request, latest_ms)

    def grant(self, count):
        tokens = Counter()
        for _ in range(count):
            first = self.queue.first()
            tokens[first.team_id] += first.work.total_tokens
            self.queue.remove(first.request_id, granted=True)
        return tokens

    def test_weighted_tokens(self):
        """Guards against a team that gets more than its share by larger requests."""
        for number in range(200):
            self.add(f'a{number}', 'a', weight=3, tokens=100)
            self.add(f'b{number}', 'b', weight=1, tokens=400)
        tokens = self.grant(130)
        self.assertAlmostEqual(tokens['a'] / tokens['b'], 3, delta=0.2)

    def test_idle_team(self):
        """Guards against a team that accumulates its share while it is idle."""
        for number in range(100):
            self.add(f'a{number}', 'a')
        self.grant(50)
        for number in range(100):
            self.add(f'b{number}', 'b')
        tokens = self.grant(20)
        self.assertLessEqual(abs(tokens['a'] - tokens['b']), 200)

    def test_least_slack(self):
        """Guards against an urgent request that waits behind one with more slack."""
        self.add('patient', 'a', latest_ms=900)
        self.add('urgent', 'a', latest_ms=100)
        self.assertEqual(self.queue.first().request_id, 'urgent')
