"""Exchange HTTP/1.1 messages over one connection to a backend server."""

import select
from collections.abc import Iterator
from http.client import HTTPException
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent import socket
from geventhttpclient.response import HTTPResponse

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.connection.backend_errors import (
    BackendConnectionBrokenError,
    BackendNotReachedError,
    BackendTimeoutError,
    MalformedResponseError,
)
from marjoramfall.http_status import is_status

RECEIVE_BYTES = 16 * 1024
# Bounds the memory that a server with an endless header can take.
MAX_HEAD_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200


class ResponseParser(HTTPResponse):
    """Collect the parsed body and notice a second response."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.body = bytearray()
        self.has_surplus = False

    def take_body(self) -> bytes:
        """Return and forget the body parsed so far."""
        taken = bytes(self.body)
        self.body.clear()
        return taken

    @property
    def has_head(self) -> bool:
        """Return whether the head of a final response is complete."""
        return self.headers_complete and self.get_code() >= FIRST_FINAL_STATUS

    @property
    def is_complete(self) -> bool:
        """Return whether a final response is complete."""
        return self.message_complete and self.get_code() >= FIRST_FINAL_STATUS

    def _on_body(self, buf: bytearray) -> None:
        self.body += buf

    def _on_message_begin(self) -> None:
        if self.is_complete:
            self.has_surplus = True
        super()._on_message_begin()


class HttpConnection:
    """Own one socket; exchange one request and response at a time."""

    def __init__(
        self, address: str, *, connect_timeout_ms: int, read_timeout_ms: int
    ) -> None:
        """Connect to `host:port`; raises `BackendNotReachedError`."""
        host, _, port = address.rpartition(':')
        self.address = address
        self.idle_since_ms = float(0)
        self._has_ended = False
        self._parser = ResponseParser('GET')
        try:
            self._socket = socket.create_connection(
                (host, int(port)), timeout=connect_timeout_ms / MS_PER_SECOND
            )
        except OSError as error:
            raise BackendNotReachedError(f'{address}: {error}') from error
        self._socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._socket.settimeout(read_timeout_ms / MS_PER_SECOND)

    @property
    def no_delay(self) -> bool:
        """Return whether small segments are sent at once."""
        return bool(self._socket.getsockopt(IPPROTO_TCP, TCP_NODELAY))

    def is_quiet(self) -> bool:
        """Return whether the idle connection got neither bytes nor an end."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket; a second call does nothing."""
        self._socket.close()

    def send(self, method: str, message: bytes) -> None:
        """Send a whole request.

        Raises `BackendNotReachedError` if not even its first byte was sent,
        else `BackendConnectionBrokenError`.
        """
        self._parser = ResponseParser(method)
        try:
            sent = self._socket.send(message)
        except OSError as error:
            raise BackendNotReachedError(f'{self.address}: {error}') from error
        try:
            self._socket.sendall(message[sent:])
        except OSError as error:
            raise BackendConnectionBrokenError(str(error)) from error

    def read_head(self) -> ResponseParser:
        """Read up to the end of the response's head and return the parser."""
        received = 0
        while not self._parser.has_head:
            received += self._receive()
            if received > MAX_HEAD_BYTES and not self._parser.has_head:
                raise MalformedResponseError('the head of the response is too long')
        return self._parser

    def body_parts(self) -> Iterator[bytes]:
        """Yield the body as it arrives; ends with the whole response."""
        while True:
            part = self._parser.take_body()
            if part:
                yield part
            if self._parser.is_complete:
                return
            self._receive()

    @property
    def has_ended(self) -> bool:
        """Return whether the server closed the connection."""
        return self._has_ended

    @property
    def can_reuse(self) -> bool:
        """Return whether a whole response was read and nothing beyond it."""
        return self._parser.is_complete and self._parser.should_keep_alive()

    def _receive(self) -> int:
        try:
            received = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            raise BackendTimeoutError(f'{self.address} sent nothing') from error
        except OSError as error:
            raise BackendConnectionBrokenError(str(error)) from error
        self._has_ended = not received
        self._parse(received)
        return len(received)

    def _parse(self, received: bytes) -> None:
        if not received and not self._parser.headers_complete:
            raise BackendConnectionBrokenError('the connection ended in the head')
        try:
            self._parser.feed(received)
        except HTTPException as error:
            if received:
                raise MalformedResponseError(str(error)) from error
            raise BackendConnectionBrokenError(str(error)) from error
        self._check_parsed()

    def _check_parsed(self) -> None:
        if self._parser.headers_complete and not is_status(self._parser.get_code()):
            raise MalformedResponseError('invalid HTTP status code')
        if self._has_ended and not self._parser.is_complete:
            raise BackendConnectionBrokenError('the connection ended early')
        if self._parser.has_surplus:
            raise MalformedResponseError('bytes follow the end of the response')
