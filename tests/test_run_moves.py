"""Test which running streams move, and where to.

The pattern is a deployment where a third of the servers are four times slower.
"""

import unittest
from functools import partial

from marjoramfall.gateway.model import Service
from marjoramfall.gateway.servers.length_estimate import LengthEstimates
from marjoramfall.gateway.servers.run_moves import (
    MAX_MOVES_PER_ENTRY,
    MAX_MOVES_PER_SOURCE,
    MAX_MOVES_PER_STREAM,
    RunMovePolicy,
    RunningStream,
)
from tests.gateway_fakes import MODEL, make_load

NOW_MS = 1000.0
SLOW_MS = 80.0
FAST_MS = 16.0
SERVICE = Service(
    MODEL,
    100,
    is_model=True,
    tokens_per_event=4,
    moves_runs=True,
    token_bytes=1_000_000,
    link_mbps=8000,
)


def make_measured(server_id, event_ms=FAST_MS, **changes):
    """Return a server whose speed is known."""
    load = make_load(server_id, **changes)
    load.speeds.add_event_sample(event_ms)
    return load


def make_stream(request_id='a', source='slow', **changes):
    """Return a stream that ends 10 s late at its slow server."""
    fields = {
        'request_id': request_id,
        'source': make_measured(source, SLOW_MS),
        'priority': 0,
        'deadline_ms': NOW_MS + 10_000,
        'max_gap_ms': 400,
        'gap_ms': SLOW_MS,
        'gap_age_ms': 0,
        'prompt_tokens': 100,
        'generated_tokens': 100,
        'remaining_tokens': 1000,
        'tokens_per_event': 4,
    }
    return RunningStream(**{**fields, **changes})


def choose(*streams, loads=None, under_way=()):
    """Return the moves of some streams."""
    found = [make_measured('fast')] if loads is None else loads
    return RunMovePolicy().choose(
        streams, SERVICE, list(under_way), lambda stream: found, NOW_MS
    )


class TestRunMovePolicy(unittest.TestCase):
    """Move what misses its end, to a server where it makes it."""

    def test_late_stream(self):
        """Guards against a stream that stays until its deadline cuts it."""
        move = choose(make_stream())[0]
        self.assertEqual(move.destination.server.server_id, 'fast')
        self.assertLess(move.slack_ms, 0)
        self.assertEqual(move.transfer_ms, 200)

    def test_stays(self):
        """Guards against moves of streams that gain nothing by one."""
        for name, changes in (
            ('in time', {'deadline_ms': NOW_MS + 30_000}),
            ('late there as well', {'deadline_ms': NOW_MS + 3000}),
            ('almost whole', {'remaining_tokens': 20, 'deadline_ms': NOW_MS}),
            ('moved before', {'past_moves': MAX_MOVES_PER_STREAM}),
        ):
            with self.subTest(name):
                self.assertEqual(choose(make_stream(**changes)), [])

    def test_unfit_destinations(self):
        """Guards against a move to a server that is slow or not known."""
        for load in (make_load('unknown'), make_measured('slow-too', SLOW_MS)):
            with self.subTest(load.server.server_id):
                self.assertEqual(choose(make_stream(), loads=[load]), [])

    def test_long_gaps(self):
        """Guards against a caller that leaves after gaps that are too long."""
        stream = make_stream(deadline_ms=NOW_MS + 60_000, max_gap_ms=SLOW_MS - 1)
        self.assertEqual(len(choose(stream)), 1)

    def test_remote_transfer(self):
        """Guards against a transfer to another data centre that counts as short."""
        loads = [make_measured('far', data_centre='dc-b'), make_measured('near')]
        move = choose(make_stream(), loads=loads)[0]
        self.assertEqual(move.destination.server.server_id, 'near')
        move = choose(make_stream(), loads=loads[:1])[0]
        self.assertEqual(move.transfer_ms, 400)

    def test_order(self):
        """Guards against a low priority that takes the only fast server."""
        streams = (
            make_stream('low', priority=1, deadline_ms=NOW_MS + 9000),
            make_stream('late'),
            make_stream('later', deadline_ms=NOW_MS + 9500),
        )
        moves = choose(*streams)
        self.assertEqual([move.stream.request_id for move in moves], ['later'])

    def test_bounds(self):
        """Guards against moves that all start at once."""
        streams = [make_stream(str(number)) for number in range(9)]
        loads = [make_measured(f'fast-{number}') for number in range(9)]
        moves = choose(*streams, loads=loads)
        self.assertEqual(len(moves), MAX_MOVES_PER_SOURCE)
        streams = [make_stream(str(number), f's{number}') for number in range(9)]
        moves = choose(*streams, loads=loads)
        self.assertEqual(len(moves), MAX_MOVES_PER_ENTRY)
        under_way = [('s', f'd{number}') for number in range(len(moves))]
        self.assertEqual(choose(*streams, loads=loads, under_way=under_way), [])


class TestRemainingLength(unittest.TestCase):
    """Expect what the caller expects, and more once that is passed."""

    def test_remaining(self):
        """Guards against a long stream that always seems to end at once."""
        lengths = LengthEstimates()
        remaining = partial(lengths.remaining_tokens, 'long', 100, 1000)
        self.assertAlmostEqual(remaining(40), 60, delta=20)
        self.assertGreaterEqual(remaining(200), 30)
        self.assertLessEqual(remaining(900), 100)
