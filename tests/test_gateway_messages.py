"""Test the parsing of messages from callers and backend servers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from marjoramfall.gateway.http_messages import (
    BadMessageError,
    RequestParser,
    ResponseBounds,
    ResponseParser,
)
from marjoramfall.gateway.servers.event_splitter import EventSplitter

GET = b'GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n'


def parse(message, *, max_header_bytes=1000, max_body_bytes=50):
    """Return a parser that was fed the message."""
    parser = RequestParser(
        max_header_bytes=max_header_bytes, max_body_bytes=max_body_bytes
    )
    parser.feed(message)
    return parser


def post(*headers, body=b''):
    """Return a request with the headers."""
    lines = (b'POST /a/ HTTP/1.1', b'Host: a', *headers, b'', b'')
    return b'\r\n'.join(lines) + body


class TestRequestParser(unittest.TestCase):
    """Requests are parsed completely, and ambiguous ones are rejected."""

    def test_both_framings(self):
        """Guards against smuggling by a length next to a chunked encoding."""
        message = post(
            b'Content-Length: 4', b'Transfer-Encoding: chunked', body=b'0\r\n\r\n'
        )
        with self.assertRaises(BadMessageError):
            parse(message)

    def test_two_lengths(self):
        """Guards against two lengths that end the body at different places."""
        message = post(b'Content-Length: 4', b'Content-Length: 2', body=b'abcd')
        with self.assertRaises(BadMessageError):
            parse(message)

    def test_unknown_encoding(self):
        """Guards against a body of unknown encoding read as the next request."""
        with self.assertRaises(BadMessageError):
            parse(post(b'Transfer-Encoding: xchunked', body=b'abc'))

    def test_space_before_colon(self):
        """Guards against headers that backend servers may parse differently."""
        with self.assertRaises(BadMessageError):
            parse(b'GET / HTTP/1.1\r\nHost : a\r\n\r\n')

    def test_two_hosts(self):
        """Guards against routing by another host than the server uses."""
        with self.assertRaises(BadMessageError):
            parse(b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n')

    def test_signed_length(self):
        """Guards against lengths that are not plain digits."""
        with self.assertRaises(BadMessageError):
            parse(post(b'Content-Length: +4', body=b'abcd'))

    def test_chunked_body(self):
        """Guards against losing data of a chunk that arrives in two parts."""
        parser = parse(post(b'Transfer-Encoding: chunked', body=b'3\r\nab'))
        self.assertFalse(parser.is_complete)
        parser.feed(b'c\r\n0\r\n\r\n')
        self.assertTrue(parser.is_complete)
        self.assertEqual(bytes(parser.body), b'abc')

    def test_surplus(self):
        """Guards against a second request taken for a part of the first."""
        parser = parse(GET + b'GET /b/ HTTP/1.1\r\nHost: b\r\n\r\n')
        self.assertTrue(parser.is_complete)
        self.assertTrue(parser.has_surplus)
        self.assertEqual(parser.head.target, b'/a/')

    def test_header_too_large(self):
        """Guards against headers that exhaust memory."""
        with self.assertRaises(BadMessageError) as caught:
            parse(b'GET / HTTP/1.1\r\nHost: ' + b'a' * 2000)
        self.assertEqual(caught.exception.status, 431)

    def test_body_too_large(self):
        """Guards against bodies that exhaust memory."""
        with self.assertRaises(BadMessageError) as caught:
            parse(post(b'Content-Length: 51'))
        self.assertEqual(caught.exception.status, 413)
        chunk = b'33\r\n' + b'a' * 0x33 + b'\r\n'
        with self.assertRaises(BadMessageError) as caught:
            parse(post(b'Transfer-Encoding: chunked', body=chunk))
        self.assertEqual(caught.exception.status, 413)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, message):
        """Guards against arbitrary bytes that raise another error."""
        try:
            parse(message)
        except BadMessageError as error:
            self.assertIn(error.status, {400, 413, 431})


class TestResponseParser(unittest.TestCase):
    """Responses are separated, and complete ones are recognized."""

    def test_two_responses(self):
        """Guards against mixing two responses that arrive together."""
        parser = ResponseParser(ResponseBounds())
        parser.feed(
            b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
            b'HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nb'
        )
        first, second = parser.responses
        self.assertEqual((first.status, first.take_body()), (200, b'a'))
        self.assertEqual((second.status, second.take_body()), (503, b'b'))

    def test_no_length(self):
        """Guards against a body without a length that never becomes complete.

        Only the end of the connection marks its end.
        """
        parser = ResponseParser(ResponseBounds())
        parser.feed(b'HTTP/1.1 200 OK\r\n\r\nabc')
        self.assertFalse(parser.responses[0].is_complete)
        self.assertTrue(parser.feed_eof())
        self.assertTrue(parser.responses[0].is_complete)

    def test_truncated_chunks(self):
        """Guards against a truncated response that looks complete."""
        parser = ResponseParser(ResponseBounds())
        parser.feed(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
        )
        self.assertFalse(parser.feed_eof())
        self.assertFalse(parser.responses[0].is_complete)

    def test_no_status(self):
        """Guards against a status below 100 as interim, or one above 599 as final."""
        for status in ('000', '042', '099', '600', '999'):
            with self.subTest(status=status), self.assertRaises(BadMessageError):
                ResponseParser(ResponseBounds()).feed(
                    f'HTTP/1.1 {status} None\r\nContent-Length: 0\r\n\r\n'.encode()
                )

    def test_interim_response(self):
        """Guards against an interim response taken for the final one."""
        parser = ResponseParser(ResponseBounds())
        parser.feed(b'HTTP/1.1 100 Continue\r\n\r\n')
        self.assertFalse(parser.responses)


class TestEventSplitter(unittest.TestCase):
    """Only complete and new events are returned."""

    def test_parts(self):
        """Guards against returning a part of an event.

        The event arrives in two parts.
        """
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\ndata: a'), b'')
        self.assertEqual(splitter.feed(b'\n\nid'), b'id: 1\ndata: a\n\n')
        self.assertEqual(splitter.last_id, b'1')

    def test_resume(self):
        """Guards against an event lost or returned twice after a resume."""
        splitter = EventSplitter()
        splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        splitter.discard_partial_event()
        returned = splitter.feed(b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
        self.assertEqual(returned, b'id: 2\ndata: b\n\n')

    @given(st.lists(st.integers(1, 9), max_size=30))
    def test_any_parts(self, cuts):
        """Guards against events that depend on how the bytes are split."""
        stream = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 9))
        splitter = EventSplitter()
        returned = b''
        rest = stream
        for cut in cuts:
            returned += splitter.feed(rest[:cut])
            rest = rest[cut:]
        returned += splitter.feed(rest)
        self.assertEqual(returned, stream)
