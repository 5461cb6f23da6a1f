"""Check the invariants of the dispatcher over random sequences of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import (
    FinishReport,
    Grant,
    ServerInfo,
    Shed,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.version.router import SingleVersionRouter

SERVER_IDS = ('s0', 's1', 's2', 's3')
MAX_CONCURRENCY = 3


class DispatcherMachine(RuleBasedStateMachine):
    """Model the requests in dicts and compare every action with the model."""

    def __init__(self):
        super().__init__()
        self.now_ms = float(0)
        self.request_count = 0
        self.waiting = {}
        self.granted = {}
        self.started = {}
        self.tokens = {}
        self.dispatcher = Dispatcher('group', SingleVersionRouter('v1'))
        self.server_ids = SERVER_IDS
        self.apply(self.dispatcher.set_servers(self.servers(), 0))

    def servers(self):
        """Return the servers that are in the group."""
        return [
            ServerInfo(
                server_id=server_id,
                version_id='v1',
                data_centre='dc-1',
                max_concurrency=MAX_CONCURRENCY,
            )
            for server_id in self.server_ids
        ]

    def apply(self, actions):
        """Check each action and apply it to the model."""
        for action in actions:
            assert action.request_id not in self.started, 'action on a started request'
            request = self.waiting.pop(action.request_id)
            ranks = [other.tier_rank for other in self.waiting.values()]
            if isinstance(action, Grant):
                assert min(ranks, default=9) >= request.tier_rank, 'grant inversion'
                assert action.request_id not in self.granted, 'double grant'
                server = self.dispatcher._group.get(action.server_id)
                assert server.running <= MAX_CONCURRENCY, 'concurrency limit exceeded'
                self.granted[action.request_id] = action
            elif isinstance(action, Shed):
                assert max(ranks, default=0) <= request.tier_rank, 'shed inversion'

    @rule(
        rank=st.integers(0, 3),
        team=st.integers(0, 2),
        prefill=st.integers(1, 4000),
        decode=st.integers(1, 400),
        allowed_ms=st.integers(1, 60_000),
        prefix=st.integers(0, 3),
    )
    def enqueue(self, rank, team, prefill, decode, allowed_ms, prefix):
        """Enqueue a new request."""
        self.request_count += 1
        request = WaitingRequest(
            request_id=f'r{self.request_count}',
            entry_id=f'entry-{self.request_count % 2}',
            tier_rank=rank,
            team_id=f'team-{rank}-{team}',
            team_weight=1 + team,
            deadline_ms=self.now_ms + allowed_ms,
            arrived_ms=self.now_ms,
            work=WorkEstimate(prefill, decode),
            prefix_hashes=(prefix, prefix * 10 + self.request_count % 5),
        )
        self.waiting[request.request_id] = request
        self.tokens[request.request_id] = request.work.total_tokens
        self.apply(self.dispatcher.enqueue(request, self.now_ms))

    @rule(pick=st.integers(0))
    def repeat(self, pick):
        """Enqueue a waiting request again."""
        if self.waiting:
            repeated = list(self.waiting.values())[pick % len(self.waiting)]
            self.apply(self.dispatcher.enqueue(repeated, self.now_ms))

    @rule(pick=st.integers(0))
    def repeat_granted(self, pick):
        """Enqueue a granted request again, which returns the same grant."""
        if self.granted:
            grant = list(self.granted.values())[pick % len(self.granted)]
            repeated = WaitingRequest(
                request_id=grant.request_id,
                entry_id=grant.entry_id,
                tier_rank=0,
                team_id='team',
                team_weight=1,
                deadline_ms=self.now_ms + 1000,
                arrived_ms=self.now_ms,
                work=WorkEstimate(1, 1),
            )
            assert self.dispatcher.enqueue(repeated, self.now_ms) == [grant]

    @rule(pick=st.integers(0))
    def start(self, pick):
        """Start a granted request before its grant expires."""
        if self.granted:
            request_id = list(self.granted)[pick % len(self.granted)]
            self.started[request_id] = self.granted.pop(request_id)
            self.apply(self.dispatcher.on_started(request_id, self.now_ms))

    @rule(pick=st.integers(0), succeeded=st.booleans(), token_ms=st.integers(1, 400))
    def finish(self, pick, succeeded, token_ms):
        """Finish a started request."""
        if not self.started:
            return
        request_id = list(self.started)[pick % len(self.started)]
        grant = self.started.pop(request_id)
        report = FinishReport(
            request_id=request_id,
            server_id=grant.server_id,
            version_id='v1',
            route='',
            succeeded=succeeded,
            dispatched=True,
            first_token_ms=10,
            total_ms=10 + 20 * token_ms,
            work=WorkEstimate(100, 20),
            decode_tokens=20,
        )
        self.apply(self.dispatcher.on_finished(report, self.now_ms))

    @rule(pick=st.integers(0))
    def withdraw(self, pick):
        """Withdraw a request that is waiting or has an unstarted grant."""
        ids = [*self.waiting, *self.granted]
        if ids:
            request_id = ids[pick % len(ids)]
            self.waiting.pop(request_id, None)
            self.granted.pop(request_id, None)
            self.apply(self.dispatcher.withdraw(request_id, self.now_ms))

    @rule(present=st.sets(st.sampled_from(SERVER_IDS), min_size=1))
    def change_servers(self, present):
        """Remove servers and add them again while requests are in flight."""
        self.server_ids = tuple(sorted(present))
        self.apply(self.dispatcher.set_servers(self.servers(), self.now_ms))

    @rule(server_id=st.sampled_from(SERVER_IDS), tokens=st.integers(1, 900))
    def adopt(self, server_id, tokens):
        """Adopt a request that an earlier dispatcher granted."""
        self.request_count += 1
        grant = Grant(
            request_id=f'r{self.request_count}',
            entry_id='entry-0',
            server_id=server_id,
            version_id='v1',
            expires_ms=self.now_ms,
        )
        self.started[grant.request_id] = grant
        self.tokens[grant.request_id] = tokens
        work = WorkEstimate(tokens, 0)
        self.dispatcher.adopt_active(
            'entry-0', grant.request_id, server_id, 'v1', work, self.now_ms
        )

    @rule(entry=st.integers(0, 1))
    def release_entry(self, entry):
        """Release an entry process with all its requests."""
        entry_id = f'entry-{entry}'
        for requests in (self.waiting, self.granted, self.started):
            for request_id, request in list(requests.items()):
                if request.entry_id == entry_id:
                    requests.pop(request_id)
        self.apply(self.dispatcher.release_entry(entry_id, self.now_ms))

    @rule(passed_ms=st.integers(1, 2000))
    def tick(self, passed_ms):
        """Advance the time; unstarted grants expire."""
        self.now_ms += passed_ms
        for request_id, grant in list(self.granted.items()):
            if grant.expires_ms <= self.now_ms:
                self.granted.pop(request_id)
        self.apply(self.dispatcher.tick(self.now_ms))

    @invariant()
    def credits_match(self):
        """Check that credits in use match the requests in flight."""
        in_flight = [*self.granted.values(), *self.started.values()]
        assert self.dispatcher.waiting_count == len(self.waiting)
        assert self.dispatcher.active_count == len(in_flight)
        for server_id in self.server_ids:
            server = self.dispatcher._group.get(server_id)
            server_grants = [
                grant for grant in in_flight if grant.server_id == server_id
            ]
            assert server.running == len(server_grants)
            assert server.tokens == sum(
                self.tokens[grant.request_id] for grant in server_grants
            )

    @invariant()
    def at_most_half_ejected(self):
        """Check that at most half of the servers are ejected."""
        ejected = self.dispatcher._group._ejection.ejected_ids(self.now_ms)
        assert len(ejected) <= len(self.server_ids) / 2


class DispatcherMachineTest(unittest.TestCase):
    """Run the state machine."""

    def test_invariants(self):
        """Guards against tier inversions, double grants and leaked credits.

        Also guards against the ejection of more than half of the servers.
        """
        case = DispatcherMachine.TestCase()
        case.settings = settings(
            max_examples=150, stateful_step_count=60, derandomize=True, deadline=None
        )
        case.runTest()
