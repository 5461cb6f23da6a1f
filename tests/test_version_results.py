"""Test which results of requests speak for or against a version."""

import random
import unittest
from dataclasses import replace

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.http_messages import RequestHead
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.revision import make_revision
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from marjoramfall.gateway.servers.retry_budget import RetryBounds
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.servers.server_load import RunningRequest
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.version_moves import Phase, VersionMoves
from tests.gateway_fakes import (
    PLAIN,
    make_config,
    make_demand,
    make_fields,
    make_route,
    make_server,
)

OK = 200
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
USUAL_MS = 40
TIMED_OUT = Outcome(Ending.UNKNOWN, 'sent nothing in time')


class ResultsCase(unittest.TestCase):
    """Provide an entry with a server of the old and one of the new version."""

    def setUp(self):
        random.seed(20261205)
        self.clock = PausedClock()
        self.moves = VersionMoves(self.clock, expose_share=0.1)
        self.fleet = Fleet(
            self.clock,
            PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a'),
            ConnectionPool(self.clock, connect_timeout_ms=250),
            self.moves,
            data_centre='dc-a',
            retry_budgets=RetryBudgets(RetryBounds(1, 50, 10_000)),
            limits=SharedLimits(tolerance_share=0, tolerance=0, starts_full=True),
            notify_peers=lambda: None,
        )
        self.fleet.set_config(make_config())
        self.fleet.set_servers(
            [make_server('old', version='v1'), make_server('new', version='v2')]
        )
        self.moves.begin(VersionMove(PLAIN, 'v2', 18, make_revision(1, 5)))

    def load(self, server_id):
        """Return the load of a server."""
        return self.fleet.queue(PLAIN).load_by_id[server_id]

    def result(self, server_id, outcome, *, took_ms=USUAL_MS, status=OK):
        """Record the outcome of a request that took some time at a server."""
        now_ms = self.clock.monotonic_ms()
        delivered = outcome.ending is Ending.DELIVERED
        call = Call(
            head=RequestHead(),
            body=b'',
            fields=make_fields(),
            received_ms=now_ms - took_ms,
            route=make_route('read'),
            team=None,
            service_id=PLAIN,
            config_version=1,
            deadline_ms=now_ms + 1000,
            first_byte_ms=now_ms if delivered else None,
        )
        request = RunningRequest(make_demand(), now_ms - took_ms)
        assignment = Assignment(self.load(server_id), request)
        self.fleet.on_outcome(call, assignment, outcome, status=status)

    def answer(self, server_id, status=OK, *, took_ms=USUAL_MS):
        """Record an answer that was delivered."""
        delivered = Outcome(Ending.DELIVERED)
        self.result(server_id, delivered, took_ms=took_ms, status=status)

    def phase(self):
        """Return the phase of the move."""
        return self.moves.moves[0].phase


class TestPathFailures(ResultsCase):
    """What no server answered says nothing of its version."""

    def test_dead_links_hide_a_bad_version(self):
        """Guards against a bad version kept as requests time out on dead links.

        Most of them go to the old version, and raised the rate of bad results that
        the new one may reach.
        """
        for _ in range(3):
            for _ in range(20):
                self.answer('old')
            for _ in range(10):
                self.result('old', TIMED_OUT, took_ms=900)
            self.clock.advance_ms(3000)
        for _ in range(10):
            self.answer('new')
            self.answer('new', SERVER_ERROR)
        self.assertIs(self.phase(), Phase.WITHDRAWN)

    def test_dead_links_withdraw_a_good_version(self):
        """Guards against a good version withdrawn as requests time out."""
        for _ in range(40):
            self.answer('old')
        for _ in range(8):
            self.result('new', TIMED_OUT, took_ms=900)
            self.clock.advance_ms(1000)
        self.assertIs(self.phase(), Phase.RUNNING)

    def test_too_little_time(self):
        """Guards against an error at a deadline that left the server no time.

        The request had spent its time on dead links before.
        """
        for _ in range(40):
            self.answer('old')
        for _ in range(8):
            self.answer('new', GATEWAY_TIMEOUT, took_ms=USUAL_MS / 2)
        self.assertIs(self.phase(), Phase.RUNNING)


class TestServerFailures(ResultsCase):
    """What a server is known to have failed counts for its version."""

    def setUp(self):
        super().setUp()
        for _ in range(40):
            self.answer('old')

    def test_server_that_hangs(self):
        """Guards against keeping a version that leaves requests unanswered.

        It answers others at this entry, so that the path is not the cause.
        """
        for _ in range(6):
            self.result('new', TIMED_OUT, took_ms=900)
            self.answer('new')
        self.assertIs(self.phase(), Phase.WITHDRAWN)

    def test_request_received(self):
        """Guards against keeping a version that is too slow to answer in time.

        Its servers have acknowledged the requests, and answer no others meanwhile.
        """
        received = replace(TIMED_OUT, is_server_fault=True, is_timeout=True)
        for _ in range(4):
            self.result('new', received, took_ms=300)
        self.assertIs(self.phase(), Phase.WITHDRAWN)

    def test_late_errors(self):
        """Guards against keeping a version that lets deadlines pass."""
        for _ in range(4):
            self.answer('new', GATEWAY_TIMEOUT, took_ms=900)
        self.assertIs(self.phase(), Phase.WITHDRAWN)
