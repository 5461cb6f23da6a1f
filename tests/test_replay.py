import pathlib
import tempfile
import unittest

import gevent
import msgspec

from marjoramfall.clock import RuntimeClock
from marjoramfall.model import ServiceKind
from marjoramfall.replay.check import classify
from marjoramfall.replay.client import ReplayClient
from marjoramfall.replay.outcome import Outcome, OutcomeKind
from marjoramfall.replay.prompt import make_body
from marjoramfall.replay.score import score_replay
from marjoramfall.replay.server_stats import ServerStats, find_key_violations
from marjoramfall.replay.trace import (
    KeySource,
    StatedOutcomes,
    Trace,
    TraceError,
    TraceHeader,
    TraceRequest,
    load_trace,
)
from marjoramfall_standins.engine.stream import Stream
from marjoramfall_standins.engine.wire import DONE_EVENT, token_event
from marjoramfall_standins.http import (
    Application,
    NoDelayServer,
    Response,
    break_connection,
)


def _request(**changes):
    values = {
        'at_ms': 0,
        'team': 'billing',
        'tier': 'gold',
        'kind': ServiceKind.MODEL,
        'service': 'drafting',
        'path': '/v1/completions',
        'deadline_ms': 1000,
        'prompt_tokens': 100,
        'output_tokens': 3,
    }
    return TraceRequest(**{**values, **changes})


def _header(**outcomes):
    return TraceHeader(
        name='test',
        format=1,
        seed=1,
        tiers=['gold', 'bronze'],
        outcomes=StatedOutcomes(**outcomes),
    )


class ClassifyTest(unittest.TestCase):
    """Check that only the whole response to the request itself is good."""

    def setUp(self):
        self.request = _request()
        self.body = make_body(self.request, 1, 'salt')

    def events(self, body):
        stream = Stream(
            request_id='r1',
            path=self.request.path,
            model='drafting',
            prompt=body.prompt,
            max_tokens=self.request.output_tokens,
        )
        stream.emitted = self.request.output_tokens
        return [token_event(stream, index, 0) for index in range(stream.emitted)]

    def kind_of(self, *events, status=200):
        received = b''.join(events)
        return classify(self.request, self.body, status, received).kind

    def test_damaged_streams(self):
        """Guards against a lost, repeated or swapped token that goes unseen."""
        first, second, third = self.events(self.body)
        self.assertEqual(self.kind_of(first, second, third, DONE_EVENT), 'good')
        for damaged in (
            (first, third, DONE_EVENT),
            (first, first, second, third, DONE_EVENT),
            (second, first, third, DONE_EVENT),
            (first, second, DONE_EVENT),
            (first, second, third),
            (b'garbage', DONE_EVENT),
            (DONE_EVENT,),
        ):
            self.assertEqual(self.kind_of(*damaged), 'wrong')

    def test_response_of_another_request(self):
        """Guards against a response to another prompt that counts as good."""
        foreign = self.events(make_body(self.request, 2, 'salt'))
        self.assertEqual(self.kind_of(*foreign, DONE_EVENT), 'wrong')
        mixed = [*self.events(self.body)[:1], *foreign[1:]]
        self.assertEqual(self.kind_of(*mixed, DONE_EVENT), 'wrong')

    def test_errors(self):
        """Guards against an error whose run state is lost in the counts."""
        for run_state, kind in (
            ('not_run', OutcomeKind.REFUSED),
            ('run', OutcomeKind.FAILED),
            ('unknown', OutcomeKind.UNKNOWN),
        ):
            error = {'error': {'code': 'shed', 'run_state': run_state}}
            encoded = msgspec.json.encode(error)
            self.assertEqual(self.kind_of(encoded, status=503), kind)
            event = b''.join((b'event: error\ndata: ', encoded, b'\n\n'))
            self.assertEqual(self.kind_of(self.events(self.body)[0], event), kind)
        self.assertEqual(self.kind_of(b'oops', status=500), OutcomeKind.BROKEN)


