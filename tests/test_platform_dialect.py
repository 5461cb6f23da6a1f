"""Test how the headers of the users' platform are read."""

import unittest

from marjoramfall.gateway.http_messages import RequestHead, Response
from marjoramfall.gateway.servers.copy_messages import CopyEnding, CopyOrder
from marjoramfall.platform.dialect import MAX_PART_ID_CHARS, PlatformDialect
from tests.gateway_fakes import make_server


class TestDialect(unittest.TestCase):
    """Headers of callers are parsed, and reserved headers are dropped."""

    def setUp(self):
        self.dialect = PlatformDialect()

    def read(self, *headers):
        """Return the fields of a request with the headers."""
        head = RequestHead(b'POST', b'/a/b?c=1', [(b'host', b'A.example:8'), *headers])
        return self.dialect.read_fields(head)

    def test_forged_headers(self):
        """Guards against callers that set headers reserved for the gateway."""
        fields = self.read(
            (b'marjoramfall-tenant', b'other'),
            (b'marjoramfall-hold', b'1'),
            (b'marjoramfall-pin-ms', b'1'),
            (b'marjoramfall-kv-backup', b'1'),
            (b'kv-from', b'1'),
            (b'marjoramfall-expect-instance', b'i-9'),
            (b'connection', b'x-hop'),
            (b'x-hop', b'1'),
            (b'x-kept', b'1'),
        )
        self.assertEqual([name for name, _ in fields.headers], [b'host', b'x-kept'])

    def test_fields(self):
        """Host, path, API key and token counts are read."""
        fields = self.read(
            (b'authorization', b'Bearer key-a'),
            (b'marjoramfall-token-usage', b'1460,80'),
            (b'marjoramfall-length-hint', b'900'),
        )
        self.assertEqual((fields.host, fields.path), ('a.example', '/a/b'))
        self.assertEqual(fields.api_key, 'key-a')
        self.assertEqual((fields.prompt_tokens, fields.output_tokens), (1460, 80))
        self.assertEqual(fields.likely_output_tokens, 80)

    def test_copy_of_run(self):
        """Guards against calls that move a run which servers don't understand."""
        source = make_server(address='10.0.0.1:80')
        order = CopyOrder('a-1', source, make_server(address='10.0.0.2:80'), True)
        head, _, body = self.dialect.encode_copy(order).partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'POST /-/kv-move HTTP/1.1\r\n'))
        self.assertEqual(body, b'{"id":"a-1","to":"10.0.0.2:80","last":true}')
        drop = self.dialect.encode_copy_drop(source, 'h-1')
        self.assertTrue(drop.startswith(b'DELETE /-/kv-handle/h-1 HTTP/1.1\r\n'))

    def test_copy_answers(self):
        """Guards against an answer that is taken for a copy, or fails the entry."""
        for status, body, ending, handle in (
            (200, b'{"handle":"h1","createRevision":3}', CopyEnding.COPIED, 'h1'),
            (200, b'{"handle":7}', CopyEnding.COPIED, '7'),
            (200, b'{"handle":"a/../b"}', CopyEnding.LOST, ''),
            (200, b'\xff', CopyEnding.LOST, ''),
            (404, b'{}', CopyEnding.NO_RUN, ''),
            (409, b'[]', CopyEnding.BUSY, ''),
            (503, b'{"handle":"h1"}', CopyEnding.NO_ROOM, 'h1'),
            (500, b'', CopyEnding.REFUSED, ''),
        ):
            with self.subTest(status=status, body=body):
                result = self.dialect.read_copy_result(Response(status), body)
                self.assertEqual((result.ending, result.handle), (ending, handle))

    def test_prompt_parts(self):
        """The last part of a prompt is its own, the others may be shared."""
        fields = self.read((b'marjoramfall-prompt-prefix', b'5c1e:800, 91bd:410,e4:25'))
        self.assertEqual(fields.shared_part_ids, ('5c1e', '91bd'))
        self.assertEqual(fields.own_part_id, 'e4')
        self.assertEqual(self.read().shared_part_ids, ())

    def test_long_prompt_part(self):
        """Guards against ids that no datagram can hold."""
        fields = self.read((b'marjoramfall-prompt-prefix', b'a' * 9000 + b':1,b:1'))
        self.assertEqual(fields.shared_part_ids, ('a' * MAX_PART_ID_CHARS,))

    def test_invalid_numbers(self):
        """Guards against failing on headers that should hold numbers and do not."""
        fields = self.read(
            (b'marjoramfall-token-usage', b'a,b'),
            (b'marjoramfall-deadline-ms', b'soon'),
        )
        self.assertIsNone(fields.caller_timeout_ms)
        self.assertEqual(fields.prompt_tokens, 0)

    def test_rate_limit(self):
        """Guards against failing on a limit that is no number."""
        limits = {b'2.5': 2.5, b'0': 0, b'-1': None, b'nan': None, b'soon': None}
        for text, expected in limits.items():
            response = Response(status=200, headers=[(b'server-limit', text)])
            self.assertEqual(self.dialect.read_rate_limit(response), expected)
        self.assertIsNone(self.dialect.read_rate_limit(Response(status=200)))

    def test_server_id(self):
        """The server factory of the tests keeps the server id."""
        self.assertEqual(make_server('i-1').server_id, 'i-1')
