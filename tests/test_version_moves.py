"""Test that moves of traffic end in time and that bad versions get little."""

import random
import unittest

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.peer_table import PeerTable
from marjoramfall.gateway.version_moves import Phase, VersionMoves
from marjoramfall.platform.move_status import MoveRecorder
from marjoramfall.platform.store import StoreError
from tests.gateway_fakes import make_state
from tests.test_platform_adapter import StoreCase

ORDER = VersionMove('ledger', 'v2', 10, revision=5)
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
REQUESTS_PER_S = 40


class MovesCase(unittest.TestCase):
    """Hold the moves of one entry with an order that has just come."""

    def setUp(self):
        random.seed(20261204)
        self.clock = PausedClock()
        self.moves = self.new_entry()
        self.canary_requests = 0

    def new_entry(self):
        """Return the moves of an entry that knows the order."""
        moves = VersionMoves(self.clock, expose_share=EXPOSE_SHARE)
        moves.begin(ORDER)
        return moves

    def run_traffic(self, seconds, bad_percent=0):
        """Send requests for some seconds; some of the new version fail."""
        for _ in range(int(seconds * REQUESTS_PER_S)):
            self.clock.advance_ms(1000 / REQUESTS_PER_S)
            is_new = self.moves.choose('ledger').allows('v2')
            self.canary_requests += is_new
            self.moves.on_result(
                'ledger',
                'v2' if is_new else 'v1',
                route='r',
                failed=is_new and random.randrange(100) < bad_percent,
                first_ms=30,
            )

    def move(self):
        """Return the only move."""
        return self.moves.moves[0]


class TestGoodVersion(MovesCase):
    """A good version gets all traffic before the deadline."""

    def test_completed(self):
        """Guards against a good version that is not moved in time."""
        self.run_traffic(5)
        self.assertLess(self.canary_requests, 5 * REQUESTS_PER_S * EXPOSE_SHARE)
        self.run_traffic(3.6)
        self.assertFalse(self.moves.choose('ledger').allows('v1'))
        self.assertTrue(self.moves.is_due(self.move()))
        self.moves.end(self.move(), completed=True)
        self.assertTrue(self.moves.choose('ledger').allows('v1'))

    def test_failures_of_both_versions(self):
        """Guards against a withdrawal for failures that both versions have."""
        for _ in range(200):
            for version in ('v1', 'v2'):
                self.moves.on_result(
                    'ledger',
                    version,
                    route='r',
                    failed=random.randrange(100) < 14,
                    first_ms=30,
                )
        self.assertIs(self.move().phase, Phase.RUNNING)


class TestBadVersion(MovesCase):
    """A bad version gets little, and nothing once its badness shows."""

    def test_bad_at_once(self):
        """Guards against traffic for a version that always failed."""
        self.run_traffic(10, 100)
        self.assertLess(self.canary_requests, 10)

    def test_bad_in_part(self):
        """Guards against a version that fails a third of its requests."""
        self.run_traffic(10, 33)
        allowed = EXPOSE_SHARE * 10 * REQUESTS_PER_S + EXPOSE_SLACK
        self.assertLess(self.canary_requests, allowed)
        self.assertIs(self.move().phase, Phase.WITHDRAWN)

    def test_bad_under_load(self):
        """Guards against a version that fails only once it has all traffic."""
        self.run_traffic(6)
        self.run_traffic(2, 50)
        allowed = EXPOSE_SHARE * 10 * REQUESTS_PER_S + EXPOSE_SLACK
        self.assertLess(self.canary_requests, allowed)
        self.assertIs(self.move().phase, Phase.WITHDRAWN)

    def test_slow(self):
        """Guards against a version that answers several times slower."""
        self.run_traffic(1)
        for _ in range(4):
            self.moves.on_result('ledger', 'v2', route='r', failed=False, first_ms=200)
        self.assertIs(self.move().phase, Phase.WITHDRAWN)
        self.assertFalse(self.moves.choose('ledger').allows('v2'))

    def test_peers_withdraw(self):
        """Guards against an entry that goes on after a peer has seen enough."""
        other = self.new_entry()
        self.run_traffic(10, 100)
        other.on_reports('entry-1', self.moves.reports())
        self.assertFalse(other.choose('ledger').allows('v2'))

    def test_results_add_up(self):
        """Guards against entries that each wait for enough failures."""
        other = self.new_entry()
        for moves in (self.moves, other):
            for _ in range(2):
                moves.on_result('ledger', 'v2', route='r', failed=True, first_ms=None)
        other.on_reports('entry-1', self.moves.reports())
        self.assertFalse(other.choose('ledger').allows('v2'))

    def test_older_order(self):
        """Guards against an order that is read again after a newer one."""
        self.moves.begin(VersionMove('ledger', 'v3', 10, revision=4))
        self.assertEqual(self.move().order.version, 'v2')


class TestRecorder(StoreCase):
    """The state of a move is written once and never changed after its end."""

    def setUp(self):
        super().setUp()
        self.paused = PausedClock()
        self.peers = PeerTable(self.paused, own_vm='entry-1', data_centre='dc-a')
        self.moves = VersionMoves(self.paused, expose_share=EXPOSE_SHARE)
        self.moves.begin(ORDER)
        self.recorder = self.new_recorder(self.moves)

    def new_recorder(self, moves):
        """Return a recorder of an entry."""
        return MoveRecorder(
            self.new_client(), moves, self.peers, self.paused, vm='entry-1'
        )

    def status(self):
        """Return what the operator reads."""
        return msgspec.json.decode(self.store.get('status', 'rollout/ledger'))

    def check(self):
        """Let the recorder look at the move."""
        self.recorder.check(self.moves.moves[0])

    def test_states(self):
        """A move is running, then completed."""
        self.check()
        self.assertEqual(self.status()['state'], 'running')
        self.assertEqual(self.status()['to'], 'v2')
        self.paused.advance_ms(9000)
        self.check()
        self.assertEqual(self.status()['state'], 'completed')
        self.assertIs(self.moves.moves[0].phase, Phase.COMPLETED)

    def test_first_end_decides(self):
        """Guards against two entries that report different ends."""
        other = VersionMoves(self.paused, expose_share=EXPOSE_SHARE)
        other.begin(ORDER)
        other.moves[0].phase = Phase.WITHDRAWN
        self.paused.advance_ms(9000)
        self.check()
        self.new_recorder(other).check(other.moves[0])
        self.assertEqual(self.status()['state'], 'completed')
        self.assertIs(other.moves[0].phase, Phase.COMPLETED)

    def test_store_down(self):
        """Guards against an end that is forgotten while the store is down."""
        self.moves.moves[0].phase = Phase.WITHDRAWN
        self.store.faults.status = 503
        self.check()
        self.store.faults.status = 0
        self.check()
        self.assertEqual(self.status()['state'], 'rolled_back')

    def test_entries_take_turns(self):
        """Guards against all entries that write at once."""
        self.peers.update(make_state('entry-0'))
        self.check()
        self.assertIsNone(self.store.get('status', 'rollout/ledger'))
        self.paused.advance_ms(500)
        self.check()
        self.assertEqual(self.status()['state'], 'running')

    def test_refused_store(self):
        """The failure of the store is typed."""
        self.store.faults.status = 429
        with self.assertRaises(StoreError):
            self.client.read_table('status')
