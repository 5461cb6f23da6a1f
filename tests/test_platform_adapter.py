"""Test the platform adapter against a stand-in of the platform's store."""

import unittest
from unittest.mock import patch

import msgspec
from gevent import sleep
from hypothesis import given
from hypothesis import strategies as st

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.peers.watch_duty import REFUSAL_MEMORY_MS
from marjoramfall.gateway.registry import LAPSE_DETECTION_MS
from marjoramfall.gateway.revision import make_revision
from marjoramfall.platform import watch as watch_module
from marjoramfall.platform.records import (
    InvalidRecordError,
    decode_configuration,
    decode_server,
)
from marjoramfall.platform.store import HistoryLostError, StoreError
from marjoramfall.platform.watch import (
    MAX_RESERVE_DELAY_MS,
    REST_INTERVAL_MS,
    SILENCE_TIMEOUT_MS,
)
from marjoramfall_standins.store import MAX_ROWS
from tests.platform_records import CONFIG, SERVER
from tests.store_case import StoreCase
from tests.watch_case import LONG_POLL_MS, POLL_MS, WatchCase, wait_until


class TestStoreClient(StoreCase):
    """Calls return rows or raise a `StoreError`."""

    def test_read_table(self):
        """A read returns the rows of one table only, with the store's revision."""
        self.store.put('servers', 'a', {'x': 1})
        self.store.put('op', 'config', {})
        found = self.client.read_table('servers')
        self.assertEqual([row.key for row in found.rows], ['a'])
        self.assertEqual(found.revision, make_revision(self.store.era, 2))

    def test_follow_table(self):
        """A change and a deletion are returned in order."""
        after = self.client.read_table('servers').revision
        self.store.put('servers', 'a', {'x': 1})
        self.store.drop('servers', 'b')
        rows = self.client.follow_table('servers', after, wait_ms=0).rows
        self.assertEqual([row.content is None for row in rows], [False, True])

    def test_history_lost(self):
        """Guards against missing changes after the store dropped its history."""
        self.store.put('servers', 'a', {})
        self.store.forget_history()
        with self.assertRaises(HistoryLostError):
            self.client.follow_table('servers', 0, wait_ms=0)

    def test_restored_store(self):
        """Guards against changes of another era that are taken for all since."""
        copy = self.store.copy()
        after = self.client.read_table('servers').revision
        self.store.restore(copy)
        self.store.put('servers', 'a', {})
        with self.assertRaises(HistoryLostError):
            self.client.follow_table('servers', after, wait_ms=0)

    def test_restored_during_read(self):
        """Guards against a list whose parts are from before and after a loss."""
        for number in range(MAX_ROWS + 1):
            self.store.put('servers', f'{number:04}', {})
        read = self.client._get
        with patch.object(self.client, '_get') as get:
            get.side_effect = lambda *call: (read(*call), self.lose_nothing())[0]
            with self.assertRaises(StoreError):
                self.client.read_table('servers')

    def test_changed_during_read(self):
        """Guards against a row of an earlier page that is missed until it changes."""
        for number in range(MAX_ROWS + 1):
            self.store.put('servers', f'{number:04}', {})
        read = self.client._get
        with patch.object(self.client, '_get') as get:
            get.side_effect = lambda *call: (read(*call), self.change_once())[0]
            after = self.client.read_table('servers').revision
        changed = self.client.follow_table('servers', after, wait_ms=0).rows
        self.assertEqual(['0000'], [row.key for row in changed])

    def change_once(self):
        """Change a row of the first page, after that page was read."""
        if self.store.get('servers', '0000') == b'{}':
            self.store.put('servers', '0000', {'x': 1})

    def lose_nothing(self):
        """Restore the store with all that it holds."""
        self.store.restore(self.store.copy())

    def test_conditional_write(self):
        """Guards against overwriting a row that changed since it was read."""
        self.assertTrue(self.client.write_row('t', 'k', b'a', expected_revision=0))
        self.assertFalse(self.client.write_row('t', 'k', b'b', expected_revision=0))
        self.assertEqual(self.store.get('t', 'k'), b'a')

    def test_error_status(self):
        """Guards against reading an error status as an empty table."""
        for status in (429, 503):
            self.store.faults.status = status
            with self.assertRaises(StoreError):
                self.client.read_table('servers')

    def test_lost_write_response(self):
        """A write without a response raises an error, though the store applied it."""
        self.store.faults.lose_writes = True
        with self.assertRaises(StoreError):
            self.client.write_row('t', 'k', b'a')
        self.assertEqual(self.store.get('t', 'k'), b'a')

    def test_unreachable(self):
        """A read from an unreachable store raises an error."""
        self.server.stop(timeout=0)
        with self.assertRaises(StoreError):
            self.client.read_table('servers')


