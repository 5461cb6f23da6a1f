"""Run the soak test for a short time with fixed seeds."""

import unittest

from tests.soak.run import run_soak

SECONDS = 5
SEED = 20261204
# Seeds that once failed; add a line on the cause to each.
FAILED_SEEDS = ()


class TestSoak(unittest.TestCase):
    """Guarantees hold while entries, servers, links and the store fail."""

    def test_seeds(self):
        """Guards against any violation that callers and backend servers observe."""
        for seed in (SEED, *FAILED_SEEDS):
            with self.subTest(seed=seed):
                report = run_soak(seed, SECONDS)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.served_after, 0)
