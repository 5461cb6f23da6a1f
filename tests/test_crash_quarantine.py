"""Test which prompt parts and requests are refused after servers have crashed.

The pattern is a part that crashes every server that begins a response to it, beside
sound requests that were at the same servers, and beside crashes of other causes.
"""

import unittest
from unittest.mock import patch

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.backend_connection import NotReachedError
from marjoramfall.gateway.call import Call, CallFields
from marjoramfall.gateway.connection_pool import ConnectionPool
from marjoramfall.gateway.crash_causes import MIN_CRASHES_OF_ONE_REQUEST
from marjoramfall.gateway.crash_evidence import (
    CRASH_MEMORY_MS,
    MAX_REPORTED_CRASHES,
)
from marjoramfall.gateway.crash_quarantine import (
    MAX_TRIAL_DELAY_FACTOR,
    TRIAL_INTERVAL_MS,
    CrashQuarantine,
)
from marjoramfall.gateway.crash_report import CrashReport, EvidenceReport
from marjoramfall.gateway.http_messages import RequestHead
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.outcome import GatewayFailureError
from marjoramfall.gateway.peer_exchange import MAX_DATAGRAM_BYTES
from marjoramfall.gateway.peer_state import decode_state, encode_state
from tests.gateway_fakes import MODEL, make_route, make_server, make_state
from tests.scripted_backend import ScriptedBackend

ROUTE = make_route('review', RepeatRule.RESUMABLE, is_stream=True)
POOL_MODULE = ConnectionPool.__module__


def make_call(*part_ids, runs=0, first_byte_ms=None, attempt_id='a-1'):
    """Return a call whose prompt has the parts, the last one its own."""
    *shared_part_ids, own_part_id = part_ids
    fields = CallFields(
        attempt_id=attempt_id,
        host='a.example',
        path='/review/',
        api_key=None,
        caller_timeout_ms=None,
        is_generation=True,
        prompt_tokens=100,
        output_tokens=10,
        likely_output_tokens=10,
        last_event_id=None,
        headers=(),
        shared_part_ids=tuple(shared_part_ids),
        own_part_id=own_part_id,
    )
    return Call(
        head=RequestHead(),
        body=','.join(part_ids).encode(),
        fields=fields,
        received_ms=0,
        route=ROUTE,
        team=None,
        service_id=MODEL,
        config_version=1,
        deadline_ms=12_000,
        runs=runs,
        first_byte_ms=first_byte_ms,
    )


class QuarantineCase(unittest.TestCase):
    """Crash servers under requests and ask what is refused."""

    def setUp(self):
        self.clock = PausedClock()
        self.clock.advance_ms(1000)
        self.quarantine = self.new_quarantine()
        self.server_count = 0

    def new_quarantine(self):
        """Return the quarantine of another entry."""
        return CrashQuarantine(self.clock, notify_peers=lambda: None)

    def crash(self, *calls, quarantine=None):
        """Let a server crash that has just begun with the calls."""
        self.server_count += 1
        server = make_server(f'i-{self.server_count}', service_id=MODEL)
        for call in calls:
            (quarantine or self.quarantine).on_crash(call, server)
        self.clock.advance_ms(100)

    def serve(self, *part_ids, quarantine=None):
        """Let a request be served that begins now."""
        now_ms = self.clock.monotonic_ms()
        call = make_call(*part_ids, first_byte_ms=now_ms)
        (quarantine or self.quarantine).on_served(call)
        self.clock.advance_ms(10)

    def is_refused(self, *part_ids, quarantine=None, **state):
        """Return whether a request with the parts is refused."""
        try:
            (quarantine or self.quarantine).check(make_call(*part_ids, **state))
        except GatewayFailureError:
            return True
        return False


