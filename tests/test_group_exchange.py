import unittest
from collections import deque
from unittest.mock import Mock

from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.group.exchange import GroupExchange
from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import ServerInfo
from marjoramfall.request.grants import (
    DeadlineExceededError,
    DispatchResult,
    GrantRequest,
    HeldGrant,
)
from marjoramfall.version.router import SingleVersionRouter

SERVICE = 'drafts'
DONE = DispatchResult(succeeded=True, dispatched=True, total_ms=10)


class Cluster:
    """Connect exchanges by in-memory channels that can be cut."""

    def __init__(self, names, *, max_concurrency=1):
        self.now_ms = 0.0
        self.outcomes = {}
        self.cut = set()
        self._channel = deque()
        self.by_name = {name: GroupExchange(name, self._dispatcher) for name in names}
        server = ServerInfo(
            server_id='engine-1',
            version_id='v1',
            data_centre='a',
            max_concurrency=max_concurrency,
        )
        for name, exchange in self.by_name.items():
            exchange.servers.address_by_server_id['engine-1'] = '127.0.0.1:1'
            self.perform(name, exchange.set_members(names, 0))
            self.perform(name, exchange.set_groups({SERVICE: [server]}, 0))
        self.deliver()

    @property
    def dispatcher(self):
        any_exchange = next(iter(self.by_name.values()))
        return any_exchange.directory.dispatcher_of(SERVICE)

    def others(self):
        return [name for name in self.by_name if name != self.dispatcher]

    def perform(self, name, actions):
        for action in actions:
            if isinstance(action, ResolveAsk):
                self.outcomes[action.request_id] = action.outcome
            elif isinstance(action, Send):
                self._channel.append((name, action))

    def deliver(self):
        while self._channel:
            sender, action = self._channel.popleft()
            target = action.incarnation
            if target in self.by_name and not {sender, target} & self.cut:
                exchange = self.by_name[target]
                self.perform(
                    target, exchange.receive(sender, action.message, self.now_ms)
                )

    def request_grant(self, name, request_id, rank=0, deadline_ms=10_000):
        request = GrantRequest(
            request_id=request_id,
            service_id=SERVICE,
            tier_rank=rank,
            team_id=f'team-{rank}',
            team_weight=1,
            deadline_ms=deadline_ms,
            prefill_tokens=100,
            decode_tokens=10,
        )
        exchange = self.by_name[name]
        actions = exchange.deliver_local(
            exchange.client.request_grant(request, self.now_ms), self.now_ms
        )
        self.perform(name, actions)
        self.deliver()

    def confirm(self, name, request_id):
        exchange = self.by_name[name]
        actions = exchange.client.confirm(request_id, self.now_ms)
        if actions is None:
            return False
        self.perform(name, exchange.deliver_local(actions, self.now_ms))
        self.deliver()
        return True

    def finish(self, name, request_id):
        exchange = self.by_name[name]
        actions = exchange.client.finish(request_id, DONE)
        self.perform(name, exchange.deliver_local(actions, self.now_ms))
        self.deliver()

    def advance(self, duration_ms, step_ms=50):
        for _ in range(int(duration_ms // step_ms)):
            self.now_ms += step_ms
            for name, exchange in self.by_name.items():
                if name not in self.cut:
                    self.perform(name, exchange.tick(self.now_ms))
            self.deliver()

    def kill(self, name):
        self.by_name.pop(name)
        for other, exchange in self.by_name.items():
            self.perform(other, exchange.set_members(self.by_name, self.now_ms))
        self.deliver()

    def _dispatcher(self, group_id):
        return Dispatcher(group_id, SingleVersionRouter('v1'))


class GroupExchangeTest(unittest.TestCase):
    """Check grants of one group over several entries."""

    def setUp(self):
        self.cluster = Cluster(['a', 'b', 'c'])
        self.cluster.advance(600)

    def granted(self, request_id):
        return isinstance(self.cluster.outcomes.get(request_id), HeldGrant)

    def test_tier_order_across_entries(self):
        """Guards against a lower-tier grant before a higher tier of another entry."""
        first, second = self.cluster.others()
        self.cluster.request_grant(first, 'running', rank=2)
        self.cluster.confirm(first, 'running')
        for number in range(3):
            self.cluster.request_grant(first, f'low-{number}', rank=2)
        self.cluster.request_grant(second, 'high', rank=0)
        self.cluster.finish(first, 'running')
        self.assertTrue(self.granted('high'))
        self.assertFalse(any(self.granted(f'low-{number}') for number in range(3)))

    def test_decisions_are_reported(self):
        """Guards against decisions that are not reported, or reported twice."""
        on_decided = Mock()
        for exchange in self.cluster.by_name.values():
            exchange.host.on_decided = on_decided
        for number, rank in enumerate((2, 1, 0)):
            self.cluster.request_grant('a', f'r-{number}', rank, deadline_ms=2000)
            self.cluster.confirm('a', f'r-{number}')
        self.cluster.advance(2500)
        actions = [call.args[1] for call in on_decided.call_args_list]
        decided = [(type(action).__name__, action.tier_rank) for action in actions]
        self.assertEqual(sorted(decided), [('Expire', 0), ('Expire', 1), ('Grant', 2)])

    def test_dispatcher_death(self):
        """Guards against requests and grants lost when their dispatcher dies."""
        first, second = self.cluster.others()
        self.cluster.request_grant(first, 'running')
        self.cluster.confirm(first, 'running')
        self.cluster.request_grant(second, 'waiting')
        self.cluster.kill(self.cluster.dispatcher)
        self.cluster.advance(600)
        self.assertFalse(self.granted('waiting'))
        self.cluster.finish(first, 'running')
        self.assertTrue(self.granted('waiting'))

    def test_expired_grant_is_not_used(self):
        """Guards against a dispatch by an entry paused until its grant expired."""
        entry = self.cluster.others()[0]
        self.cluster.request_grant(entry, 'paused')
        self.cluster.now_ms += 60_000
        self.assertFalse(self.cluster.confirm(entry, 'paused'))

    def test_lost_grant_request_is_resent(self):
        """Guards against a request that waits forever after a lost message."""
        entry = self.cluster.others()[0]
        self.cluster.cut.add(self.cluster.dispatcher)
        self.cluster.request_grant(entry, 'lost')
        self.cluster.cut.clear()
        self.cluster.advance(200)
        self.assertTrue(self.granted('lost'))

    def test_unreachable_dispatcher(self):
        """Guards against a caller that gets no error after its deadline."""
        entry = self.cluster.others()[0]
        self.cluster.cut.add(self.cluster.dispatcher)
        self.cluster.request_grant(entry, 'late', deadline_ms=self.cluster.now_ms + 300)
        self.cluster.advance(400)
        self.assertIsInstance(self.cluster.outcomes['late'], DeadlineExceededError)

    def test_withdrawn_version_is_not_used(self):
        """Guards against a dispatch to a version withdrawn after the grant."""
        entry = self.cluster.others()[0]
        self.cluster.request_grant(entry, 'granted')
        servers = self.cluster.by_name[entry].servers
        servers.withdrawn_version_ids.add('v1')
        self.assertFalse(self.cluster.confirm(entry, 'granted'))

    def test_unwanted_grant_is_returned(self):
        """Guards against credits lost to a request whose caller disconnected."""
        entry = self.cluster.others()[0]
        self.cluster.request_grant(entry, 'gone')
        exchange = self.cluster.by_name[entry]
        actions = exchange.client.finish(
            'gone', DispatchResult(succeeded=False, dispatched=False)
        )
        self.cluster.perform(entry, actions)
        self.cluster.deliver()
        self.cluster.request_grant(entry, 'next')
        self.assertTrue(self.granted('next'))
