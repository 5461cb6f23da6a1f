"""Test which prompt parts and requests are blamed after servers have crashed.

The pattern is a part or request that crashes every server that begins a response to
it, beside sound requests that were at the same servers, and beside other crashes.
"""

import msgspec

from marjoramfall.gateway.crashes.crash_causes import MIN_CRASHES_OF_ONE_REQUEST
from marjoramfall.gateway.crashes.crash_evidence import MAX_REPORTED_CRASHES
from marjoramfall.gateway.crashes.crash_report import CrashReport, EvidenceReport
from marjoramfall.gateway.peers.peer_exchange import MAX_DATAGRAM_BYTES
from marjoramfall.gateway.peers.peer_state import encode_state
from marjoramfall.gateway.servers.outcome import GatewayFailureError
from tests.gateway_fakes import MODEL, make_server, make_state
from tests.quarantine_case import QuarantineCase, make_call

SERVERS_OF_ONE_LOSS = 5


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

    def test_common_loss(self):
        """Guards against refusing a part as all its servers went down at once."""
        self.serve('popular', 'own-0')
        for number in range(SERVERS_OF_ONE_LOSS):
            server = make_server(f'lost-{number}', service_id=MODEL)
            self.quarantine.on_crash(make_call('popular', f'own-{number}'), server)
            self.clock.advance_ms(5)
        self.assertFalse(self.is_refused('popular', 'own-9'))

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

    def test_many_beside(self):
        """Guards against a cause that is not noted among all that wait at a server."""
        for number in range(MIN_CRASHES_OF_ONE_REQUEST):
            waiting = [make_call('first', f'own-{number}-{slot}') for slot in range(10)]
            self.crash(*waiting, make_call('first', 'own-1'))
        self.assertTrue(self.is_refused('first', 'own-1'))
        self.assertFalse(self.is_refused('first', 'own-2'))

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