class TestBlame(QuarantineCase):
    """The part that explains the crashes is refused, and no other."""

    def test_crashing_part(self):
        """Guards against a third server that crashes of the same part."""
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.assertFalse(self.is_refused('other', 'crashing', 'own-2'))
        self.crash(make_call('first', 'crashing', 'own-2'))
        self.assertTrue(self.is_refused('other', 'crashing', 'own-3'))

    def test_shared_first_part(self):
        """Guards against refusing sound requests with the same first part."""
        for own in ('own-1', 'own-2', 'own-3', 'own-4'):
            self.crash(make_call('first', 'crashing', own))
        self.assertFalse(self.is_refused('first', 'own-5'))
        self.assertFalse(self.is_refused('first', 'sound', 'own-6'))

    def test_one_request_repeated(self):
        """Guards against a request whose caller brings it back again and again."""
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.assertFalse(self.is_refused('first', 'crashing', 'own-1'))
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.assertTrue(self.is_refused('first', 'crashing', 'own-1'))

    def test_popular_part(self):
        """Guards against blaming a part that was at both servers by chance."""
        self.serve('popular', 'own-0')
        for own in ('own-1', 'own-2'):
            popular = make_call('popular', f'popular-{own}')
            self.crash(popular, make_call('first', 'crashing', own))
        self.assertFalse(self.is_refused('popular', 'own-9'))
        self.assertTrue(self.is_refused('first', 'crashing', 'own-9'))

    def test_part_that_became_crashing(self):
        """Guards against trusting a part for ever because it was served once."""
        self.serve('first', 'crashing', 'own-0')
        for own in ('own-1', 'own-2', 'own-3'):
            self.crash(make_call(f'first-{own}', 'crashing', own))
        self.assertTrue(self.is_refused('first', 'crashing', 'own-9'))

    def test_crashes_of_other_causes(self):
        """Guards against refusing popular parts while servers crash one by one."""
        for number in range(20):
            self.crash(make_call('popular', f'own-{number}'))
            self.serve('popular', f'served-{number}')
        self.assertFalse(self.is_refused('popular', 'own-9'))

    def test_corrected_blame(self):
        """Guards against keeping a part refused that later crashes clear."""
        sound = make_call('a', 'b', 'sound', 'own-s')
        self.crash(sound, make_call('crashing', 'own-1'))
        self.crash(
            make_call('a', 'b', 'sound', 'own-t'), make_call('crashing', 'own-2')
        )
        self.crash(make_call('crashing', 'own-3'))
        self.assertTrue(self.is_refused('crashing', 'own-4'))
        self.assertFalse(self.is_refused('a', 'b', 'sound', 'own-u'))

    def test_running_request(self):
        """A retry of a request that may have run is not refused as not run."""
        self.test_crashing_part()
        with self.assertRaises(GatewayFailureError) as raised:
            self.quarantine.check(make_call('crashing', 'own-3', runs=1))
        self.assertEqual(raised.exception.status, 502)

    def test_many_crashes(self):
        """Guards against evidence that no datagram can hold."""
        for number in range(MAX_REPORTED_CRASHES + 1):
            calls = [
                make_call(*(f'{number:016}{request:08}{part:08}' for part in range(40)))
                for request in range(20)
            ]
            self.crash(*calls)
            for call in calls:
                self.serve(*call.fields.shared_part_ids, call.fields.own_part_id)
        report = self.quarantine.report(is_full=True)
        datagram = encode_state(make_state(crash_evidence=report))
        self.assertLess(len(datagram), MAX_DATAGRAM_BYTES)


