import signal
import threading
import unittest

import msgspec

from tests.process_harness import AUTHORIZATION, System

# About 3 s at the engine's speed: the WSGI server itself waits 1 s when it stops.
LONG_TOKENS = 600


class ProcessTest(unittest.TestCase):
    """Start the system once per test."""

    entries = 2

    def setUp(self):
        self.system = System(self.entries)
        self.addCleanup(self.system.close)

    def issued_key(self, vm):
        address = self.system.callers_by_vm[vm]
        path = '/v1/idempotency-keys'
        _, body = self.system.call(address, 'POST', path, {}, AUTHORIZATION)
        return msgspec.json.decode(body)['key']

    def runs(self, key):
        return self.system.stats(self.system.service)['runs_by_key'].get(key, 0)


class RunOnceProcessTest(ProcessTest):
    """Check that a payment runs at most once, whatever dies or is lost."""

    def test_repeated_on_another_entry(self):
        """Guards against a second run when the balancer resends."""
        for key in (self.issued_key('entry-1'), 'invoice-17'):
            first = self.system.pay('entry-1', key)
            second = self.system.pay('entry-2', key)
            self.assertEqual(first[0], 200, first)
            self.assertEqual(second, first)
            self.assertEqual(self.runs(key), 1)

    def test_lost_response(self):
        """Guards against a retry after a run whose response was lost."""
        key = self.issued_key('entry-1')
        self.system.faults(self.system.service, lose_responses=1)
        status, body = self.system.pay('entry-1', key)
        self.assertGreaterEqual(status, 500)
        self.assertEqual(body['error']['run_state'], 'unknown')
        status, body = self.system.pay('entry-2', key)
        self.assertEqual(body['error']['run_state'], 'unknown')
        self.assertEqual(self.runs(key), 1)

    def test_owner_killed(self):
        """Guards against a run by another entry when the key's owner is dead."""
        key = self.issued_key('entry-1')
        self.system.pay('entry-1', key)
        self.system.kill('entry-1')
        status, body = self.system.pay('entry-2', key)
        self.assertEqual(body['error']['run_state'], 'unknown', status)
        self.assertEqual(self.runs(key), 1)

    def test_claimer_killed_in_dispatch(self):
        """Guards against a second run of a caller's key whose entry died."""
        self.system.faults(self.system.service, slow_ms=2000)
        posting = threading.Thread(target=self.system.pay, args=('entry-1', 'inv-9'))
        posting.start()
        self.system.wait(lambda: self.runs('inv-9') == 1)
        self.system.kill('entry-1')
        posting.join()
        _, body = self.system.pay('entry-2', 'inv-9')
        self.assertEqual(body['error']['run_state'], 'unknown')
        self.assertEqual(self.runs('inv-9'), 1)

    def test_store_down(self):
        """Guards against a caller's key that runs unclaimed in an outage."""
        key = self.issued_key('entry-1')
        self.system.faults(self.system.platform, outage=True)
        status, body = self.system.pay('entry-1', 'invoice-18')
        self.assertEqual(status, 503)
        self.assertEqual(body['error']['run_state'], 'not_run')
        self.assertEqual(self.system.pay('entry-2', key)[0], 200)
        self.assertEqual((self.runs('invoice-18'), self.runs(key)), (0, 1))

    def test_frozen_entry(self):
        """Guards against a run by an entry that wakes up long after."""
        key = self.issued_key('entry-2')
        self.system.signal('entry-1', signal.SIGSTOP)
        posting = threading.Thread(target=self.system.pay, args=('entry-1', key))
        posting.start()
        first = self.system.pay('entry-2', key)
        self.assertEqual(first[0], 200, first)
        self.system.signal('entry-1', signal.SIGCONT)
        posting.join()
        self.assertEqual(self.runs(key), 1)


class ShutdownProcessTest(ProcessTest):
    """Check planned stops and restarts."""

    def complete(self, vm, tokens):
        body = {'model': 'drafting', 'prompt': 'bill', 'max_tokens': tokens}
        address = self.system.callers_by_vm[vm]
        return self.system.call(address, 'POST', '/v1/completions', body, AUTHORIZATION)

    def test_request_in_flight(self):
        """Guards against a planned stop that cuts a request in flight."""
        self.check_stop('entry-1')
        self.check_stop('entry-2')

    def check_stop(self, vm):
        responses = []
        asking = threading.Thread(
            target=lambda: responses.append(self.complete(vm, tokens=LONG_TOKENS))
        )
        asking.start()
        self.system.wait(
            lambda: self.system.metric(vm, 'marjoramfall_requests_in_flight') == 1
        )
        self.assertEqual(self.system.stop(vm), 0)
        asking.join()
        status, body = responses[0]
        self.assertEqual(status, 200, body)
        usage = msgspec.json.decode(body)['usage']
        self.assertEqual(usage['completion_tokens'], LONG_TOKENS)

    def test_killed_entries(self):
        """Guards against requests that fail after any entry has died."""
        for vm, other in (('entry-1', 'entry-2'), ('entry-2', 'entry-1')):
            self.system.kill(vm)
            status, body = self.complete(other, tokens=2)
            self.assertEqual(status, 200, body)
            self.system.start(vm)
            self.system.wait_ready(vm)

    def test_address_in_use(self):
        """Guards against a traceback in place of a JSON line."""
        status, output, errors = self.system.start_again('entry-1')
        self.assertEqual((status, errors), (1, b''))
        for line in output.splitlines():
            self.assertIn('event', msgspec.json.decode(line))
