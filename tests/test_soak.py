"""Play short seeded runs of the soak."""

import unittest

from tests.soak.run import run_soak

SECONDS = 5
SEED = 20261204
# Seeds that once showed a fault; each with a line on its cause.
FAILED_SEEDS = ()


class TestSoak(unittest.TestCase):
    """Promises hold while entries, servers, links and the store fail."""

    def test_seeds(self):
        """Guards against any broken promise seen by callers and servers."""
        for seed in (SEED, *FAILED_SEEDS):
            with self.subTest(seed=seed):
                report = run_soak(seed, SECONDS)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.served_after, 0)
