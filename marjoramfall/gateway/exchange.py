"""Carry one request to one backend server and its response back."""

from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    NotReachedError,
    SilentServerError,
)
from marjoramfall.gateway.call import Call
from marjoramfall.gateway.caller_connection import Reply
from marjoramfall.gateway.connection_pool import ConnectionPool
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.event_splitter import EventSplitter
from marjoramfall.gateway.http_messages import HEAD, Response
from marjoramfall.gateway.outcome import Ending, Outcome
from marjoramfall.gateway.server_speeds import US_PER_MS
from marjoramfall.gateway.service_queue import Place

FIRST_FAILURE = 400
FIRST_SERVER_ERROR_STATUS = 500
# A backend server answers itself at the deadline; that answer takes some time.
DEADLINE_GRACE_MS = 120.0
# A call that may repeat goes elsewhere after this multiple of the usual time.
PATIENCE_FACTOR = 4.0
MIN_PATIENCE_MS = 70.0
# A stream that may be resumed goes elsewhere after such a silence, if the
# server sent nothing on any other connection either.
STREAM_SILENCE_MS = 900.0
MIN_FIRST_SILENCE_MS = 600.0
FIRST_SILENCE_FACTOR = 3.0
MIN_GAPS_TO_LEARN = 3


@dataclass(slots=True)
class Timing:
    """Collect the times of one stream in monotonic milliseconds."""

    sent_ms: float
    pending_tokens: int = 0
    first_ms: float | None = None
    last_ms: float = 0.0
    events: int = 0

    def note(self, now_ms: float, events: int) -> None:
        """Note that events arrived."""
        if self.first_ms is None:
            self.first_ms = now_ms
        self.last_ms = now_ms
        self.events += events


