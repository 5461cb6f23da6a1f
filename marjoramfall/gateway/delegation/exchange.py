"""Send a request to a peer that reaches its service and deliver the response."""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.callers.call import Call, Delegation
from marjoramfall.gateway.callers.response_writer import ResponseWriter
from marjoramfall.gateway.delegation import messages
from marjoramfall.gateway.delegation.offers import DelegateOffer
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.http_messages import (
    HEAD_METHOD,
    Response,
    encode_head,
    find_header,
)
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    NotReachedError,
    ServerTimeoutError,
)
from marjoramfall.gateway.servers.body_delivery import (
    deliver_in_parts,
    is_whole,
    read_start,
)
from marjoramfall.gateway.servers.event_splitter import (
    EventSplitter,
    StreamOverheadError,
)
from marjoramfall.gateway.servers.outcome import Ending, GatewayFailureError, Outcome

CONNECT_TIMEOUT_MS = 250.0
# The peer waits this long past the deadline for its server's own error.
DEADLINE_GRACE_MS = 300.0
# How often a peer that sends nothing is checked for being alive.
LIVENESS_INTERVAL_MS = 300.0
OK = 200
BAD_GATEWAY = 502
UNAVAILABLE = 503
CONTENT_TYPE = b'content-type'
RETRY_AFTER = b'retry-after'

Received = TypeVar('Received', Response, bytes)


class DelegatedExchange:
    """Send a call to a peer on a connection of its own.

    The peer serves it like a request of a caller, but counts it under no limit of a
    team and does not delegate it again.
    """

    def __init__(
        self,
        call: Call,
        offer: DelegateOffer,
        dialect: Dialect,
        clock: Clock,
        *,
        is_live: Callable[[str], bool],
    ) -> None:
        self._call = call
        self._offer = offer
        self._dialect = dialect
        self._clock = clock
        self._is_live = is_live
        self._connection: BackendConnection | None = None

    def run(self, writer: ResponseWriter, splitter: EventSplitter | None) -> Outcome:
        """Return how the exchange ended.

        Raises `GatewayFailureError` if the peer has refused the request for good.
        """
        # Counted before it is known to have run, and taken back where it has not.
        self._call.runs += 1
        try:
            return self._run(writer, splitter)
        except NotReachedError as error:
            self._call.runs -= 1
            return Outcome(Ending.NOT_REACHED, str(error))
        except BrokenExchangeError as error:
            return Outcome(Ending.UNKNOWN, str(error))
        finally:
            if self._connection is not None:
                self._connection.close()

    def _run(self, writer: ResponseWriter, splitter: EventSplitter | None) -> Outcome:
        self._send()
        expected = self._dialect.expected_header(self._call)
        response = self._await(
            lambda timeout_ms: self._connection.read_response(timeout_ms, expected)
        )
        failure = messages.read_failure(response)
        if failure is not None:
            has_run = self._has_run_before(writer)
            return self._read_failure(response, failure, has_run=has_run)
        if self._has_run_before(writer) and self._dialect.was_rejected(response):
            self._call.runs -= 1
            return Outcome(Ending.NOT_RUN, f'rejected with {response.status}')
        if writer.has_begun and not self._is_rest_of_stream(response):
            return Outcome(
                Ending.FAILED, f'answered {response.status} instead of the rest'
            )
        if response.status != OK or splitter is None:
            self._deliver_buffered(response, writer)
        else:
            self._deliver_stream(response, writer, splitter)
        return Outcome(Ending.DELIVERED)

    def _send(self) -> None:
        self._connection = BackendConnection(
            self._offer.address, connect_timeout_ms=CONNECT_TIMEOUT_MS
        )
        call = self._call
        headers = self._dialect.delegated_headers(
            call, call.remaining_ms(self._clock.monotonic_ms())
        )
        headers.extend(
            messages.request_headers(
                Delegation(
                    call.service_id,
                    runs=call.counted_runs - 1,
                    config_version=call.config_version,
                    lost_runs=call.lost_runs,
                )
            )
        )
        headers.append((b'content-length', str(len(call.body)).encode()))
        first_line = b'%b %b HTTP/1.1' % (call.head.method, call.head.target)
        self._connection.send(
            encode_head(first_line, headers) + call.body,
            expects_body=call.head.method != HEAD_METHOD,
        )

    def _read_failure(
        self, response: Response, failure: str, *, has_run: bool
    ) -> Outcome:
        # What has run can't be refused any more: another peer may have a place.
        is_refused = response.status == UNAVAILABLE
        if messages.may_go_elsewhere(response) or (has_run and is_refused):
            self._call.runs -= 1
            return Outcome(Ending.NOT_REACHED, failure)
        if response.status == BAD_GATEWAY and self._call.may_repeat:
            # It has run there, but may run once more elsewhere.
            return Outcome(Ending.UNKNOWN, failure)
        if response.status != UNAVAILABLE:
            raise GatewayFailureError(response.status, failure)
        self._call.runs -= 1
        retry_after_s = float(find_header(response.headers, RETRY_AFTER) or 0)
        raise GatewayFailureError(
            UNAVAILABLE, failure, retry_after_ms=retry_after_s * MS_PER_SECOND
        )

    def _has_run_before(self, writer: ResponseWriter) -> bool:
        return writer.has_begun or self._call.runs > 1

    def _is_rest_of_stream(self, response: Response) -> bool:
        media_type = find_header(response.headers, CONTENT_TYPE)
        return response.status == OK and media_type == self._call.stream_type

    def _deliver_buffered(self, response: Response, writer: ResponseWriter) -> None:
        read_part = partial(self._read_part, response)
        body = read_start(read_part)
        self._call.first_byte_ms = self._clock.monotonic_ms()
        if is_whole(response):
            writer.send_response(
                response.status, response.headers, body, response.reason
            )
            return
        self._call.is_partly_delivered = True
        deliver_in_parts(response, writer, body, read_part)

    def _deliver_stream(
        self, response: Response, writer: ResponseWriter, splitter: EventSplitter
    ) -> None:
        while True:
            part = self._read_part(response)
            if not part:
                break
            self._forward_part(response, writer, splitter, part)
        remainder = splitter.take_remainder()
        if writer.has_begun:
            writer.send_part(remainder)
        else:
            writer.begin(response.status, response.headers, response.reason, remainder)
        writer.finish()

    def _forward_part(
        self,
        response: Response,
        writer: ResponseWriter,
        splitter: EventSplitter,
        part: bytes,
    ) -> None:
        try:
            events = splitter.feed(part)
        except StreamOverheadError as error:
            raise BrokenExchangeError(str(error)) from error
        if not events:
            return
        call = self._call
        call.last_event_id = splitter.last_id or call.last_event_id
        if writer.has_begun:
            writer.send_part(events)
            return
        call.first_byte_ms = self._clock.monotonic_ms()
        call.stream_type = find_header(response.headers, CONTENT_TYPE)
        writer.begin(response.status, response.headers, response.reason, events)

    def _read_part(self, response: Response) -> bytes:
        return self._await(
            lambda timeout_ms: self._connection.read_more(response, timeout_ms)
        )

    def _await(self, read: Callable[[float], Received]) -> Received:
        """Read until the deadline, as long as the peer is alive."""
        while True:
            now_ms = self._clock.monotonic_ms()
            left_ms = self._call.remaining_ms(now_ms) + DEADLINE_GRACE_MS
            try:
                return read(min(left_ms, LIVENESS_INTERVAL_MS))
            except ServerTimeoutError:
                if left_ms <= LIVENESS_INTERVAL_MS:
                    raise
                if not self._is_live(self._offer.vm):
                    raise
