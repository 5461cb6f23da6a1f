import unittest

from marjoramfall.borders.admin_methods import CONFIRM_WITHIN_MS, AdminMethods
from marjoramfall.borders.admin_service import SERVICE
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from tests.admin_fakes import FakeBackend, call, make_service

GOLD = {'tierId': 'gold', 'rank': 0, 'deadlineMs': 5000}


def options(change_id, base=0):
    """Return the options of a change."""
    return {'changeId': change_id, 'baseRevision': base}


class AdminServiceTest(unittest.TestCase):
    """Check that operators get a typed answer to every call."""

    def setUp(self):
        self.backend = FakeBackend()
        self.service = make_service(self.backend)

    def put_gold(self, change_id, base=0):
        body = {'tier': GOLD, 'options': options(change_id, base)}
        return call(self.service, 'PutTier', body)

    def prepare_service(self):
        """Make a service with a candidate version."""
        engine = {'serviceId': 's', 'kind': 1, 'delivery': 1, 'versionId': 'v1'}
        put = {'service': engine, 'options': options('p1')}
        self.assertEqual(call(self.service, 'PutService', put)[0], 200)
        version = {'versionId': 'v2', 'serviceId': 's', 'state': 2}
        put = {'version': version, 'options': options('p2')}
        self.assertEqual(call(self.service, 'PutVersion', put)[0], 200)

    def error_code(self, method, body, **how):
        status, answer = call(self.service, method, body, **how)
        self.assertNotEqual(status, 200)
        return answer['details'][0]['debug']['code']

    def test_every_method(self):
        """Guards against a method of the schema without an implementation."""
        methods = AdminMethods(self.backend, self.backend.clock).methods_by_name
        self.assertEqual(set(SERVICE.methods_by_name), set(methods))

    def test_errors(self):
        """Guards against a failure without a code of its own."""
        self.put_gold('c1')
        tier = {'tier': GOLD, 'options': {'changeId': 'c2'}}
        cases = (
            ('unauthenticated', 'GetStatus', {}, {'token': 'b'}),
            ('unknown_method', 'Nothing', {}, {}),
            ('unsupported_call', 'GetStatus', {}, {'content_type': 'text/plain'}),
            ('invalid_request', 'GetStatus', b'{', {}),
            ('invalid_request', 'GetStatus', b'\xff', {}),
            ('invalid_request', 'GetStatus', {'colour': 1}, {}),
            ('invalid_change', 'PutTier', tier, {}),
            ('not_found', 'GetTier', {'id': 'tin'}, {}),
            ('not_found', 'CancelMove', {'options': options('c3')}, {}),
        )
        for code, method, body, how in cases:
            with self.subTest(code=code, method=method):
                self.assertEqual(self.error_code(method, body, **how), code)
        self.assertEqual(self.put_gold('c4', 7)[0], 409)

    def test_unconfirmed(self):
        """Guards against reporting a change as in force that is not."""
        self.backend.lagging = ('vm-9.0.a',)
        _, answer = self.put_gold('c1')
        self.assertEqual(answer['unconfirmedEntries'], ['vm-9.0.a'])
        self.assertFalse(answer['inForceEverywhere'])
        self.assertGreaterEqual(self.backend.clock.monotonic_ms(), CONFIRM_WITHIN_MS)

    def test_outage(self):
        """Guards against calling a refused change unknown."""
        self.backend.tables.faults.outage = True
        status, answer = self.put_gold('c1')
        self.assertEqual(status, 503)
        self.assertEqual(answer['details'][0]['debug']['runState'], 'not_run')

    def test_repeated_move(self):
        """Guards against a repeated start that is refused for its later deadline."""
        self.prepare_service()
        start = {'moveId': 'm', 'serviceId': 's', 'newVersionId': 'v2'}
        start |= {'withinMs': 50_000, 'options': options('c1')}
        _, first = call(self.service, 'StartMove', start)
        self.backend.clock.advance_ms(100)
        _, second = call(self.service, 'StartMove', start)
        self.assertEqual(second, {**first, 'repeated': True})
        start['options'] = options('c2')
        start['moveId'] = 'm2'
        self.assertEqual(self.error_code('StartMove', start), 'move_running')

    def test_cancelled_move(self):
        """Guards against a cancelled move that withdraws a version without cause."""
        self.prepare_service()
        start = {'moveId': 'm', 'serviceId': 's', 'newVersionId': 'v2'}
        start |= {'withinMs': 50_000, 'options': options('c1')}
        call(self.service, 'StartMove', start)
        call(self.service, 'CancelMove', {'moveId': 'm', 'options': options('c2')})
        _, move = call(self.service, 'GetMove', {'id': 'm'})
        _, version = call(self.service, 'GetVersion', {'id': 'v2'})
        self.assertEqual(move['state'], 'MOVE_STATE_TAKEN_BACK')
        self.assertEqual(version['state'], 'VERSION_STATE_CANDIDATE')

    def test_protobuf(self):
        """Guards against a binary body that is read as JSON."""
        self.put_gold('c1')
        request = admin_pb2.ListAuditRecordsRequest().SerializeToString()
        how = {'content_type': 'application/proto'}
        _, body = call(self.service, 'ListAuditRecords', request, **how)
        response = admin_pb2.ListAuditRecordsResponse.FromString(body)
        self.assertEqual(response.records[0].operator, 'ada')
        self.assertIn('"deadline_ms":5000', response.records[0].after_json)
