"""Test how long polls of the store wait.

The pattern is an outage that swallows the polls of all entries, which all
began together after a change.
"""

import random
import unittest

from marjoramfall.platform.poll_wait import (
    LONG_WAIT_MS,
    SHORT_WAIT_MS,
    choose_wait_ms,
)

SIZES = (20, 65, 83, 390)
ROUNDS = 500


class TestPollWait(unittest.TestCase):
    """Some entries notice early, the others spare calls."""

    def test_small_system(self):
        """Guards against a small system that waits for one long poll."""
        waits = {choose_wait_ms(entry_count) for entry_count in range(1, 11)}
        self.assertEqual(waits, {SHORT_WAIT_MS})

    def test_some_poll_is_short(self):
        """Guards against polls that all end late, so that nobody can tell."""
        random.seed(20261204)
        for entry_count in SIZES:
            with self.subTest(entry_count=entry_count):
                for _ in range(ROUNDS):
                    waits = [choose_wait_ms(entry_count) for _ in range(entry_count)]
                    self.assertEqual(min(waits), SHORT_WAIT_MS)

    def test_mean_wait(self):
        """Guards against as many short polls as there are entries."""
        random.seed(20261204)
        waits = [choose_wait_ms(65) for _ in range(ROUNDS)]
        self.assertGreater(sum(waits) / ROUNDS, LONG_WAIT_MS / 2)
