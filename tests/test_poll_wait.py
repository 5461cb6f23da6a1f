"""Test the wait of long polls of the store.

In the tested case all entries that follow the store start a poll after the same
change, and the store answers none of them because of an outage.
"""

import unittest

from marjoramfall.platform.poll_wait import (
    LONG_WAIT_MS,
    SHORT_WAIT_MS,
    choose_wait_ms,
)

WATCHER_COUNTS = (1, 2, 5, 15, 30)


class TestPollWait(unittest.TestCase):
    """A few entries poll with a short wait; the others save calls."""

    def test_small_system(self):
        """Guards against a long wait in a small system."""
        self.assertEqual({choose_wait_ms(rank) for rank in (0, 1)}, {SHORT_WAIT_MS})

    def test_some_poll_is_short(self):
        """Guards against only long waits, which detect an outage late."""
        for watchers in WATCHER_COUNTS:
            with self.subTest(watchers=watchers):
                waits = [choose_wait_ms(rank) for rank in range(watchers)]
                self.assertEqual(min(waits), SHORT_WAIT_MS)

    def test_mean_wait(self):
        """Guards against so many short waits that the store gets too many calls."""
        waits = [choose_wait_ms(rank) for rank in range(15)]
        self.assertGreater(sum(waits) / len(waits), LONG_WAIT_MS / 2)
