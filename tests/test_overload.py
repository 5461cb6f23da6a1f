import random
import unittest

from marjoramfall.request.active_grants import ActiveGrant
from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import (
    Expire,
    FinishReport,
    Grant,
    ServerInfo,
    Shed,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.request.server_state import ServerState
from marjoramfall.version.router import SingleVersionRouter

WORK = WorkEstimate(200, 20)
SERVICE_TIME_MS = 400


class Overload:
    """Overload a dispatcher that has one server with four slots."""

    def __init__(self, deadline_ms, shares):
        self.rng = random.Random(7)
        self.deadline_ms = deadline_ms
        self.shares = shares
        self.dispatcher = Dispatcher('group', SingleVersionRouter('v1'))
        server = ServerInfo(
            server_id='s1', version_id='v1', data_centre='dc-1', max_concurrency=4
        )
        self.dispatcher.set_servers([server], 0)
        self.waiting = {}
        self.running = []
        self.granted = []
        self.refused = []
        self.inversions = 0

    def run(self, until_ms, arrivals_per_tick, *, from_ms=0):
        """Simulate arrivals and finishes in ticks of 20 ms."""
        for now_ms in range(from_ms, until_ms, 20):
            for _ in range(arrivals_per_tick):
                self.arrive(now_ms)
            while self.running and self.running[0][0] <= now_ms:
                self.finish(self.running.pop(0)[1], now_ms)
            self.apply(self.dispatcher.tick(now_ms), now_ms)

    def arrive(self, now_ms):
        """Enqueue a request of a random tier."""
        number = len(self.waiting) + len(self.granted) + len(self.refused)
        rank = self.rng.choices(range(len(self.shares)), self.shares)[0]
        request = WaitingRequest(
            request_id=f'r{number}',
            entry_id='entry',
            tier_rank=rank,
            team_id=f'team-{rank}',
            team_weight=1,
            deadline_ms=now_ms + self.deadline_ms,
            arrived_ms=now_ms,
            work=WORK,
        )
        self.waiting[request.request_id] = request
        self.apply(self.dispatcher.enqueue(request, now_ms), now_ms)

    def finish(self, grant, now_ms):
        """Report a request as finished after the service time."""
        report = FinishReport(
            request_id=grant.request_id,
            server_id='s1',
            version_id='v1',
            route='',
            succeeded=True,
            dispatched=True,
            first_token_ms=20,
            total_ms=SERVICE_TIME_MS,
            work=WORK,
            decode_tokens=WORK.decode_tokens,
        )
        self.apply(self.dispatcher.on_finished(report, now_ms), now_ms)

    def apply(self, actions, now_ms):
        """Start granted requests; count sheds of a tier above a waiting one."""
        for action in actions:
            request = self.waiting.pop(action.request_id)
            if isinstance(action, Grant):
                self.dispatcher.on_started(action.request_id, now_ms)
                self.running.append((now_ms + SERVICE_TIME_MS, action))
                self.granted.append(request)
            else:
                self.refused.append((request, action))
            if isinstance(action, Shed):
                ranks = [other.tier_rank for other in self.waiting.values()]
                self.inversions += max(ranks, default=0) > request.tier_rank


class PlainServiceTest(unittest.TestCase):
    """Check services whose calls have no tokens."""

    def test_routes_of_different_speed(self):
        """Guards against a concurrency limit that shrinks if some routes are slower."""
        server = ServerState(
            ServerInfo(
                server_id='s1', version_id='v1', data_centre='dc-1', max_concurrency=8
            )
        )
        work = WorkEstimate(1, 0)
        grant = Grant(
            request_id='r', entry_id='e', server_id='s1', version_id='v1', expires_ms=0
        )
        for number in range(400):
            held = [ActiveGrant(grant=grant, work=work) for _ in range(8)]
            for active in held:
                server.reserve(active, number)
            for index, active in enumerate(held):
                report = FinishReport(
                    request_id='r',
                    server_id='s1',
                    version_id='v1',
                    route='',
                    succeeded=True,
                    dispatched=True,
                    first_token_ms=None,
                    total_ms=(5, 20, 200)[(number + index) % 3],
                    work=work,
                )
                server.release(active)
                server.on_finished(active, report)
        self.assertGreater(server.limit.requests, 6)


class OverloadTest(unittest.TestCase):
    """Check which requests are refused in an overload."""

    def test_lowest_tier_first(self):
        """Guards against shedding a tier while a lower one waits."""
        overload = Overload(4000, (0.6, 0.2, 0.2))
        overload.run(60_000, 1)
        shed_ranks = {
            request.tier_rank
            for request, action in overload.refused
            if isinstance(action, Shed)
        }
        self.assertEqual(shed_ranks, {0, 1, 2})
        self.assertEqual(overload.inversions, 0)

    def test_shed_early(self):
        """Guards against requests that wait until they expire instead of being shed.

        Only requests that arrive after the first 30 s are checked.
        """
        overload = Overload(20_000, (1,))
        overload.run(90_000, 1)
        late = [
            request
            for request, action in overload.refused
            if isinstance(action, Expire) and request.arrived_ms > 30_000
        ]
        self.assertGreater(len(overload.refused), 1000)
        self.assertEqual(late, [])

    def test_work_conserving(self):
        """Guards against idle servers while requests are refused."""
        overload = Overload(20_000, (0.2, 0.8))
        # The concurrency limit starts at half and grows in the first seconds.
        overload.run(20_000, 1)
        warm_up = len(overload.granted)
        overload.run(60_000, 1, from_ms=20_000)
        # A quarter is reserved for sessions, which leaves three of four slots.
        granted = len(overload.granted) - warm_up
        self.assertGreaterEqual(granted, 40_000 * 3 // SERVICE_TIME_MS - 3)

    def test_unreachable_deadline(self):
        """Guards against prefill for a request that cannot meet its deadline."""
        overload = Overload(4000, (1,))
        overload.run(2000, 1)
        request = WaitingRequest(
            request_id='hopeless',
            entry_id='entry',
            tier_rank=0,
            team_id='team-0',
            team_weight=1,
            deadline_ms=2100,
            arrived_ms=2000,
            work=WORK,
        )
        self.assertEqual(
            overload.dispatcher.enqueue(request, 2000),
            [Expire(request_id='hopeless', entry_id='entry', tier_rank=0)],
        )
