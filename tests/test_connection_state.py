import unittest

from marjoramfall.connection.concurrency_limit import ConcurrencyLimit
from marjoramfall.connection.outlier_ejection import OutlierEjection
from marjoramfall.request.events import FinishReport, WorkEstimate
from marjoramfall.request.retry_budget import WINDOW_MS, RetryBudget
from marjoramfall.request.speed_estimate import SpeedEstimate

SERVER_IDS = ('s0', 's1', 's2', 's3')


class OutlierEjectionTest(unittest.TestCase):
    """Check which servers are ejected and how they come back."""

    def setUp(self):
        self.ejection = OutlierEjection()
        self.ejection.set_servers(SERVER_IDS)

    def report(self, server_id, now_ms, count, *, succeeded=True, token_ms=20.0):
        for _ in range(count):
            self.ejection.on_finished(
                server_id, now_ms, succeeded=succeeded, token_ms=token_ms
            )

    def test_floor(self):
        """Guards against ejecting more than half of a group."""
        for server_id in SERVER_IDS:
            self.report(server_id, 0, 5, succeeded=False)
        self.assertEqual(self.ejection.ejected_ids(1), {'s0', 's1'})

    def test_unlike_speeds(self):
        """Guards against ejecting engines that have always been slower."""
        for server_id, token_ms in zip(
            SERVER_IDS, (10.0, 14.0, 20.0, 30.0), strict=True
        ):
            self.report(server_id, 0, 100, token_ms=token_ms)
        self.assertEqual(self.ejection.ejected_ids(1), set())

    def test_slowed(self):
        """Guards against an engine that slows down to a fifth and stays in."""
        for server_id in SERVER_IDS:
            self.report(server_id, 0, 50)
        self.report('s2', 1, 30, token_ms=100.0)
        self.assertEqual(self.ejection.ejected_ids(2), {'s2'})

    def test_recovery(self):
        """Guards against full load at once and against a constant time out."""
        self.report('s1', 0, 5, succeeded=False)
        self.assertFalse(self.ejection.allowed('s1', 0, 4999))
        self.assertTrue(self.ejection.allowed('s1', 0, 5000))
        self.assertFalse(self.ejection.allowed('s1', 1, 5000))
        self.report('s1', 5001, 1, succeeded=False)
        self.assertFalse(self.ejection.allowed('s1', 0, 15_000))
        self.assertTrue(self.ejection.allowed('s1', 0, 15_001))
        self.report('s1', 15_002, 3)
        self.assertTrue(self.ejection.allowed('s1', 7, 15_003))


class ConcurrencyLimitTest(unittest.TestCase):
    """Check that the limit follows latency."""

    def use(self, limit, ratio, count):
        for _ in range(count):
            limit.on_granted(100, int(limit.tokens))
            limit.on_finished(ratio)

    def test_follows_latency(self):
        """Guards against work that piles up inside a slow engine."""
        limit = ConcurrencyLimit(32)
        limit.on_granted(100, 100)
        self.use(limit, 1, 200)
        self.assertEqual(limit.requests, 32)
        self.use(limit, 6, 200)
        self.assertEqual(limit.requests, 8)

    def test_unused_limit(self):
        """Guards against a limit that grows although nothing tests it."""
        limit = ConcurrencyLimit(32)
        for _ in range(100):
            limit.on_granted(100, 100)
            limit.on_finished(1)
        self.assertEqual(limit.requests, 16)


class SpeedEstimateTest(unittest.TestCase):
    """Check that speeds come from finished requests."""

    def test_speeds(self):
        """Guards against queueing that is mistaken for a slow prefill."""
        speed = SpeedEstimate()
        for queued_ms in (0, 400, 0, 900):
            report = FinishReport(
                request_id='r',
                server_id='s',
                version_id='v',
                route='',
                succeeded=True,
                dispatched=True,
                first_token_ms=100 + queued_ms,
                total_ms=1100 + queued_ms,
                work=WorkEstimate(1200, 40),
                cached_tokens=200,
                decode_tokens=50,
            )
            speed.on_finish(report, 100)
        self.assertAlmostEqual(speed.prefill_ms_per_token, 0.1, delta=0.001)
        self.assertAlmostEqual(speed.decode_ms_per_token, 20)


class RetryBudgetTest(unittest.TestCase):
    """Check the share of retries."""

    def test_share(self):
        """Guards against retries that multiply an overload."""
        budget = RetryBudget()
        retries = 0
        for now_ms in range(0, 10_000, 10):
            budget.on_request(now_ms)
            retries += budget.take_retry(now_ms)
        self.assertGreater(retries, 50)
        self.assertLessEqual(retries, 105)

    def test_service_without_traffic(self):
        """Guards against a service without traffic that never retries again."""
        budget = RetryBudget()
        self.assertTrue(budget.take_retry(0))
        self.assertFalse(budget.take_retry(WINDOW_MS / 2))
        self.assertTrue(budget.take_retry(WINDOW_MS))
