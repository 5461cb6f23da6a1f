"""Test the metrics of requests and decisions."""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.process.decision_counter import DecisionCounter
from marjoramfall.process.entry import EntryProcess
from marjoramfall.process.entry_core import RecordMove
from marjoramfall.process.metrics import MAX_LABEL_VALUES, Metrics
from marjoramfall.request.events import Expire, Grant, Shed
from marjoramfall.request.record import RequestRecord
from marjoramfall.version.actions import MoveFigures, WithdrawVersion
from tests.caller_case import STREAM, CallerCase, stream_whole
from tests.request_fakes import CONFIGURATION
from tests.test_operations_page import load_example


class RequestRecordTest(CallerCase):
    """Cover what the callers' interface reports of a request."""

    def test_labels(self):
        """Guards against requests counted for no service or a made-up one."""
        self.start(stream_whole)
        unknown = {**STREAM, 'model': 'made-up'}
        bulk = 'X-Tier: bulk\r\n'
        self.exchange(self.request('/v1/completions', STREAM, headers=bulk))
        self.exchange(self.request('/v1/completions', unknown))
        self.exchange(self.request('/v1/completions', STREAM, key='wrong'))
        seen = [
            (record.outcome, record.service_id, record.tier_id)
            for record in self.records
        ]
        self.assertEqual(
            seen,
            [
                ('ok', 'reviews', 'bulk'),
                ('unknown_service', '', 'gold'),
                ('unauthorized', '', ''),
            ],
        )


class MetricsTest(unittest.TestCase):
    """Cover the counting of requests and decisions."""

    def setUp(self):
        self.metrics = Metrics(vm='entry-1', data_centre='dc-a')

    def count(self, outcome, service_id='reviews'):
        record = RequestRecord(request_id='r', started_ms=500, ended_ms=2000)
        record.outcome = outcome
        record.service_id = service_id
        record.tier_id = 'gold'
        self.metrics.count_request(record)

    def test_durations(self):
        """Guards against refusals that make the latency look good."""
        self.count('ok')
        self.count('shed')
        labels = {'service': 'reviews', 'tier': 'gold'}
        observed = self.metrics.request_seconds.get(labels)
        self.assertEqual((observed['count'], observed['sum']), (1, 1.5))

    def test_label_values_are_bounded(self):
        """Guards against memory that grows with every service ever made."""
        for number in range(MAX_LABEL_VALUES + 3):
            self.count('ok', f'service-{number}')
        labels = {'outcome': 'ok', 'service': 'other', 'tier': 'gold'}
        self.assertEqual(self.metrics.requests.get(labels), 3)
        self.count('ok', 'service-0')
        self.assertEqual(
            self.metrics.requests.get({**labels, 'service': 'service-0'}), 2
        )

    def test_decisions(self):
        """Guards against decisions under the wrong kind or tier."""
        counter = DecisionCounter(self.metrics, lambda: CONFIGURATION)
        ids = {'request_id': 'r', 'entry_id': 'e'}
        grant = Grant(**ids, server_id='s', version_id='v', expires_ms=1, tier_rank=0)
        shed = Shed(**ids, tier_rank=1, reason='overload', retry_after_ms=1)
        for action in (grant, shed, Expire(**ids, tier_rank=9)):
            counter.count('reviews', action)
        for decision, tier in (('granted', 'gold'), ('shed', 'bulk'), ('expired', '')):
            labels = {'decision': decision, 'group': 'reviews', 'tier': tier}
            self.assertEqual(self.metrics.decisions.get(labels), 1)

    def test_entry_counts(self):
        """Guards against a host or a move whose decisions nobody counts."""
        process = EntryProcess(load_example(), PausedClock())
        withdrawal = WithdrawVersion(
            move_id='m',
            service_id='reviews',
            version_id='v2',
            reason='failures',
            figures=MoveFigures(),
        )
        process._perform([RecordMove(withdrawal)])
        process.core.state.exchange.host.on_decided(
            'reviews', Expire(request_id='r', entry_id='e', tier_rank=0)
        )
        labels = {'decision': 'expired', 'group': 'reviews', 'tier': ''}
        self.assertEqual(process.metrics.withdrawals.get({'version': 'v2'}), 1)
        self.assertEqual(process.metrics.decisions.get(labels), 1)
