import unittest

from marjoramfall.clock import PausedClock
from marjoramfall_standins.engine.batch import Batch, EngineSpeed
from marjoramfall_standins.engine.cache import CacheEventLog, PrefixCache
from marjoramfall_standins.engine.stream import Stream, StreamState
from marjoramfall_standins.platform import VmHistory
from marjoramfall_standins.tables import Condition, Database, Transaction, Write

PROMPT = 'plan ' * 200  # 1,000 bytes: 250 tokens, 3 whole blocks


def _stream(request_id, *, max_tokens=2):
    return Stream(
        request_id=request_id,
        path='/v1/completions',
        model='assistant',
        prompt=PROMPT,
        max_tokens=max_tokens,
    )


class BatchTest(unittest.TestCase):
    """Check that the model engine works as continuous batching does."""

    def setUp(self):
        self.log = CacheEventLog(delay_ms=100, gap_every=3)
        cache = PrefixCache(capacity=2, log=self.log)
        speed = EngineSpeed(batch_tokens=100, max_batch=2, prefill_tokens_per_s=1000)
        self.batch = Batch(speed, cache)

    def run_steps(self, count):
        for _ in range(count):
            self.batch.complete(self.batch.plan(), 0)

    def test_arrival_order(self):
        """Guards against an engine that favours later or shorter requests."""
        first, second, third = (_stream(name) for name in 'abc')
        for stream in (first, second, third):
            self.batch.add(stream)
        step = self.batch.plan()
        self.assertEqual(step.prefill, ((first, 100),))
        self.assertEqual(self.batch.duration_ms(step), 100)
        self.assertEqual(third.state, StreamState.WAITING)

    def test_cached_prefix(self):
        """Guards against a hit that counts more than the cache can hold."""
        first = _stream('a')
        self.batch.add(first)
        self.run_steps(4)
        self.assertEqual(first.state, StreamState.DONE)
        second = _stream('b')
        self.batch.add(second)
        self.batch.plan()
        self.assertEqual(second.cached_tokens, 2 * 64)

    def test_cancel_counts_waste(self):
        """Guards against cancelled work that no count shows."""
        stream = _stream('a')
        self.batch.add(stream)
        self.run_steps(1)
        self.batch.cancel(stream)
        self.batch.cancel(stream)
        self.assertTrue(self.batch.idle)
        self.assertEqual(self.batch.counts['prefill_tokens_wasted'], 100)
        self.assertEqual(self.batch.counts['cancelled'], 1)

    def test_late_events_with_gaps(self):
        """Guards against cache events that are better than real ones."""
        self.batch.add(_stream('a'))
        self.run_steps(4)
        self.assertEqual(self.log.published(0, 10, now_ms=99), [])
        sequences = [event.sequence for event in self.log.published(0, 10, now_ms=100)]
        self.assertEqual(sequences, [1, 2, 4])


class DatabaseTest(unittest.TestCase):
    """Check the transactions of the table service."""

    def test_all_or_nothing(self):
        """Guards against a write whose condition did not hold."""
        database = Database()
        database.transact(Transaction(writes=[Write('config', 'head', 1)]))
        refused = Transaction(
            conditions=[
                Condition('config', 'head', 1),
                Condition('config', 'log/1', 'present'),
            ],
            writes=[Write('config', 'head', 2)],
        )
        self.assertEqual(database.transact(refused), 1)
        self.assertEqual(database.read('config', 'head'), '1')

    def test_scan_is_bounded_by_prefix(self):
        """Guards against rows of another prefix or the start row in a page."""
        database = Database()
        keys = ('head', 'log/1', 'log/2', 'log/3', 'moves')
        writes = [Write('config', key, 0) for key in keys]
        database.transact(Transaction(writes=writes))
        found = database.scan('config', 'log/', 'log/1', 10)
        self.assertEqual([key for key, _ in found], ['log/2', 'log/3'])


class VmHistoryTest(unittest.TestCase):
    """Check the lagging VM list."""

    def test_lag(self):
        """Guards against a list that shows a change before its lag is over."""
        clock = PausedClock()
        history = VmHistory(clock)
        history.set_vms(['old'])
        clock.advance_ms(1000)
        history.set_vms(['new'])
        clock.advance_ms(500)
        self.assertEqual(history.vms(lag_ms=600), ['old'])
        self.assertEqual(history.vms(lag_ms=500), ['new'])