class TestWatch(WatchCase):
    """The registry stays up to date with the tables across outages."""

    def test_config_change(self):
        """A new version of the configuration is applied."""
        self.store.put('op', 'config', {**CONFIG, 'version': 9})
        self.assertTrue(self.reaches_version(9))

    def test_refused_after_rest(self):
        """Guards against failures of the store that no peer hears of.

        The entry rested from its duty when the outage ended, and takes it again.
        """
        self.store.faults.status = 503
        self.assertTrue(
            wait_until(lambda: not any(watch.is_connected for watch in self.watches))
        )
        with patch.object(self.duty, '_is_due', return_value=False):
            self.uptime_ms += REFUSAL_MEMORY_MS
            self.assertTrue(wait_until(lambda: self.duty.is_store_reachable))
            sleep(3 * REST_INTERVAL_MS / MS_PER_SECOND)
        self.assertTrue(wait_until(lambda: not self.duty.is_store_reachable))

    def test_refused_during_pause(self):
        """Guards against an entry that takes the duty while it pauses after failures.

        The longest pause outlasts the time for which a refusal is remembered.
        """
        with patch.object(watch_module, 'MIN_RETRY_DELAY_MS', MAX_RESERVE_DELAY_MS):
            sleep(2 * POLL_MS / MS_PER_SECOND)
            self.store.faults.status = 503
            is_detected = wait_until(
                lambda: not any(watch.is_connected for watch in self.watches)
            )
        self.assertTrue(is_detected)
        with patch.object(self.duty, '_is_due', return_value=False):
            self.uptime_ms += REFUSAL_MEMORY_MS
            self.assertFalse(self.duty.is_due())
            self.assertTrue(self.duty.is_store_reachable)
            sleep(3 * REST_INTERVAL_MS / MS_PER_SECOND)
        sleep(3 * REST_INTERVAL_MS / MS_PER_SECOND)
        self.assertFalse(self.duty.is_store_reachable)

    def test_unreadable_config(self):
        """Guards against an invalid record that blocks later configurations."""
        self.store.put_raw('op', 'config', b'{')
        self.store.put('op', 'config', {**CONFIG, 'version': 9})
        self.assertTrue(self.reaches_version(9))

    def test_draining_server(self):
        """A server that registers as draining is marked as leaving."""
        self.store.put('servers', 'i-1', {**SERVER, 'state': 'draining'})
        self.assertTrue(wait_until(lambda: self.registry.servers[0].is_leaving))

    def test_history_dropped(self):
        """Guards against missing a server that registered before history was dropped.

        The watch has to read the whole table again. The server that was deleted
        right after an outage may still be listed.
        """
        self.store.faults.status = 503
        self.store.put('servers', 'i-2', SERVER)
        self.store.forget_history()
        self.store.faults.status = 0
        self.store.drop('servers', 'i-1')
        self.assertTrue(
            wait_until(
                lambda: (
                    [server.server_id for server in self.registry.servers]
                    in (['i-2'], ['i-1', 'i-2'])
                )
            )
        )

    def test_outage(self):
        """A configuration that changes during an outage is applied after it."""
        self.store.faults.status = 503
        self.store.put('op', 'config', {**CONFIG, 'version': 9})
        sleep(0.2)
        self.store.faults.status = 0
        self.assertTrue(self.reaches_version(9))

    def run_outage(self):
        """Cause an outage, wait until all watches detect it, and end it."""
        self.store.faults.status = 503
        is_detected = wait_until(
            lambda: not any(watch.is_connected for watch in self.watches)
        )
        self.assertTrue(is_detected)
        self.poll_ms = LONG_POLL_MS
        self.store.faults.status = 0
        is_over = wait_until(lambda: all(watch.is_connected for watch in self.watches))
        self.assertTrue(is_over)

    def test_outage_end_without_change(self):
        """Guards against detecting the end of an outage only at the next change."""
        self.run_outage()
        self.assertGreater(self.registry.outage_ended_ms, 0)

    def test_removal_after_outage(self):
        """Guards against keeping a server that was deleted well after an outage.

        A deletion within `LAPSE_DETECTION_MS` of the end of an outage is taken for a
        registration that lapsed during the outage, and the server stays until it
        had time to register again.
        """
        self.run_outage()
        self.registry.outage_ended_ms -= 2 * LAPSE_DETECTION_MS
        self.store.drop('servers', 'i-1')
        self.assertTrue(wait_until(lambda: not self.registry.servers))

    def test_unanswered_poll(self):
        """Guards against missing a change after a poll that the store never answers."""
        self.store.faults.swallow = True
        sleep(2 * POLL_MS / MS_PER_SECOND)
        self.store.faults.swallow = False
        self.store.put('op', 'config', {**CONFIG, 'version': 9})
        self.assertTrue(self.reaches_version(9))

    def test_silent_connection(self):
        """Guards against waiting for a long poll on a silent connection.

        `restart_if_silent` abandons such a poll. With polls of `POLL_MS` the watches
        answer too often to be restarted here, so only a change that follows the call
        is checked.
        """
        sleep(SILENCE_TIMEOUT_MS / MS_PER_SECOND)
        for watch in self.watches:
            watch.restart_if_silent()
        self.store.put('op', 'config', {**CONFIG, 'version': 9})
        self.assertTrue(self.reaches_version(9))


