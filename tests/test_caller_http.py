"""Test the callers' interface over loopback against a scripted backend."""

from unittest.mock import patch

from gevent import Timeout, sleep

from marjoramfall.borders import caller_server
from marjoramfall.request.key_claim import AlreadyRunError, ClaimOutcome
from tests.caller_case import (
    STREAM,
    CallerCase,
    raise_shed,
    refuse,
    report_no_delay,
    stream_cut,
    stream_endless,
    stream_stalled,
    stream_whole,
)


class CallerStreamTest(CallerCase):
    """Relay streams and notice callers that leave."""

    def test_whole_stream(self):
        """Guard against an event that is lost or held back on its way."""

        self.start(stream_whole)
        status, content = self.ask('/v1/completions', STREAM)
        self.assertEqual(status, 200)
        self.assertEqual(content.count(b'data: a'), 1)
        self.assertIn(b'data: [DONE]', content)
        self.assertEqual([result.succeeded for result in self.grants.finished], [True])

    def test_cut_stream(self):
        """Guard against a cut stream that looks like a whole one."""

        self.start(stream_cut)
        _, content = self.ask('/v1/completions', STREAM)
        self.assertNotIn(b'[DONE]', content)
        self.assertIn(b'"run_state":"unknown"', content)
        self.assertEqual([result.succeeded for result in self.grants.finished], [False])

    def test_vanished_caller(self):
        """Guard against an engine slot that works for a caller who left."""

        self.start(stream_stalled)
        caller = self.connect()
        caller.sendall(self.request('/v1/completions', STREAM))
        caller.recv(4096)
        caller.close()
        with Timeout(5):
            while not (self.backend.count('DELETE') and self.grants.finished):
                sleep(0.001)
        self.assertEqual(self.application.active_requests, 0)
        self.assertIn('caller_gone', self.counts)

    def test_vanished_while_waiting(self):
        """Guard against a place in the queue for a caller who left."""
        self.start(stream_whole)
        self.grants.wait = lambda: sleep(60)
        caller = self.connect()
        caller.sendall(self.request('/services/lookups/a'))
        with Timeout(5):
            while not self.grants.grant_requests:
                sleep(0.001)
            caller.close()
            while 'caller_gone' not in self.counts:
                sleep(0.001)
        self.assertEqual(len(self.grants.withdrawn), 1)

    def test_slow_reader(self):
        """Guard against a slot and memory held by a caller who never reads."""
        self.start(stream_endless, write_timeout_ms=50)
        caller = self.connect()
        caller.sendall(self.request('/v1/completions', STREAM))
        with Timeout(5):
            while not (self.backend.count('DELETE') and self.grants.finished):
                sleep(0.001)
        self.assertIn('caller_write_timeout', self.counts)
        self.assertEqual(self.application.active_requests, 0)

    def test_connection_limit(self):
        """Guard against unbounded connections."""
        self.start(stream_whole, max_connections=2)
        callers = [self.connect() for _ in range(4)]
        sleep(0.01)
        self.assertEqual(self.server.connection_count, 2)
        self.assertEqual(len(callers), 4)


