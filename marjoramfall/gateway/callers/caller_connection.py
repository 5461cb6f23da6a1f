"""Serve the HTTP/1.1 connection of a caller."""

import struct
from abc import ABC, abstractmethod
from collections.abc import Callable

from gevent import Greenlet, socket, spawn

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyBudgetError,
    BodyReservation,
)
from marjoramfall.gateway.callers.response_writer import (
    CallerGoneError,
    EntryStopsError,
    ResponseWriter,
)
from marjoramfall.gateway.http_messages import (
    BadMessageError,
    Header,
    RequestHead,
    RequestParser,
)
from marjoramfall.gateway.model import CallerLimits
from marjoramfall.gateway.servers.socket_state import (
    configure_caller_socket,
    has_hung_up,
    has_input,
)

RECEIVE_BYTES = 65536
# How often a connection without input is checked for header and idle timeouts.
TIMEOUT_CHECK_INTERVAL_S = 1.0
# Bytes of later requests that are buffered while one is served; more are not read.
MAX_PIPELINED_BYTES = 262144
# How often a connection that is not read is checked for its end.
END_CHECK_INTERVAL_S = 0.1
# Below this, a request may be on its way on a connection that was just accepted.
MIN_IDLE_MS = 100.0
REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestHandler(ABC):
    """Answer the requests of callers."""

    @abstractmethod
    def handle(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one request; the response may be left incomplete."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    def refusal_headers(self, _reason: str) -> list[Header]:
        """Return headers of the refusal of a request that was not read whole."""
        return []

    @abstractmethod
    def is_stopping(self) -> bool:
        """Return whether connections should end after their next response."""


class CallerConnection:
    """Read requests from a socket and pass them to a handler one at a time."""

    def __init__(
        self,
        connection: socket.socket,
        handler: RequestHandler,
        clock: Clock,
        *,
        bodies: BodyBudget,
        on_end: Callable[['CallerConnection'], None],
    ) -> None:
        self._socket = connection
        self._handler = handler
        self._clock = clock
        self._bodies = bodies
        self._room: BodyReservation | None = None
        self._room_granted_ms = float(0)
        # Set while a greenlet waits for room: nothing else is parsed, or read, then.
        self._is_waiting_for_room = False
        self._on_end = on_end
        self._worker: Greenlet | None = None
        self._pipelined = bytearray()
        self._last_activity_ms = clock.monotonic_ms()
        self._request_begun_ms = self._last_activity_ms
        self._is_closed = False
        self._parser = self._new_parser()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered, or about to be.

        A caller may have sent one that was not read yet, or be sending its first.
        """
        if self._worker is not None or self._parser.has_begun:
            return False
        idle_ms = self._clock.monotonic_ms() - self._last_activity_ms
        return idle_ms >= MIN_IDLE_MS and not has_input(self._socket)

    def run(self) -> None:
        """Serve requests until the caller disconnects or the connection closes."""
        try:
            configure_caller_socket(self._socket)
            is_open = True
            while is_open and not self._is_closed:
                is_open = self._read_once()
        except OSError:
            # Callers may disconnect by a reset, which is not a failure.
            self._is_closed = True
        finally:
            self._clean_up()

    def end_work(self) -> None:
        """Let the handler answer a request at once that is still being served."""
        if self._worker is not None:
            self._worker.kill(EntryStopsError, block=False)

    def close(self) -> None:
        """Close the socket; may be called twice."""
        self._is_closed = True
        self._socket.close()

    def _clean_up(self) -> None:
        if self._worker is not None:
            self._worker.kill(CallerGoneError, block=False)
        self._parser.close()
        self._release_room()
        self.close()
        self._on_end(self)

    def _read_once(self) -> bool:
        if self._is_waiting_for_room:
            self._room.granted.wait(TIMEOUT_CHECK_INTERVAL_S)
            return True
        if self._worker is not None and len(self._pipelined) >= MAX_PIPELINED_BYTES:
            self._worker.join(END_CHECK_INTERVAL_S)
            return not has_hung_up(self._socket)
        # The timeout set on the socket is that of the worker's writes.
        try:
            socket.wait_read(self._socket.fileno(), timeout=TIMEOUT_CHECK_INTERVAL_S)
        except TimeoutError:
            return self._check_timeouts()
        received = self._socket.recv(RECEIVE_BYTES)
        if not received:
            return False
        self._last_activity_ms = self._clock.monotonic_ms()
        if self._worker is not None or self._is_waiting_for_room:
            self._pipelined += received
            return True
        return self._parse(received)

    def _parse(self, received: bytes) -> bool:
        if not self._parser.has_begun:
            self._request_begun_ms = self._clock.monotonic_ms()
        had_head = self._parser.has_head
        limits = self._handler.limits()
        self._parser.use_limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
        )
        try:
            self._parser.feed(received)
        except BadMessageError as error:
            self._send_error(error.status, str(error))
            return False
        if self._parser.is_complete:
            self._start_worker()
            return True
        if not self._has_room():
            return False
        if (
            self._parser.has_head
            and not had_head
            and self._parser.head.expects_continue
        ):
            self._socket.sendall(CONTINUE_RESPONSE)
        return True

    def _has_room(self) -> bool:
        """Wait for room for a large body; return False if the request was refused."""
        size = self._parser.expected_body_bytes(SMALL_BODY_BYTES)
        if size <= SMALL_BODY_BYTES:
            return True
        if self._room is not None:
            return self._check_body_time()
        self._room = self._bodies.reserve(size)
        self._is_waiting_for_room = True
        try:
            self._bodies.wait(self._room)
        except BodyBudgetError as error:
            self._send_error(UNAVAILABLE, str(error))
            return False
        finally:
            self._is_waiting_for_room = False
        self._last_activity_ms = self._clock.monotonic_ms()
        self._room_granted_ms = self._last_activity_ms
        return self._parse_pipelined()

    def _check_body_time(self) -> bool:
        """Refuse a body that keeps others from room for too long; return False."""
        held_ms = self._clock.monotonic_ms() - self._room_granted_ms
        if held_ms <= self._handler.limits().idle_timeout_ms:
            return True
        self._send_error(REQUEST_TIMEOUT, 'the body took too long')
        return False

    def _parse_pipelined(self) -> bool:
        """Parse what arrived while there was no parser for it."""
        if not self._pipelined:
            return True
        pipelined = bytes(self._pipelined)
        self._pipelined.clear()
        return self._parse(pipelined)

    def _release_room(self) -> None:
        if self._room is not None:
            self._bodies.release(self._room)
            self._room = None

    def _start_worker(self) -> None:
        parser = self._parser
        # The parser has not kept the bytes of a following request.
        keep_alive = parser.head.keep_alive and not parser.has_surplus
        writer = ResponseWriter(
            self._socket,
            parser.head,
            keep_alive=keep_alive and not self._handler.is_stopping(),
        )
        parser.close()
        body = parser.take_body()
        if self._room is not None:
            self._bodies.shrink(self._room, len(body))
        self._worker = spawn(self._handle_request, parser.head, body, writer)

    def _handle_request(
        self, head: RequestHead, body: bytes, writer: ResponseWriter
    ) -> None:
        try:
            self._handler.handle(head, body, writer)
        except CallerGoneError:
            self.close()
            return
        finally:
            self._worker = None
            self._release_room()
        if writer.hides_truncation:
            self._reset()
            return
        if not writer.keeps_connection:
            self._shut_down()
            return
        self._last_activity_ms = self._clock.monotonic_ms()
        self._parser = self._new_parser()
        if not self._parse_pipelined():
            self._shut_down()

    def _shut_down(self) -> None:
        # The shutdown ends the reader, which waits for the socket in another greenlet.
        self._is_closed = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            self._socket.close()

    def _reset(self) -> None:
        # With a linger time of 0, closing resets the connection.
        linger = struct.pack('ii', 1, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def _check_timeouts(self) -> bool:
        if self._worker is not None:
            return True
        now_ms = self._clock.monotonic_ms()
        limits = self._handler.limits()
        if self._parser.has_begun and not self._parser.has_head:
            if now_ms - self._request_begun_ms > limits.header_timeout_ms:
                self._send_error(408, 'the header took too long')
                return False
            return True
        return now_ms - self._last_activity_ms <= limits.idle_timeout_ms

    def _send_error(self, status: int, reason: str) -> None:
        writer = ResponseWriter(self._socket, RequestHead(), keep_alive=False)
        try:
            headers = self._handler.refusal_headers(reason)
            writer.send_response(status, headers, reason.encode())
        except CallerGoneError:
            self._is_closed = True

    def _new_parser(self) -> RequestParser:
        limits = self._handler.limits()
        return RequestParser(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
        )
