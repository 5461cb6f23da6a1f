"""Send a request to one backend server and deliver its response."""

from functools import partial

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.callers.response_writer import ResponseWriter
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.http_messages import HEAD_METHOD, Response, find_header
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    ConnectionLostError,
    NotReachedError,
    ServerTimeoutError,
)
from marjoramfall.gateway.servers.body_delivery import (
    deliver_in_parts,
    is_whole,
    read_start,
)
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.event_splitter import (
    EventSplitter,
    StreamOverheadError,
)
from marjoramfall.gateway.servers.failover import Failover
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from marjoramfall.gateway.servers.response_watch import ResponseWatch
from marjoramfall.gateway.servers.run_handover import RunHandover
from marjoramfall.gateway.servers.server_limits import ServerLimits
from marjoramfall.gateway.servers.server_notices import ServerNotices
from marjoramfall.gateway.servers.server_speeds import US_PER_MS
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.servers.stream_timing import StreamTiming

OK = 200
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
CONTENT_TYPE = b'content-type'
# A server that dies of a response may have sent its first event.
RESPONSE_START_MS = 250.0


class Exchange:
    """Send a call to the server it was assigned to and deliver the response."""

    def __init__(
        self,
        call: Call,
        assignment: Assignment,
        pool: ConnectionPool,
        server_limits: ServerLimits,
        server_notices: ServerNotices,
        failover: Failover,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self._call = call
        self._assignment = assignment
        self.load = assignment.load
        self._server = assignment.load.server
        self._pool = pool
        self._server_limits = server_limits
        self._server_notices = server_notices
        self._dialect = dialect
        self._clock = clock
        self._connection: BackendConnection | None = None
        self._is_answered = False
        self._is_broken_off = False
        self.timing = StreamTiming(clock.monotonic_ms())
        self._failover = failover
        self._watch = ResponseWatch(
            call, assignment, self.timing, pool, failover, clock
        )
        # Set while the run is to move, and on the exchange with which it goes on.
        self.handover: RunHandover | None = None
        self.resumed: RunHandover | None = None
        # A run that goes on from a copy is the same run.
        self._added_runs = 0 if call.resume_from else 1

    def run(self, writer: ResponseWriter, splitter: EventSplitter | None) -> Outcome:
        """Return how the exchange ended.

        A slow or failing server is left early if the call has another place.
        """
        # Counted before it is known to have run, and taken back where it has not.
        self._call.runs += self._added_runs
        try:
            return self._run(writer, splitter)
        except NotReachedError as error:
            self._call.runs -= self._added_runs
            self.load.on_unreachable(self._clock.monotonic_ms())
            return Outcome(Ending.NOT_REACHED, str(error))
        except ServerTimeoutError as error:
            return Outcome(
                Ending.UNKNOWN,
                str(error),
                is_server_fault=error.was_received,
                is_timeout=True,
            )
        except BrokenExchangeError as error:
            if self._is_broken_off:
                return Outcome(Ending.UNKNOWN, 'broken off', is_broken_off=True)
            if self._has_stopped_to_move():
                self.load.on_success(self._clock.monotonic_ms())
                return Outcome(
                    Ending.UNKNOWN, 'moved', is_broken_off=True, is_moved=True
                )
            self.load.on_error()
            is_lost = isinstance(error, ConnectionLostError)
            return Outcome(
                Ending.UNKNOWN,
                str(error),
                lost_at_start=is_lost and self._is_at_start(),
                is_server_fault=not is_lost,
                is_connection_lost=is_lost,
            )
        finally:
            self._record_gap(self.timing.take_sample())
            if self._connection is not None:
                self._connection.close()

    def break_off(self) -> bool:
        """End an exchange without a response yet; return whether it was such a one."""
        is_answered = self._is_answered or self.timing.first_event_ms is not None
        if self._connection is None or is_answered:
            return False
        self._is_broken_off = True
        self._connection.close()
        return True

    def stop_reading(self) -> None:
        """End the exchange of a run that has stopped to move."""
        if self._connection is not None:
            self._connection.close()

    def _run(self, writer: ResponseWriter, splitter: EventSplitter | None) -> Outcome:
        if self._call.remaining_ms(self._clock.monotonic_ms()) <= 0:
            # The process may have been paused since the request was assigned.
            self._call.runs -= self._added_runs
            return Outcome(Ending.NOT_RUN, 'the deadline passed before it was sent')
        self._send()
        expected = self._dialect.expected_header(self._call)
        response = self._watch.read_head(
            self._connection,
            partial(self._connection.read_response, expected=expected),
        )
        self.load.last_response_ms = self._clock.monotonic_ms()
        self._read_notices(response)
        if self._dialect.was_rejected(response):
            self._call.runs -= self._added_runs
            return self._read_rejection(response)
        if writer.has_begun and not self._is_rest_of_stream(response):
            self.load.on_error()
            return Outcome(
                Ending.FAILED, f'answered {response.status} instead of the rest'
            )
        if self.resumed is not None:
            self.resumed.is_used = True
        if response.status != OK or splitter is None:
            return self._deliver_buffered(response, writer)
        return self._deliver_stream(response, writer, splitter)

    def _read_notices(self, response: Response) -> None:
        attempt_id = self._call.fields.attempt_id
        self._server_limits.on_response(
            self.load,
            self._dialect.read_rate_limit(response),
            attempt_id=attempt_id,
        )
        self._server_notices.on_response(
            self.load,
            self._dialect.read_notice(response),
            attempt_id=attempt_id,
        )

    def _is_rest_of_stream(self, response: Response) -> bool:
        media_type = find_header(response.headers, CONTENT_TYPE)
        return response.status == OK and media_type == self._call.stream_type

    def _has_stopped_to_move(self) -> bool:
        if self.handover is None:
            return False
        return self.handover.await_stop(self.timing.last_event_ms)

    def _may_have_stopped(self) -> bool:
        """Return whether a call may have stopped the run though none has said so."""
        return self.handover is not None and self.handover.may_have_stopped

    def _is_at_start(self) -> bool:
        first_event_ms = self.timing.first_event_ms
        if first_event_ms is None:
            return True
        return self._clock.monotonic_ms() - first_event_ms < RESPONSE_START_MS

    def _send(self) -> None:
        now_ms = self._clock.monotonic_ms()
        message = self._dialect.encode_request(
            self._call, self._server, self._call.remaining_ms(now_ms)
        )
        expects_body = self._call.head.method != HEAD_METHOD
        self.timing.pending_prefill_tokens = self.load.pending_prefill_tokens
        self._connection = self._acquire()
        try:
            self._connection.send(message, expects_body=expects_body)
        except NotReachedError:
            # The server may just have closed the idle connection; a new one shows
            # whether it is reachable.
            self._connection.close()
            self._pool.close_idle(self._server.server_id)
            self._connection = self._acquire()
            self._connection.send(message, expects_body=expects_body)
        self.timing.sent_ms = self._clock.monotonic_ms()

    def _acquire(self) -> BackendConnection:
        return self._pool.acquire(self._server.server_id, self._server.address)

    def _read_rejection(self, response: Response) -> Outcome:
        body = self._connection.read_all(response, self._watch.deadline_timeout_ms())
        self._release(response)
        if self._dialect.is_other_server(response):
            self.load.on_unreachable(self._clock.monotonic_ms())
        return Outcome(
            Ending.NOT_RUN, f'rejected with {response.status}', response, body
        )

    def _deliver_buffered(self, response: Response, writer: ResponseWriter) -> Outcome:
        self._is_answered = True
        body = read_start(partial(self._read_body_part, response))
        if not is_whole(response):
            return self._deliver_large(response, writer, body)
        now_ms = self._clock.monotonic_ms()
        self._release(response)
        self._record_status(response, now_ms)
        if self._may_be_better_elsewhere(response):
            return Outcome(Ending.FAILED, f'answered {response.status}', response, body)
        self._call.first_byte_ms = now_ms
        writer.send_response(response.status, response.headers, body, response.reason)
        return Outcome(Ending.DELIVERED)

    def _deliver_large(
        self, response: Response, writer: ResponseWriter, start: bytes
    ) -> Outcome:
        now_ms = self._clock.monotonic_ms()
        self._record_status(response, now_ms)
        if self._may_be_better_elsewhere(response):
            return Outcome(Ending.FAILED, f'answered {response.status}')
        self._call.first_byte_ms = now_ms
        self._call.is_partly_delivered = True
        deliver_in_parts(
            response, writer, start, partial(self._read_body_part, response)
        )
        self._release(response)
        return Outcome(Ending.DELIVERED)

    def _read_body_part(self, response: Response) -> bytes:
        return self._connection.read_more(response, self._watch.deadline_timeout_ms())

    def _record_status(self, response: Response, now_ms: float) -> None:
        if response.status >= FIRST_SERVER_ERROR_STATUS:
            self.load.on_error()
            return
        self.load.on_success(now_ms)
        if not self.load.is_model:
            # Without a model, the speed of a server is its response time.
            self.load.speeds.add_event_sample(now_ms - self.timing.sent_ms)

    def _may_be_better_elsewhere(self, response: Response) -> bool:
        is_failure = response.status >= FIRST_SERVER_ERROR_STATUS
        return is_failure and self._failover.is_possible()

    def _deliver_stream(
        self, response: Response, writer: ResponseWriter, splitter: EventSplitter
    ) -> Outcome:
        read = partial(self._connection.read_more, response)
        while True:
            part = self._watch.read_part(self._connection, read)
            if not part:
                break
            self._forward_part(response, writer, splitter, part)
        remainder = splitter.take_remainder()
        if response.ends_with_connection:
            self._check_end(remainder)
        if writer.has_begun:
            writer.send_part(remainder)
        else:
            writer.begin(response.status, response.headers, response.reason, remainder)
        writer.finish()
        self.load.on_success(self._clock.monotonic_ms())
        self._release(response)
        return Outcome(Ending.DELIVERED)

    def _check_end(self, remainder: bytes) -> None:
        """Raise `ConnectionLostError` if the stream ended too early.

        Only its last event shows that a stream without length or chunks is whole.
        """
        if remainder:
            raise ConnectionLostError('the connection ended within an event')
        if self.timing.event_count == 0 and self._call.last_event_id is None:
            raise ConnectionLostError('the connection ended before the first event')
        if self._has_stopped_to_move() or self._may_have_stopped():
            raise ConnectionLostError('the connection ended as the run has stopped')

    def _forward_part(
        self,
        response: Response,
        writer: ResponseWriter,
        splitter: EventSplitter,
        part: bytes,
    ) -> None:
        previous_count = splitter.event_count
        try:
            events = splitter.feed(part)
        except StreamOverheadError as error:
            raise BrokenExchangeError(str(error)) from error
        if not events:
            return
        now_ms = self._clock.monotonic_ms()
        self.load.last_response_ms = now_ms
        event_count = splitter.event_count - previous_count
        self.timing.record_events(now_ms, event_count)
        self._record_gap(self.timing.take_due_sample())
        self._assignment.request.on_events(event_count)
        self._call.last_event_id = splitter.last_id or self._call.last_event_id
        if self.resumed is not None:
            self.resumed.on_event(now_ms)
        if writer.has_begun:
            writer.send_part(events)
            return
        self._call.first_byte_ms = now_ms
        self._call.stream_type = find_header(response.headers, CONTENT_TYPE)
        self._record_first_event()
        writer.begin(response.status, response.headers, response.reason, events)

    def _release(self, response: Response) -> None:
        connection = self._connection
        if connection.finish(response, self._clock.monotonic_ms()):
            self._connection = None
            self._pool.release(self._server.server_id, connection)

    def _record_first_event(self) -> None:
        demand = self._assignment.request.demand
        tokens = demand.prompt_tokens + self.timing.pending_prefill_tokens
        prompt_ms = (
            self.timing.first_event_ms
            - self.timing.sent_ms
            - self.load.speeds.own.event_ms
        )
        if tokens > 0 and prompt_ms > 0:
            self.load.speeds.add_token_sample(prompt_ms / tokens * US_PER_MS)
        self.load.on_success(self.timing.first_event_ms)

    def _record_gap(self, gap_ms: float | None) -> None:
        if gap_ms is not None:
            self.load.speeds.add_event_sample(gap_ms)