class TestWholeRequest(QuarantineCase):
    """A request that crashes servers is refused, and none that shares its parts."""

    def setUp(self):
        super().setUp()
        self.serve('first', 'own-0')

    def crash_again(self, *sound_calls):
        """Let the request crash the servers that it takes to be refused."""
        for _ in range(MIN_CRASHES_OF_ONE_REQUEST):
            self.crash(make_call('first', 'own-1'), *sound_calls)

    def test_served_part(self):
        """Guards against a request that is sent on as its part is sound."""
        self.crash_again()
        self.assertTrue(self.is_refused('first', 'own-1'))
        self.assertFalse(self.is_refused('first', 'own-2'))

    def test_new_part(self):
        """Guards against blaming a part for one request that comes again."""
        for _ in range(MIN_CRASHES_OF_ONE_REQUEST):
            self.crash(make_call('new', 'own-1'))
        self.assertTrue(self.is_refused('new', 'own-1'))
        self.assertFalse(self.is_refused('new', 'own-2'))

    def test_without_parts(self):
        """Guards against a plain request that is sent on as it has no parts."""
        for _ in range(MIN_CRASHES_OF_ONE_REQUEST):
            self.crash(make_call('own-1'))
        self.assertTrue(self.is_refused('own-1'))

    def test_sent_again_beside(self):
        """Guards against sending the cause on, as another request looks the same.

        The other one was sent again to the same servers, and is refused as well until
        it is known which of them it is.
        """
        self.crash_again(make_call('other', 'own-9'))
        self.assertTrue(self.is_refused('first', 'own-1'))
        self.assertTrue(self.is_refused('other', 'own-9'))
        self.crash(make_call('first', 'own-1'))
        self.assertFalse(self.is_refused('other', 'own-9'))

    def test_crash_known_in_part(self):
        """Guards against releasing the cause while a new crash is known in part.

        The first request that is known of the new crash was at two others as well.
        """
        crashing = make_call('first', 'own-1')
        beside = make_call('other', 'own-9')
        self.crash(beside)
        self.crash(beside, crashing)
        self.crash(crashing)
        self.crash(crashing)
        self.crash(beside)
        self.assertTrue(self.is_refused('first', 'own-1'))

    def test_served_since(self):
        """Guards against refusing a request that a server has completed since."""
        self.crash_again()
        self.serve('first', 'own-1')
        self.assertFalse(self.is_refused('first', 'own-1'))

    def test_older_report(self):
        """A crash that a peer of an older version reports has no whole request."""
        report = self.quarantine.report(is_full=True)
        self.assertIsNone(report)
        old = msgspec.msgpack.encode([['i-1', 1, 5, [[['first'], 'own-1']]]])
        crashes = msgspec.msgpack.decode(old, type=list[CrashReport])
        self.quarantine.merge(EvidenceReport(crashes, []))
        self.assertFalse(self.is_refused('first', 'own-1'))


class TestRelease(QuarantineCase):
    """A refused part is served again once it is known to be sound."""

    def setUp(self):
        super().setUp()
        for own in ('own-0', 'own-1', 'own-2'):
            self.crash(make_call('crashing', own))

    def wait_for_trial(self):
        """Let the longest time pass until the next trial."""
        self.clock.advance_ms(TRIAL_INTERVAL_MS * MAX_TRIAL_DELAY_FACTOR)

    def test_served(self):
        """A complete response begun after the crashes clears the part."""
        self.serve('crashing', 'own-3')
        self.assertFalse(self.is_refused('crashing', 'own-4'))

    def test_served_before(self):
        """Guards against clearing a part by a response begun before the crash."""
        self.quarantine.on_served(make_call('crashing', 'own-3', first_byte_ms=1000))
        self.assertTrue(self.is_refused('crashing', 'own-4'))

    def test_trial(self):
        """Guards against refusing for ever, and against trying with many requests."""
        self.wait_for_trial()
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.assertTrue(self.is_refused('crashing', 'own-5', attempt_id='a-5'))
        # The request is checked again after its wait in the queue.
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))

    def test_trial_that_crashes(self):
        """Guards against a retry of the request that tried the part in vain."""
        self.wait_for_trial()
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.clock.advance_ms(50)
        self.crash(make_call('crashing', 'own-4'))
        self.assertTrue(self.is_refused('crashing', 'own-4', attempt_id='a-4', runs=1))
        self.assertTrue(self.is_refused('crashing', 'own-5', attempt_id='a-5'))

    def test_forgotten(self):
        """Crashes are forgotten after some minutes."""
        self.clock.advance_ms(CRASH_MEMORY_MS)
        self.crash(make_call('other', 'own-3'))
        self.assertFalse(self.is_refused('crashing', 'own-4', attempt_id='a-4'))
        self.assertFalse(self.is_refused('crashing', 'own-5', attempt_id='a-5'))


