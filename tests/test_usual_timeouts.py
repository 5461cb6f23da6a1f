"""Test what callers usually wait, from which those that return are told apart."""

import unittest

from marjoramfall.gateway.callers.usual_timeouts import UsualTimeouts
from tests.gateway_fakes import make_call

USUAL_MS = 6000
SHORT_MS = 2000


class TestUsualTimeouts(unittest.TestCase):
    """Teams name different times, and refused callers come back with a rest."""

    def setUp(self):
        self.timeouts = UsualTimeouts()

    def test_short_team(self):
        """Guards against a team that starves others, as its callers never wait long.

        They would all look as if they had been refused before, and go first.
        """
        usual_ms = self.timeouts.observe('long', 'kvali', SHORT_MS)
        call = make_call(deadline_ms=SHORT_MS, usual_timeout_ms=usual_ms)
        self.assertEqual(call.lead_ms, 0)
        self.assertFalse(call.has_returned)

    def test_returned(self):
        """Guards against a returned caller that waits behind all newer ones."""
        self.timeouts.observe('long', 'kvali', USUAL_MS)
        usual_ms = self.timeouts.observe('long', 'kvali', USUAL_MS / 2)
        call = make_call(deadline_ms=USUAL_MS / 2, usual_timeout_ms=usual_ms)
        self.assertTrue(call.has_returned)

    def test_shorter_since(self):
        """Guards against one long wait that counts for ever."""
        self.timeouts.observe('long', 'kvali', USUAL_MS)
        for _ in range(200):
            usual_ms = self.timeouts.observe('long', 'kvali', SHORT_MS)
        self.assertEqual(usual_ms, SHORT_MS)