class TestRecords(unittest.TestCase):
    """Records are validated when they are decoded."""

    def test_configuration(self):
        """Routes, services and teams are decoded."""
        config = decode_configuration(msgspec.json.encode(CONFIG))
        route = config.find_route('ficu95.example', '/lohu930/2f')
        self.assertEqual(route.repeat_rule, RepeatRule.RESUMABLE)
        self.assertEqual([split.weight for split in route.services], [90, 10])
        self.assertEqual(config.team_by_key['key-a'].name, 'hule930')
        self.assertIsNone(config.find_route('ficu95.example', '/lohu930'))

    def test_invalid_move_fields(self):
        """Guards against a configuration refused for what moves of runs need."""
        for found, expected in ((5.0, 5.0), ('5', 0), (-1, 0), (None, 0)):
            engine = {'moves': True, 'kvTokenBytes': found, 'linkMbps': found}
            service = {'name': 'tutor', 'engine': engine}
            encoded = msgspec.json.encode({**CONFIG, 'services': [service]})
            decoded = decode_configuration(encoded).service_by_id['tutor']
            self.assertTrue(decoded.moves_runs)
            self.assertEqual((decoded.token_bytes, decoded.link_mbps), (expected,) * 2)

    def test_longest_prefix(self):
        """Guards against a route that takes precedence over a more specific one."""
        routes = [
            {**CONFIG['routes'][0], 'name': 'short', 'prefix': '/a/'},
            {**CONFIG['routes'][0], 'name': 'long', 'prefix': '/a/b/'},
        ]
        config = decode_configuration(msgspec.json.encode({**CONFIG, 'routes': routes}))
        self.assertEqual(config.find_route('ficu95.example', '/a/b/c').name, 'long')
        self.assertEqual(config.find_route('ficu95.example', '/a/bc').name, 'short')

    def test_invalid_servers(self):
        """Guards against accepting a malformed registration."""
        for change in (
            {'state': 'dancing'},
            {'address': 'nowhere'},
            {'address': 7},
            {'slots': 0},
            {'born': 'yesterday'},
            {'born': 2**64},
            {'seq': 2**64},
            {'slots': 2**64},
            {'address': '10.128.0.9:99999'},
            {'address': '10.128.0.9:0'},
            {'address': '10.128.0.9:²'},
            {'address': '10.128.0.9:' + '8' * 5000},
            {'address': 'backend.example:8080'},
            {'service': None},
        ):
            with self.assertRaises(InvalidRecordError):
                decode_server('i-1', msgspec.json.encode({**SERVER, **change}))
        with self.assertRaises(InvalidRecordError):
            decode_server('i-1', b'\xff\xfe')
        with self.assertRaises(InvalidRecordError):
            decode_server('i-1\r\nX: y', msgspec.json.encode(SERVER))

    def test_deep_nesting(self):
        """Guards against a field of another writer that ends the reading task."""
        nested = b'[' * 100_000 + b']' * 100_000
        encoded = msgspec.json.encode(SERVER)[:-1] + b',"x":' + nested + b'}'
        with self.assertRaises(InvalidRecordError):
            decode_server('i-1', encoded)

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes(self, content):
        """Guards against undecodable bytes that raise anything but the record error.

        The watches handle only `InvalidRecordError`; another one ends their task.
        """
        with self.assertRaises(InvalidRecordError):
            decode_configuration(content)
        with self.assertRaises(InvalidRecordError):
            decode_server('i-1', content)
