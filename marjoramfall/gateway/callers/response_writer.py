"""Write the responses to the requests of callers."""

from gevent import GreenletExit, socket

from marjoramfall.gateway.http_messages import (
    HEAD_METHOD,
    Header,
    RequestHead,
    encode_head,
    end_to_end_headers,
)

REASON_PHRASES = {
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
LAST_CHUNK = b'0\r\n\r\n'


class CallerGoneError(GreenletExit):
    """Stop the work on a request whose caller has disconnected."""


class EntryStopsError(GreenletExit):
    """Stop the work on a request as the process is about to exit."""


class ResponseWriter:
    """Write the response to one request of a caller."""

    def __init__(
        self, connection: socket.socket, head: RequestHead, *, keep_alive: bool
    ) -> None:
        self._socket = connection
        self._is_http10 = head.is_http10
        self._has_body = head.method != HEAD_METHOD
        self._is_chunked = False
        self._keep_alive = keep_alive and not head.is_http10
        self.has_begun = False
        self.is_complete = False
        self.status = 0

    @property
    def keeps_connection(self) -> bool:
        """Return whether the connection can carry another request."""
        return self._keep_alive and self.is_complete

    @property
    def hides_truncation(self) -> bool:
        """Return whether the end of the connection would complete a broken body."""
        return self.has_begun and not self.is_complete and not self._is_chunked

    def announce_close(self) -> None:
        """Close the connection after the response unless its head was sent."""
        if not self.has_begun:
            self._keep_alive = False

    def send_response(
        self, status: int, headers: list[Header], body: bytes, reason: bytes = b''
    ) -> None:
        """Send a complete response, without the body if it answers HEAD."""
        forwarded = end_to_end_headers(headers)
        if self._has_body:
            forwarded = [
                header for header in forwarded if header[0] != b'content-length'
            ]
            forwarded.append((b'content-length', str(len(body)).encode()))
        head = self._encode_head(status, reason, forwarded)
        self.has_begun = True
        self._send(head + body if self._has_body else head)
        self.is_complete = True

    def begin(
        self, status: int, headers: list[Header], reason: bytes, first_part: bytes
    ) -> None:
        """Send the head and the first part of a body of unknown length."""
        forwarded = [
            header
            for header in end_to_end_headers(headers)
            if header[0] != b'content-length'
        ]
        self._is_chunked = not self._is_http10
        if self._is_chunked:
            forwarded.append((b'transfer-encoding', b'chunked'))
        head = self._encode_head(status, reason, forwarded)
        self.has_begun = True
        self._send(head + self._encode_chunk(first_part))

    def send_part(self, part: bytes) -> None:
        """Send a part of the body; an empty part sends nothing."""
        if part:
            self._send(self._encode_chunk(part))

    def finish(self) -> None:
        """Complete the body, with the last chunk if it is chunked."""
        if self._is_chunked:
            self._send(LAST_CHUNK)
        self.is_complete = True

    def _encode_chunk(self, part: bytes) -> bytes:
        if not self._is_chunked or not part:
            return part
        return b'%x\r\n%b\r\n' % (len(part), part)

    def _encode_head(self, status: int, reason: bytes, headers: list[Header]) -> bytes:
        self.status = status
        if not self._keep_alive:
            headers.append((b'connection', b'close'))
        reason = reason or REASON_PHRASES.get(status, b'')
        return encode_head(b'HTTP/1.1 %d %b' % (status, reason), headers)

    def _send(self, message: bytes) -> None:
        try:
            self._socket.sendall(message)
        except OSError as error:
            raise CallerGoneError(str(error)) from error