class ScoreTest(unittest.TestCase):
    """Check that stated outcomes are compared with what happened."""

    def setUp(self):
        self.requests = [
            _request(at_ms=at_ms, tier=tier)
            for at_ms in (0, 1, 2, 10_000)
            for tier in ('gold', 'bronze')
        ]
        self.outcomes = [Outcome(kind=OutcomeKind.GOOD) for _ in self.requests]

    def violations(self, **outcomes):
        trace = Trace(_header(**outcomes), self.requests)
        return score_replay(trace, self.outcomes).violations

    def test_slowest_slice(self):
        """Guards against a bad slice that a good average hides."""
        self.outcomes[6] = Outcome(kind=OutcomeKind.LATE)
        self.assertEqual(self.violations(min_goodput={'gold': 0.75}), [])
        self.assertEqual(len(self.violations(min_slice_goodput={'gold': 0.75})), 1)
        self.assertEqual(self.violations(min_slice_goodput={'bronze': 1}), [])

    def test_limits(self):
        """Guards against sheds and wrong responses above the stated count."""
        self.outcomes[0] = Outcome(kind=OutcomeKind.REFUSED, code='shed')
        self.outcomes[1] = Outcome(kind=OutcomeKind.WRONG)
        limits = {OutcomeKind.WRONG: 0, OutcomeKind.REFUSED: 1}
        found = self.violations(max_shed={'gold': 0}, max_outcomes=limits)
        self.assertEqual(len(found), 2)

    def test_tier_without_requests(self):
        """Guards against a stated outcome that holds for want of requests."""
        self.assertEqual(len(self.violations(min_goodput={'silver': 0.1})), 1)

    def test_runs_by_key(self):
        """Guards against a second run, or a run of a refused request."""
        kinds = (OutcomeKind.GOOD, OutcomeKind.REFUSED, OutcomeKind.UNKNOWN)
        outcomes = [Outcome(kind=kind, key=kind.value) for kind in kinds]
        whole = [ServerStats(runs_by_key={'good': 1, 'unknown': 1})]
        self.assertEqual(find_key_violations(outcomes, whole), [])
        repeated = ServerStats(runs_by_key={'good': 1, 'unknown': 1, 'refused': 1})
        self.assertEqual(len(find_key_violations(outcomes, [*whole, repeated])), 3)
        self.assertEqual(len(find_key_violations(outcomes, [ServerStats()])), 1)


class LoadTraceTest(unittest.TestCase):
    """Check that a faulty trace is refused with its line."""

    def load(self, *records):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'trace.jsonl'
            path.write_bytes(b'\n'.join(map(msgspec.json.encode, records)))
            return load_trace(path)

    def test_faults(self):
        """Guards against a replay of something else than was meant."""
        late = _request(at_ms=5)
        self.assertEqual(len(self.load(_header(), late).requests), 1)
        for broken in (
            _request(),
            _request(at_ms=6, tier='silver'),
            _request(at_ms=6, output_tokens=0),
            {'at_ms': 6},
        ):
            with self.assertRaisesRegex(TraceError, 'trace.jsonl:3: '):
                self.load(_header(), late, broken)


class _Breaking(Application):
    """Answer with a body that ends too early."""

    def handle(self, request):
        body = iter((b'{"id":', b''))
        gevent.spawn(break_connection, request.connection)
        return Response(body=body, headers=(('Content-Length', '100'),))


class ReplayClientTest(unittest.TestCase):
    """Check that requests without a response are counted."""

    def test_broken_connections(self):
        """Guards against a broken connection that ends the replay."""
        server = NoDelayServer('127.0.0.1:0', _Breaking())
        server.start()
        self.addCleanup(server.stop, timeout=0)
        target = f'127.0.0.1:{server.server_port}'
        client = ReplayClient(RuntimeClock(), [target], {})
        issued = _request(idempotency=KeySource.ENTRY_ISSUED)
        outcomes = client.run(Trace(_header(), [_request(), issued]))
        self.assertEqual([outcome.kind for outcome in outcomes], ['broken', 'broken'])