class CallerRefusalTest(CallerCase):
    """Refuse what cannot be served, with a code and the state not run."""

    def test_no_delay(self):
        """Guard against responses that wait 44 ms for an acknowledgement."""
        self.start(stream_whole)
        self.server.application = report_no_delay
        self.assertEqual(self.ask('/'), (200, b'1'))

    def test_refusals(self):
        """Guard against a bad request that reaches a dispatcher."""
        self.start(stream_whole)
        good = {'model': 'reviews', 'prompt': 'x'}
        large = {'model': 'reviews', 'prompt': 'x' * 3000}
        cases = (
            (self.error('/v1/completions', good, key='bad'), 401, 'unauthorized'),
            (self.error('/v1/completions', good, key='lost-key'), 400, 'unknown_tier'),
            (self.error('/v1/completions', {}), 400, 'invalid_request'),
            (self.error('/v1/completions', large), 413, 'body_too_large'),
            (self.error('/services/none/a', good), 404, 'unknown_service'),
            (self.error('/services/reviews/a', good), 404, 'unknown_service'),
            (self.error('/services/lookups/../a'), 400, 'invalid_request'),
            (self.error('/readyz', method='GET'), 503, 'not_ready'),
            (
                self.error('/v1/completions', good, headers='X-Tier: none\r\n'),
                400,
                'unknown_tier',
            ),
            (
                self.error(
                    '/v1/completions', good, headers=f'X-Big: {"x" * 20000}\r\n'
                ),
                431,
                'headers_too_large',
            ),
        )
        for answer, status, code in cases:
            with self.subTest(code):
                self.assertEqual(answer, (status, code, 'not_run'))
        self.assertEqual(self.grants.grant_requests, [])

    def test_broken_requests(self):
        """Guard against broken bodies and heads that end a handler unanswered."""
        self.start(stream_whole)
        self.is_ready = True
        request = self.request('/v1/completions', {'model': 'reviews', 'prompt': 'x'})
        huge = request.replace(b'Content-Length: ', b'Content-Length: 9999')
        huge = huge.replace(b'close', b'keep-alive')
        cut = request.partition(b'Content-Length')[0].replace(b'close', b'keep-alive')
        cases = (
            (cut + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nab', 'incomplete_body'),
            (huge, 'body_too_large'),
            (request[:-1], 'incomplete_body'),
            (request.replace(b'"prompt"', b'"prompt ', 1), 'invalid_request'),
            (request.replace(b'"x"', b'"\xff"'), 'invalid_request'),
            (self.request('/v1/completions', {'prompt': 'x'}), 'invalid_request'),
            (self.request('/v1/completions', method='GET'), 'method_not_allowed'),
            (self.request('/v2'), 'unknown_path'),
        )
        for text, code in cases:
            with self.subTest(code):
                with patch.object(caller_server, 'DISCARD_TIMEOUT_SECONDS', 0.05):
                    _, content = self.exchange(text, is_cut=text == request[:-1])
                self.assertIn(f'"{code}"'.encode(), content)
                self.assertNotIn(b'HTTP/1.1', content)
                self.assertIn(code, self.counts)

    def test_refused_stream(self):
        """Guard against a caller's mistake reported as a server's failure."""
        self.start(refuse)
        answer = self.ask('/v1/completions', STREAM)
        self.assertEqual(answer, (422, b'{"why":1}'))
        self.assertEqual([result.succeeded for result in self.grants.finished], [True])

    def test_large_response(self):
        """Guard against a body that loses parts."""
        body = bytes(range(256)) * 1024
        self.start(lambda exchange: exchange.respond(body))
        answer = self.ask('/services/lookups/a', method='GET')
        self.assertEqual(answer, (200, body))

    def test_tier(self):
        """Guard against a caller that raises its own tier."""
        self.start(stream_whole)
        self.ask('/v1/completions', STREAM, headers='X-Tier: bulk\r\n')
        self.assertEqual(self.grants.grant_requests[0].tier_rank, 1)
        low = {'key': 'bulk-key', 'headers': 'X-Tier: gold\r\n'}
        answer = self.error('/v1/completions', STREAM, **low)
        self.assertEqual(answer, (403, 'tier_not_allowed', 'not_run'))

    def test_shed(self):
        """Guard against a shed caller who is not told when to come back."""
        self.start(stream_whole)
        self.grants.wait = raise_shed
        caller = self.connect()
        caller.sendall(self.request('/v1/completions', STREAM))
        with caller.makefile('rb') as stream:
            self.assertIn(b'Retry-After: 2\r\n', stream.read())
        self.assertEqual(self.counts, ['shed'])

    def test_replay(self):
        """Guard against a repeated posting answered without its response."""
        self.start(stream_whole)
        outcome = ClaimOutcome(
            dispatched=True, status=201, body=b'{"id":7}', recorded=True
        )
        self.claims.refusal = AlreadyRunError(outcome)
        headers = 'Idempotency-Key: k\r\n'
        answer = self.ask('/services/deposits/d', {'sum': 1}, headers=headers)
        self.assertEqual(answer, (201, b'{"id":7}'))
        self.assertEqual(self.backend.heads, [])

    def test_key(self):
        """Guard against keys for unknown callers."""
        self.start(stream_whole)
        answer = self.ask('/v1/idempotency-keys')
        self.assertEqual(answer, (201, b'{"key":"key-of-school"}'))
        self.assertEqual(self.ask('/v1/idempotency-keys', key='x')[0], 401)

    def test_plain_call(self):
        """Guard against a pass-through that changes path, status or body."""
        self.start(lambda exchange: exchange.respond(b'{"id":7}', '409 Conflict'))
        answer = self.ask('/services/lookups/a%20b?c=1', method='GET')
        self.assertEqual(answer, (409, b'{"id":7}'))
        self.assertTrue(self.backend.heads[0].startswith(b'GET /a%20b?c=1 HTTP/1.1'))
