"""Test that odd rows and messages of other writers do not stop an entry.

The pattern is another writer beside the servers, whose rows hold a number of 401
digits, and a restart of all entries while such a row is there (review/9).
"""

import copy
import json
import unittest

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.peers.peer_state import (
    LimitLevel,
    WaitingCall,
    decode_state,
    encode_state,
)
from marjoramfall.gateway.registry import Registry, ServerChange, Snapshot
from marjoramfall.platform.json_records import InvalidRecordError, decode_record
from marjoramfall.platform.move_status import _Status
from marjoramfall.platform.quarantine_record import _EvidenceRecord, _to_report
from marjoramfall.platform.records import (
    decode_configuration,
    decode_move,
    decode_server,
)
from marjoramfall.platform.watch import ServerWatch
from tests.gateway_fakes import make_state
from tests.platform_records import CONFIG, SERVER
from tests.watch_case import WatchCase, wait_until

LONG_NUMBER = f'1{"0" * 400}'
ODD_VALUES = (
    LONG_NUMBER,
    f'-{LONG_NUMBER}',
    '9' * 5000,
    '1e400',
    '1.7e308',
    '-1.7e308',
    str(2**63),
    str(2**64),
    str(-(2**63) - 1),
    '-1',
    '0.5',
    'null',
    'true',
    '"x"',
    r'"\ud800"',
    '[]',
    '{}',
    '[' * 3000 + ']' * 3000,
)
MARK = 'odd value'
FULL_SERVER = {**SERVER, 'coldRemainingMs': 1, 'born': 3}
FULL_CONFIG = {
    **CONFIG,
    'routes': [{**CONFIG['routes'][0], 'allowedRegions': ['east']}],
    'services': [
        {
            'name': 'tutor',
            'maxConns': 370,
            'coldStartS': 1,
            'coldPerS': 2,
            'engine': {
                'stride': 3,
                'kvCapacity': 1000,
                'moves': True,
                'kvTokenBytes': 10,
                'linkMbps': 100,
                'handleS': 2,
            },
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}
MOVE = {'service': 'tutor', 'to': 'v2', 'durationS': 30}
STATUS = {'state': 'running', 'to': 'v2', 'orderRevision': 3, 'startedMs': 4}
EVIDENCE = {'writtenMs': 1, 'crashes': [['i-1', 1, 2, [[['part'], 'own', 'print']]]]}


def paths_of(document, path=()):
    """Yield the path of each value within a document."""
    entries = ()
    if isinstance(document, dict):
        entries = document.items()
    elif isinstance(document, list):
        entries = enumerate(document)
    for key, inner in entries:
        yield (*path, key)
        yield from paths_of(inner, (*path, key))


def with_odd_values(document):
    """Yield the path of each value, and the document with each odd one there."""
    for path in paths_of(document):
        changed = copy.deepcopy(document)
        parent = changed
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = MARK
        template = json.dumps(changed)
        for odd in ODD_VALUES:
            yield path, template.replace(f'"{MARK}"', odd).encode()


class TestServerWatch(WatchCase):
    """An entry reads on behind an odd row among the servers."""

    def put_odd_server(self):
        """Write the row of another writer."""
        encoded = json.dumps({**SERVER, 'coldRemainingMs': MARK})
        self.store.put_raw(
            'servers', 'i-9', encoded.replace(f'"{MARK}"', LONG_NUMBER).encode()
        )

    def knows(self, server_id):
        """Return whether a server is registered here."""
        return server_id in {server.server_id for server in self.registry.servers}

    def test_followed(self):
        """Guards against an odd row after which no change of servers is heard."""
        self.put_odd_server()
        self.store.put('servers', 'i-2', SERVER)
        self.assertTrue(wait_until(lambda: self.knows('i-2')))

    def test_started(self):
        """Guards against an entry that gets no servers as it starts beside the row."""
        self.put_odd_server()
        self.registry = Registry(
            self.clock, lambda config: None, lambda: None, lambda order: None
        )
        watch = self.new_watch(ServerWatch)
        watch.start()
        self.addCleanup(watch.stop)
        self.assertTrue(wait_until(lambda: self.knows('i-1')))


class TestOddValues(unittest.TestCase):
    """A row is read or refused as invalid, whatever is in its fields."""

    def setUp(self):
        self.clock = PausedClock()
        self.clock.advance_ms(1000)
        self.registry = Registry(
            self.clock, lambda config: None, lambda: None, lambda order: None
        )

    def check_all(self, document, apply):
        """Apply the row with each odd value; its failure is that of the test."""
        for path, encoded in with_odd_values(document):
            with self.subTest(path=path, encoded=encoded[:200]):
                try:
                    apply(encoded)
                except InvalidRecordError:
                    continue
                self.check_snapshot()

    def check_snapshot(self):
        """Check that peers can read what this entry knows."""
        encoded = msgspec.msgpack.encode(self.registry.snapshot())
        msgspec.msgpack.decode(encoded, type=Snapshot)

    def put_config(self, encoded):
        """Apply a row of the configuration."""
        self.setUp()
        self.registry.put_config(decode_configuration(encoded), 3)

    def put_server(self, encoded):
        """Apply the row of a server."""
        self.setUp()
        change = ServerChange('i-1', decode_server('i-1', encoded), 3)
        self.registry.apply_changes([change], 3)

    def put_move(self, encoded):
        """Apply the row of a version move."""
        self.setUp()
        self.registry.put_order(decode_move(encoded, 3))

    def put_status(self, encoded):
        """Take over the start of a move, as its report to peers does."""
        elapsed_ms = 5000 - decode_record(encoded, _Status).started_ms
        msgspec.msgpack.encode(int(elapsed_ms))

    def put_evidence(self, encoded):
        """Merge a row of crashes, and report them to peers."""
        record = decode_record(encoded, _EvidenceRecord)
        quarantine = CrashQuarantine(self.clock, notify_peers=lambda: None)
        quarantine.merge(_to_report(record, 5000))
        state = make_state('entry-2', crash_evidence=quarantine.report(is_full=True))
        decode_state(encode_state(state))

    def test_configuration(self):
        """Guards against a configuration that ends its task, or that peers can't get.

        A whole number beyond 64 bits made each snapshot for a peer fail.
        """
        self.check_all(FULL_CONFIG, self.put_config)

    def test_server(self):
        """Guards against the row of a server that ends the task that follows them."""
        self.check_all(FULL_SERVER, self.put_server)

    def test_move(self):
        """Guards against the order of a move that ends the task that follows it."""
        self.check_all(MOVE, self.put_move)

    def test_status(self):
        """Guards against a recorded start so early that its age fits no message."""
        self.check_all(STATUS, self.put_status)

    def test_evidence(self):
        """Guards against crashes whose ages fit no message to peers."""
        self.check_all(EVIDENCE, self.put_evidence)


class TestOddStates(unittest.TestCase):
    """A state of a peer is refused whole if its amounts can't be passed on."""

    def test_amounts(self):
        """Guards against an amount of a peer that ends the task that sends digests."""
        for odd in (float('inf'), float('-inf'), float('nan'), 1e308):
            for change in (
                {'waiting': [WaitingCall('tutor', 0, odd)]},
                {'limit_levels': [LimitLevel('team', odd)]},
            ):
                encoded = encode_state(make_state('entry-2', **change))
                with self.assertRaises(msgspec.ValidationError):
                    decode_state(encoded)