class TestPeers(QuarantineCase):
    """The evidence of all entries counts at each of them."""

    def setUp(self):
        super().setUp()
        self.other = self.new_quarantine()

    def report(self, sender, receiver, *, is_full=False):
        """Send the evidence of an entry to another in a datagram."""
        report = sender.report(is_full=is_full)
        datagram = encode_state(make_state(crash_evidence=report))
        receiver.merge(decode_state(datagram).crash_evidence)

    def test_crashes_at_two_entries(self):
        """Guards against entries that each wait for a second crash of their own."""
        self.crash(make_call('first', 'crashing', 'own-1'))
        self.crash(make_call('first', 'crashing', 'own-2'), quarantine=self.other)
        self.report(self.other, self.quarantine)
        self.report(self.quarantine, self.other)
        for quarantine in (self.quarantine, self.other):
            self.assertTrue(
                self.is_refused('x', 'crashing', 'own-3', quarantine=quarantine)
            )

    def test_one_crash_seen_twice(self):
        """Guards against counting one crash once for each entry that saw it."""
        server = make_server('i-1', service_id=MODEL)
        self.quarantine.on_crash(make_call('sound', 'own-1'), server)
        self.other.on_crash(make_call('sound', 'own-2'), server)
        self.report(self.other, self.quarantine)
        self.assertFalse(self.is_refused('sound', 'own-3'))

    def test_restarted_entry(self):
        """Guards against an entry that forgets at its restart what crashes servers."""
        for own in ('own-1', 'own-2'):
            self.crash(make_call('crashing', own))
        for _ in range(5):
            self.quarantine.report(is_full=False)
        restarted = self.new_quarantine()
        self.report(self.quarantine, restarted, is_full=True)
        third = self.new_quarantine()
        self.report(restarted, third, is_full=True)
        self.assertTrue(self.is_refused('crashing', 'own-3', quarantine=third))

    def test_served_at_peer(self):
        """Guards against refusing a part that another entry has served since."""
        for own in ('own-1', 'own-2'):
            self.crash(make_call('sound', own))
        self.report(self.quarantine, self.other)
        self.serve('sound', 'own-3', quarantine=self.other)
        self.report(self.other, self.quarantine, is_full=True)
        self.assertFalse(self.is_refused('sound', 'own-4'))

    def test_old_peer(self):
        """A state of a version without evidence is read."""
        state = msgspec.msgpack.decode(encode_state(make_state()))
        decoded = decode_state(msgspec.msgpack.encode(state[:-1]))
        self.assertIsNone(decoded.crash_evidence)


class TestCrashCheck(unittest.TestCase):
    """A crash is told apart from a lost connection."""

    def setUp(self):
        self.pool = ConnectionPool(PausedClock(), connect_timeout_ms=50)

    def test_crashed(self):
        """No process listens any more."""
        backend = ScriptedBackend()
        backend.stop()
        self.assertTrue(self.pool.is_refused('i-1', backend.address))

    def test_running(self):
        """Guards against blaming a prompt for a connection that was reset."""
        backend = ScriptedBackend(lambda exchange: None)
        self.addCleanup(backend.stop)
        self.assertFalse(self.pool.is_refused('i-1', backend.address))

    def test_unreachable(self):
        """Guards against blaming a prompt for a partition of the network."""
        with patch(f'{POOL_MODULE}.BackendConnection', side_effect=NotReachedError):
            self.assertFalse(self.pool.is_refused('i-1', '127.0.0.1:1'))
