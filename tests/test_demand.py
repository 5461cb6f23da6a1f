"""Test the requirements that are built from a call."""

import unittest

from marjoramfall.gateway.callers.call import Call, Delegation
from marjoramfall.gateway.http_messages import RequestHead
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.servers.demand import build_demand, give_up_ms
from marjoramfall.gateway.versions.version_moves import ANY_VERSION
from tests.gateway_fakes import TEAM, make_fields, make_route


class TestDemand(unittest.TestCase):
    """Deadlines depend on the event that the caller waits for."""

    def setUp(self):
        route = make_route(
            'review',
            RepeatRule.RESUMABLE,
            is_stream=True,
            target_ms=800,
            max_gap_ms=250,
        )
        self.call = Call(
            head=RequestHead(),
            body=b'',
            fields=make_fields(),
            received_ms=1000,
            route=route,
            team=TEAM,
            service_id='tutor',
            config_version=1,
            deadline_ms=13_000,
        )

    def test_first(self):
        """Guards against a wait for the first event longer than that of the caller."""
        demand = build_demand(self.call, 1500, ANY_VERSION)
        self.assertEqual(demand.target_ms, 1800)
        self.assertEqual(demand.give_up_ms, 4200)

    def test_resumed(self):
        """Guards against rejecting a long stream when it has to be resumed.

        The wait counts from the interruption, not from the arrival.
        """
        self.call.first_byte_ms = 1200
        demand = build_demand(self.call, 6000, ANY_VERSION)
        self.assertEqual(demand.give_up_ms, 9200)

    def test_deadline(self):
        """Guards against a wait beyond the deadline of the call."""
        self.call.first_byte_ms = 1200
        demand = build_demand(self.call, 12_000, ANY_VERSION)
        self.assertEqual(demand.give_up_ms, 13_000)

    def test_has_run(self):
        """Guards against an estimate that ends the wait of a request that has run."""
        self.assertFalse(build_demand(self.call, 1500, ANY_VERSION).has_run)
        self.call.delegation = Delegation('tutor', runs=1, config_version=1)
        self.assertTrue(build_demand(self.call, 1500, ANY_VERSION).has_run)
        self.call.delegation = None
        self.call.runs = 1
        demand = build_demand(self.call, 1500, ANY_VERSION)
        self.assertTrue(demand.has_run)
        self.assertFalse(demand.is_begun)
        self.assertEqual(demand.give_up_ms, 4200)

    def test_begun_gives_up(self):
        """Guards against a begun stream that is given up before its deadline."""
        self.assertEqual(give_up_ms(self.call), 4200)
        self.call.first_byte_ms = 1200
        self.assertEqual(give_up_ms(self.call), 13_000)

    def test_begun(self):
        """Guards against a begun stream that waits like a request of its priority."""
        self.call.first_byte_ms = 1200
        demand = build_demand(self.call, 6000, ANY_VERSION)
        self.assertTrue(demand.is_begun)
        self.assertTrue(demand.has_run)
