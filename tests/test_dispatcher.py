import unittest

from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import (
    Expire,
    FinishReport,
    Grant,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.version.router import SingleVersionRouter


def waiting_request(request_id, **options):
    """Return a request of tier rank 1."""
    defaults = {
        'entry_id': 'entry-1',
        'tier_rank': 1,
        'team_id': 'team-1',
        'team_weight': 1.0,
        'deadline_ms': 10000.0,
        'arrived_ms': 0.0,
        'work': WorkEstimate(100, 50),
    }
    return WaitingRequest(request_id=request_id, **(defaults | options))


def server(server_id, *, max_concurrency=1, leaving=False):
    """Return a server of version v1."""
    return ServerInfo(
        server_id=server_id,
        version_id='v1',
        data_centre='dc-1',
        max_concurrency=max_concurrency,
        leaving=leaving,
    )


class DispatcherTest(unittest.TestCase):
    """Check the order of grants and the release of credits."""

    def setUp(self):
        self.dispatcher = Dispatcher('group', SingleVersionRouter('v1'))
        self.dispatcher.set_servers([server('s1')], 0)

    def granted(self, actions):
        return [action.request_id for action in actions if isinstance(action, Grant)]

    def test_tier_order(self):
        """Guards against granting a lower tier while a higher one waits."""
        self.dispatcher.enqueue(waiting_request('first'), 0)
        for rank in (3, 0, 2):
            self.dispatcher.enqueue(waiting_request(f'tier-{rank}', tier_rank=rank), 1)
        self.assertEqual(self.granted(self.dispatcher.withdraw('first', 2)), ['tier-0'])

    def test_repeated_enqueue(self):
        """Guards against two grants for one request that is enqueued repeatedly."""
        grants = self.dispatcher.enqueue(waiting_request('first'), 0)
        self.assertEqual(self.dispatcher.enqueue(waiting_request('first'), 1), grants)
        self.dispatcher.on_started('first', 2)
        self.assertEqual(self.dispatcher.enqueue(waiting_request('first'), 3), [])

    def test_excluded_grant(self):
        """Guards against granting a server again that the request now excludes."""
        self.dispatcher.set_servers([server('s1'), server('s2')], 0)
        first = self.dispatcher.enqueue(waiting_request('first'), 0)[0]
        repeated = waiting_request(
            'first', excluded_server_ids=frozenset((first.server_id,))
        )
        second = self.dispatcher.enqueue(repeated, 1)[0]
        self.assertEqual({first.server_id, second.server_id}, {'s1', 's2'})
        self.assertEqual(self.dispatcher.active_count, 1)

    def test_unstarted_grant_releases_credits(self):
        """Guards against leaked credits of a grant that is never started."""
        self.dispatcher.enqueue(waiting_request('first'), 0)
        self.dispatcher.enqueue(waiting_request('second'), 0)
        self.assertEqual(self.granted(self.dispatcher.tick(400)), [])
        self.assertEqual(self.granted(self.dispatcher.tick(500)), ['second'])

    def test_result_of_another_grant(self):
        """Guards against credits released by a report on an earlier dispatcher's grant.

        The report has the same request id but names another server.
        """
        self.dispatcher.enqueue(waiting_request('first'), 0)
        self.dispatcher.enqueue(waiting_request('second'), 0)
        earlier = FinishReport(
            request_id='first',
            server_id='s2',
            version_id='v1',
            route='',
            succeeded=False,
            dispatched=False,
            first_token_ms=None,
            total_ms=0,
            work=WorkEstimate(1, 1),
        )
        self.assertEqual(self.dispatcher.on_finished(earlier, 1), [])

    def test_leaving_server(self):
        """Guards against grants for a leaving server; the request expires instead."""
        self.dispatcher.set_servers([server('s1', leaving=True)], 0)
        self.assertEqual(self.dispatcher.enqueue(waiting_request('first'), 0), [])
        self.assertEqual(
            self.dispatcher.tick(10000),
            [Expire(request_id='first', entry_id='entry-1', tier_rank=1)],
        )

    def test_dead_entry(self):
        """Guards against leaked credits of the requests of a dead entry process."""
        self.dispatcher.enqueue(waiting_request('first'), 0)
        self.dispatcher.on_started('first', 0)
        self.dispatcher.enqueue(waiting_request('second', entry_id='entry-2'), 0)
        released = self.dispatcher.release_entry('entry-1', 1)
        self.assertEqual(self.granted(released), ['second'])