class Exchange:
    """Send a call to the server of a place and deliver its response."""

    def __init__(
        self,
        call: Call,
        place: Place,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self._call = call
        self._place = place
        self._load = place.load
        self._server = place.load.server
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._connection: BackendConnection | None = None
        self._timing = Timing(clock.monotonic_ms())

    def run(
        self, reply: Reply, splitter: EventSplitter | None, *, may_move: bool
    ) -> Outcome:
        """Return how the exchange ended; `may_move` allows to go elsewhere."""
        try:
            return self._run(reply, splitter, may_move=may_move)
        except NotReachedError as error:
            self._load.on_unreachable(self._clock.monotonic_ms())
            return Outcome(Ending.NOT_REACHED, str(error))
        except SilentServerError as error:
            self._note_silence()
            return Outcome(Ending.UNKNOWN, str(error))
        except BrokenExchangeError as error:
            self._load.on_error()
            return Outcome(Ending.UNKNOWN, str(error))
        finally:
            if self._connection is not None:
                self._connection.close()

    def _run(
        self, reply: Reply, splitter: EventSplitter | None, *, may_move: bool
    ) -> Outcome:
        self._send()
        response = self._connection.read_response(
            self._first_limit_ms(may_move=may_move),
            self._dialect.expected_header(self._call),
        )
        self._load.heard_ms = self._clock.monotonic_ms()
        if self._dialect.was_rejected(response):
            return self._reject(response)
        self._call.runs += 1
        if response.status >= FIRST_FAILURE or splitter is None:
            return self._run_whole(response, reply, may_move=may_move)
        return self._run_stream(response, reply, splitter, may_move=may_move)

    def _send(self) -> None:
        now_ms = self._clock.monotonic_ms()
        message = self._dialect.encode_request(
            self._call, self._server, self._call.remaining_ms(now_ms)
        )
        expects_body = self._call.head.method != HEAD
        self._timing.pending_tokens = self._load.pending_tokens
        self._connection = self._acquire()
        try:
            self._connection.send(message, expects_body=expects_body)
        except NotReachedError:
            # The server closed the idle connection just now; a new one tells
            # whether it is reachable.
            self._connection.close()
            self._pool.close_idle(self._server.server_id)
            self._connection = self._acquire()
            self._connection.send(message, expects_body=expects_body)
        self._timing.sent_ms = self._clock.monotonic_ms()

    def _acquire(self) -> BackendConnection:
        return self._pool.acquire(self._server.server_id, self._server.address)

    def _reject(self, response: Response) -> Outcome:
        body = self._connection.read_all(response, self._limit_ms())
        self._release(response)
        if self._dialect.is_other_server(response):
            self._load.on_unreachable(self._clock.monotonic_ms())
        return Outcome(
            Ending.NOT_RUN, f'rejected with {response.status}', response, body
        )

    def _run_whole(
        self, response: Response, reply: Reply, *, may_move: bool
    ) -> Outcome:
        body = self._connection.read_all(response, self._limit_ms())
        now_ms = self._clock.monotonic_ms()
        self._release(response)
        if response.status >= FIRST_SERVER_ERROR_STATUS:
            self._load.on_error()
            if may_move:
                return Outcome(
                    Ending.FAILED, f'answered {response.status}', response, body
                )
        else:
            self._load.on_success(now_ms)
            if not self._load.is_model:
                self._load.speeds.learn_event(now_ms - self._timing.sent_ms)
        self._call.first_byte_ms = now_ms
        reply.send_whole(response.status, response.headers, body, response.reason)
        return Outcome(Ending.DELIVERED)

    def _run_stream(
        self,
        response: Response,
        reply: Reply,
        splitter: EventSplitter,
        *,
        may_move: bool,
    ) -> Outcome:
        while True:
            is_first = self._timing.first_ms is None
            part = self._read_part(response, is_first=is_first, may_move=may_move)
            if not part:
                break
            self._pass_on(response, reply, splitter, part)
        rest = splitter.take_rest()
        if reply.has_begun:
            reply.send_part(rest)
        else:
            reply.begin(response.status, response.headers, response.reason, rest)
        reply.finish()
        self._learn()
        self._release(response)
        return Outcome(Ending.DELIVERED)

    def _pass_on(
        self, response: Response, reply: Reply, splitter: EventSplitter, part: bytes
    ) -> None:
        before = splitter.count
        events = splitter.feed(part)
        now_ms = self._clock.monotonic_ms()
        self._load.heard_ms = now_ms
        if not events:
            return
        self._timing.note(now_ms, splitter.count - before)
        self._place.run.is_reading = False
        self._call.last_event_id = splitter.last_id or self._call.last_event_id
        if reply.has_begun:
            reply.send_part(events)
            return
        self._call.first_byte_ms = now_ms
        self._learn_first()
        reply.begin(response.status, response.headers, response.reason, events)

    def _read_part(
        self, response: Response, *, is_first: bool, may_move: bool
    ) -> bytes:
        """Return the next part, waiting on while the server is alive."""
        while True:
            silence_ms = self._silence_limit_ms(is_first=is_first)
            wait_ms = self._limit_ms()
            if may_move:
                wait_ms = min(wait_ms, silence_ms)
            try:
                return self._connection.read_more(response, wait_ms)
            except SilentServerError:
                quiet_ms = self._clock.monotonic_ms() - self._load.heard_ms
                if self._limit_ms() <= 0 or quiet_ms >= silence_ms:
                    raise

    def _silence_limit_ms(self, *, is_first: bool) -> float:
        if is_first:
            expected_ms = FIRST_SILENCE_FACTOR * self._load.first_ms(
                self._place.run.demand
            )
            return max(MIN_FIRST_SILENCE_MS, expected_ms)
        return STREAM_SILENCE_MS

    def _first_limit_ms(self, *, may_move: bool) -> float:
        limit_ms = self._limit_ms()
        if not may_move:
            return limit_ms
        if self._load.is_model:
            return min(limit_ms, self._silence_limit_ms(is_first=True))
        usual_ms = self._load.first_ms(self._place.run.demand)
        return min(limit_ms, max(MIN_PATIENCE_MS, PATIENCE_FACTOR * usual_ms))

    def _limit_ms(self) -> float:
        return self._call.remaining_ms(self._clock.monotonic_ms()) + DEADLINE_GRACE_MS

    def _release(self, response: Response) -> None:
        connection = self._connection
        if connection.finish(response, self._clock.monotonic_ms()):
            self._connection = None
            self._pool.release(self._server.server_id, connection)

    def _learn_first(self) -> None:
        demand = self._place.run.demand
        tokens = demand.prompt_tokens + self._timing.pending_tokens
        taken_ms = (
            self._timing.first_ms
            - self._timing.sent_ms
            - self._load.speeds.own.event_ms
        )
        if tokens > 0 and taken_ms > 0:
            self._load.speeds.learn_token(taken_ms / tokens * US_PER_MS)
        self._load.on_success(self._timing.first_ms)

    def _learn(self) -> None:
        timing = self._timing
        if timing.first_ms is not None and timing.events > MIN_GAPS_TO_LEARN:
            gap_ms = (timing.last_ms - timing.first_ms) / (timing.events - 1)
            self._load.speeds.learn_event(gap_ms)
        self._load.on_success(self._clock.monotonic_ms())

    def _note_silence(self) -> None:
        now_ms = self._clock.monotonic_ms()
        # A server that answers others is slow with this request only.
        if now_ms - self._load.heard_ms > STREAM_SILENCE_MS:
            self._load.on_unreachable(now_ms)
            self._pool.close_idle(self._server.server_id)
        else:
            self._load.on_error()
