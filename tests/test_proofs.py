"""Test that the rows of the proofs follow the code."""

import unittest

from benchmarks.check_proofs import CASES, ROOT, load_cases


class TestMutations(unittest.TestCase):
    """Each row of the proofs names a place that exists once."""

    def test_places(self):
        """Guards against rows that prove nothing, as their code has changed."""
        for case in load_cases(CASES):
            with self.subTest(case.mechanism):
                text = (ROOT / case.file).read_text('utf-8')
                self.assertEqual(text.count(case.find), 1)
