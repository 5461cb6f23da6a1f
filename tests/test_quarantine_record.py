"""Test that quarantined prompt parts outlast a restart of all entries."""

from gevent import sleep, spawn

from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.servers.outcome import GatewayFailureError
from marjoramfall.platform.quarantine_record import (
    QUARANTINE_TABLE,
    QuarantineRecorder,
)
from marjoramfall.platform.store import StoreError
from tests.gateway_fakes import MODEL, make_server
from tests.quarantine_case import make_call
from tests.store_case import StoreCase

SERVER_COUNT = 3


class TestRecorder(StoreCase):
    """The evidence against a part is stored while it is quarantined."""

    def setUp(self):
        super().setUp()
        self.quarantine = self.new_quarantine()
        self.recorder = self.new_recorder(self.quarantine, is_first_start=True)

    def new_quarantine(self):
        """Return the quarantine of an entry that has just started."""
        return CrashQuarantine(self.clock, notify_peers=lambda: None)

    def new_recorder(self, quarantine, *, is_first_start=False):
        """Return the recorder of an entry."""
        return QuarantineRecorder(
            self.new_client(),
            quarantine,
            self.clock,
            is_first_start=is_first_start,
            store_era=lambda: self.store.era,
        )

    def crash_servers(self, quarantine):
        """Let servers crash under requests with one part."""
        for number in range(SERVER_COUNT):
            server = make_server(f'i-{number}', service_id=MODEL)
            call = make_call('first', 'crashing', f'own-{number}')
            quarantine.on_crash(call, server)

    def is_refused(self, quarantine, *part_ids):
        """Return whether a request with the parts is refused."""
        try:
            quarantine.check(make_call(*part_ids))
        except GatewayFailureError:
            return True
        return False

    def restart_all(self):
        """Return the quarantine of an entry that was started after a loss of all."""
        quarantine = self.new_quarantine()
        self.new_recorder(quarantine).update()
        return quarantine

    def test_restart_of_all(self):
        """Guards against learning by crashes again after all VMs lost power."""
        self.crash_servers(self.quarantine)
        self.recorder.update()
        restarted = self.restart_all()
        self.assertTrue(self.is_refused(restarted, 'x', 'crashing', 'own-9'))
        self.assertFalse(self.is_refused(restarted, 'first', 'own-9'))

    def test_restored_store(self):
        """Guards against rows that were lost as the store came back older."""
        copy = self.store.copy()
        self.crash_servers(self.quarantine)
        self.recorder.update()
        self.store.restore(copy)
        self.recorder.update()
        restarted = self.restart_all()
        self.assertTrue(self.is_refused(restarted, 'x', 'crashing', 'own-9'))

    def test_released_in_lost_seconds(self):
        """Guards against a released part that comes back with the store."""
        self.crash_servers(self.quarantine)
        self.recorder.update()
        copy = self.store.copy()
        now_ms = self.clock.monotonic_ms() + 1
        served = make_call('first', 'crashing', 'own-9', first_byte_ms=now_ms)
        self.quarantine.on_served(served)
        self.recorder.update()
        self.store.restore(copy)
        self.recorder.update()
        self.assertEqual(self.client.read_table(QUARANTINE_TABLE).rows, ())

    def test_released(self):
        """Guards against a row that outlasts the release of its part."""
        self.crash_servers(self.quarantine)
        self.recorder.update()
        now_ms = self.clock.monotonic_ms() + 1
        served = make_call('first', 'crashing', 'own-9', first_byte_ms=now_ms)
        self.quarantine.on_served(served)
        self.recorder.update()
        self.assertEqual(self.client.read_table(QUARANTINE_TABLE).rows, ())
        self.assertFalse(self.is_refused(self.restart_all(), 'crashing', 'own-9'))

    def test_row_of_another_entry(self):
        """Guards against two entries that write the row of a part again and again."""
        self.crash_servers(self.quarantine)
        self.recorder.update()
        revision = self.client.read_table(QUARANTINE_TABLE).revision
        other = self.new_quarantine()
        self.crash_servers(other)
        recorder = self.new_recorder(other)
        recorder.update()
        recorder.update()
        self.recorder.update()
        self.assertEqual(self.client.read_table(QUARANTINE_TABLE).revision, revision)

    def test_seen_by_others_only(self):
        """Guards against a write of every entry of a large system."""
        other = self.new_quarantine()
        self.crash_servers(other)
        self.quarantine.merge(other.report(is_full=True))
        self.assertTrue(self.is_refused(self.quarantine, 'crashing', 'own-9'))
        self.recorder.update()
        self.assertEqual(self.client.read_table(QUARANTINE_TABLE).rows, ())

    def test_store_down(self):
        """Guards against giving up after an outage of the store."""
        self.crash_servers(self.quarantine)
        self.store.faults.status = 503
        with self.assertRaises(StoreError):
            self.recorder.update()
        self.store.faults.status = 0
        self.recorder.update()
        self.assertTrue(self.is_refused(self.restart_all(), 'crashing', 'own-9'))

    def test_calls_in_outage(self):
        """Guards against many calls of all entries while the store is down."""
        self.store.faults.status = 503
        task = spawn(self.new_recorder(self.new_quarantine()).run)
        self.addCleanup(task.kill)
        sleep(1)
        self.assertLessEqual(self.store.calls, 1)

    def test_invalid_row(self):
        """Guards against failing on a row that is no evidence."""
        self.client.write_row(QUARANTINE_TABLE, 'part', b'{"crashes": 1}')
        self.assertFalse(self.is_refused(self.restart_all(), 'part', 'own-1'))
