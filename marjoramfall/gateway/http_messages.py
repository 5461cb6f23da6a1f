"""Parse HTTP/1.1 requests and responses with httptools."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto

import httptools

from marjoramfall.http_status import is_status

FIRST_FINAL_STATUS = 200
HEAD_METHOD = b'HEAD'
NO_CONTENT = 204
NOT_MODIFIED = 304
CHUNKED = b'chunked'
# Longer whole numbers in headers are ignored.
MAX_COUNT_DIGITS = 18

Header = tuple[bytes, bytes]

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def find_header(headers: list[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with the lowercase name."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def read_count(text: bytes | None) -> int | None:
    """Return the whole number in a header, None if it holds none."""
    is_count = text is not None and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Return the headers without those that concern a single connection."""
    listed = find_header(headers, b'connection') or b''
    dropped = {
        token.strip().lower() for token in listed.split(b',')
    } | HOP_BY_HOP_HEADERS
    return [header for header in headers if header[0] not in dropped]


class BadMessageError(Exception):
    """Indicate a malformed or too large HTTP message."""

    def __init__(self, reason: str, *, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class RequestHead:
    """Hold the request line and headers; header names are lowercase."""

    method: bytes = b''
    target: bytes = b''
    headers: list[Header] = field(default_factory=list)
    keep_alive: bool = True
    expects_continue: bool = False
    is_http10: bool = False


class _ParseState(Enum):
    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    COMPLETE = auto()


class RequestParser:
    """Parse one request of a caller and reject ambiguous framing.

    Bytes after the request are not kept: they only set `has_surplus`. Nothing
    may be fed once the request is complete.
    """

    def __init__(self, *, max_header_bytes: int, max_body_bytes: int) -> None:
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._state = _ParseState.IDLE
        self._header_bytes = 0
        self._failure: BadMessageError | None = None
        self._stated_body_bytes = 0
        self.head = RequestHead()
        self.body = bytearray()
        self.has_surplus = False

    @property
    def is_complete(self) -> bool:
        """Return whether head and body were parsed completely."""
        return self._state is _ParseState.COMPLETE

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the request has arrived."""
        return self._state is not _ParseState.IDLE

    @property
    def has_head(self) -> bool:
        """Return whether the head was parsed completely."""
        return self._state in {_ParseState.BODY, _ParseState.COMPLETE}

    def expected_body_bytes(self, known_bytes: int) -> int:
        """Return the length of the body.

        One that states no length, and of which more than `known_bytes` have arrived,
        may become as long as bodies may be.
        """
        if len(self.body) > known_bytes and not self._stated_body_bytes:
            return self._max_body_bytes
        return max(self._stated_body_bytes, len(self.body))

    def use_limits(self, *, max_header_bytes: int, max_body_bytes: int) -> None:
        """Replace the limits; the body is read under those of the end of the head."""
        if not self.has_head:
            self._max_header_bytes = max_header_bytes
            self._max_body_bytes = max_body_bytes

    def feed(self, received: bytes) -> None:
        """Parse bytes; raises `BadMessageError`."""
        # Empty lines before a request are not a part of it.
        if self._state is _ParseState.IDLE and received.strip(b'\r\n'):
            self._state = _ParseState.HEAD
        if not self.has_head:
            self._header_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise BadMessageError('upgrade is not supported') from error
        except httptools.HttpParserError as error:
            # httptools raises its own error in place of one raised by a callback.
            if self._failure:
                raise self._failure from error
            if not self.is_complete:
                raise BadMessageError(str(error)) from error
            # Bytes after a complete request belong to the next one.
            self.has_surplus = True
        self._check_sizes()

    def take_body(self) -> bytes:
        """Return the body of the complete request, and keep no copy of it."""
        taken = bytes(self.body)
        self.body.clear()
        return taken

    def close(self) -> None:
        """Release the parser of httptools, which refers back to this one.

        Bodies arrive faster than the cyclic garbage collector would find them.
        """
        self._parser = None

    # Callbacks of httptools.

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        if not self.is_complete:
            self.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if not self.has_head:
            self.head.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the framing once the head is complete."""
        if self.is_complete:
            return
        self.head.method = self._parser.get_method()
        self.head.keep_alive = self._parser.should_keep_alive()
        self.head.is_http10 = self._parser.get_http_version() == '1.0'
        self._state = _ParseState.BODY
        self._check_framing()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.is_complete:
            return
        self.body += body

    def on_message_begin(self) -> None:
        """Record a request that follows a complete one."""
        if self.is_complete:
            self.has_surplus = True

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        if self._state is _ParseState.BODY:
            self._state = _ParseState.COMPLETE

    def _check_framing(self) -> None:
        lengths = [
            value for name, value in self.head.headers if name == b'content-length'
        ]
        encodings = [
            value.strip().lower()
            for name, value in self.head.headers
            if name == b'transfer-encoding'
        ]
        hosts = [value for name, value in self.head.headers if name == b'host']
        if len(hosts) != 1:
            self._fail('exactly one Host header is required')
        if encodings and (lengths or encodings != [CHUNKED]):
            self._fail('the length of the body is ambiguous')
        if len(set(lengths)) > 1 or any(not value.isdigit() for value in lengths):
            self._fail('the length of the body is ambiguous')
        if lengths and int(lengths[0]) > self._max_body_bytes:
            self._failure = BadMessageError('body too large', status=413)
            raise self._failure
        self._stated_body_bytes = int(lengths[0]) if lengths else 0
        expected = find_header(self.head.headers, b'expect') or b''
        self.head.expects_continue = expected.lower() == b'100-continue'

    def _fail(self, reason: str) -> None:
        self._failure = BadMessageError(reason)
        raise self._failure

    def _check_sizes(self) -> None:
        if not self.has_head and self._header_bytes > self._max_header_bytes:
            raise BadMessageError('header too large', status=431)
        if len(self.body) > self._max_body_bytes:
            raise BadMessageError('body too large', status=413)


@dataclass(frozen=True, slots=True)
class ResponseBounds:
    """Bound what is buffered of a server's responses on one connection.

    `framing_bytes` are those received in a row that add nothing to a body: heads,
    interim responses, chunk sizes and trailers. `pending_responses` are those that
    arrived but were not read yet. A VM with 200 MB must hold a response at each
    bound on all of its connections at once.
    """

    framing_bytes: int = 32_768
    header_fields: int = 128
    body_bytes: int = 262_144
    pending_responses: int = 8


@dataclass(slots=True)
class Response:
    """Collect one response of a backend server; header names are lowercase.

    `ends_with_connection` is true if only the end of the connection marks the
    end of the body.
    """

    status: int = 0
    reason: bytes = b''
    headers: list[Header] = field(default_factory=list)
    has_head: bool = False
    is_complete: bool = False
    keep_alive: bool = False
    ends_with_connection: bool = False
    body: bytearray = field(default_factory=bytearray)

    @property
    def is_final(self) -> bool:
        """Return whether this is not an interim (1xx) response."""
        return self.status >= FIRST_FINAL_STATUS

    def take_body(self) -> bytes:
        """Return the body received so far and clear it."""
        taken = bytes(self.body)
        self.body.clear()
        return taken


class ResponseParser:
    """Split the bytes of a connection into responses, in order of arrival."""

    def __init__(self, bounds: ResponseBounds) -> None:
        self._bounds = bounds
        self._parser = httptools.HttpResponseParser(self)
        self._framing_bytes = 0
        self._header_fields = 0
        self._failure: BadMessageError | None = None
        # A response to HEAD states the length of a body that is not sent.
        self.expects_body = True
        self.current = Response()
        self.responses: deque[Response] = deque()

    def feed(self, received: bytes) -> None:
        """Parse bytes; raises `BadMessageError`, also if a bound is exceeded."""
        self._framing_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # httptools raises its own error in place of one raised by a callback.
            raise self._failure or BadMessageError(str(error)) from error
        if self._framing_bytes > self._bounds.framing_bytes:
            raise BadMessageError('too many bytes outside of a body')

    def feed_eof(self) -> bool:
        """Handle the end of input; return whether it completes a response."""
        response = self.current
        if response.ends_with_connection and not response.is_complete:
            response.is_complete = True
            response.keep_alive = False
            return True
        return False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.current = Response()

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self.current.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        self._header_fields += 1
        if self._header_fields > self._bounds.header_fields:
            self._fail('too many header fields')
        if not self.current.has_head:
            self.current.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Add a final response to `responses` once its head is complete."""
        response = self.current
        response.status = self._parser.get_status_code()
        if not is_status(response.status):
            self._fail('invalid HTTP status code')
        response.has_head = True
        response.keep_alive = self._parser.should_keep_alive()
        has_length = find_header(response.headers, b'content-length') is not None
        encoding = find_header(response.headers, b'transfer-encoding')
        has_body = response.is_final and response.status not in {
            NO_CONTENT,
            NOT_MODIFIED,
        }
        response.ends_with_connection = has_body and not has_length and encoding is None
        if response.is_final and not self.expects_body:
            # The parser still expects a body, so the connection cannot be reused.
            response.is_complete = True
            response.keep_alive = False
        if response.is_final:
            self._add(response)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._reset_framing()
        self.current.body += body
        if len(self.current.body) > self._bounds.body_bytes:
            self._fail('the body is too large')

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.current.is_complete = True
        if self.current.is_final:
            self._reset_framing()

    def _add(self, response: Response) -> None:
        if len(self.responses) >= self._bounds.pending_responses:
            self._fail('too many responses')
        self.responses.append(response)

    def _reset_framing(self) -> None:
        self._framing_bytes = 0
        self._header_fields = 0

    def _fail(self, reason: str) -> None:
        self._failure = BadMessageError(reason)
        raise self._failure


def encode_head(start_line: bytes, headers: list[Header]) -> bytes:
    """Return the encoded head of a message, with the empty line at its end."""
    lines = [start_line]
    lines.extend(name + b': ' + value for name, value in headers)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)
