"""Test the wait of long polls of the store.

In the tested case all entries start a poll after the same change, and the store
answers none of them because of an outage.
"""

import random
import unittest

from marjoramfall.platform.poll_wait import (
    LONG_WAIT_MS,
    SHORT_WAIT_MS,
    choose_wait_ms,
)

ENTRY_COUNTS = (20, 65, 83, 390)
ROUNDS = 500


class TestPollWait(unittest.TestCase):
    """A few entries poll with a short wait; the others save calls."""

    def test_small_system(self):
        """Guards against a long wait in a small system."""
        waits = {choose_wait_ms(entry_count) for entry_count in range(1, 11)}
        self.assertEqual(waits, {SHORT_WAIT_MS})

    def test_some_poll_is_short(self):
        """Guards against only long waits, which detect an outage late."""
        random.seed(20261204)
        for entry_count in ENTRY_COUNTS:
            with self.subTest(entry_count=entry_count):
                for _ in range(ROUNDS):
                    waits = [choose_wait_ms(entry_count) for _ in range(entry_count)]
                    self.assertEqual(min(waits), SHORT_WAIT_MS)

    def test_mean_wait(self):
        """Guards against so many short waits that the store gets too many calls."""
        random.seed(20261204)
        waits = [choose_wait_ms(65) for _ in range(ROUNDS)]
        self.assertGreater(sum(waits) / ROUNDS, LONG_WAIT_MS / 2)
