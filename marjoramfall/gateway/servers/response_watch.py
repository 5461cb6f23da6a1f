"""Wait for a response as long as its request has no better place."""

from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.http_messages import Response
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    ServerTimeoutError,
)
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.failover import Failover
from marjoramfall.gateway.servers.host_probe import HostProbe
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.servers.stream_timing import StreamTiming

# A backend server sends its own error at the deadline; this leaves time for it.
DEADLINE_GRACE_MS = 120.0
# A call that may repeat looks for another place after this multiple of the expected
# time.
RESPONSE_TIMEOUT_FACTOR = 4.0
MIN_RESPONSE_TIMEOUT_MS = 70.0
# A stream that may be resumed looks for another place if it receives nothing for this
# long and the server has not responded to any other request in that time either.
STREAM_IDLE_TIMEOUT_MS = 900.0
# A sound server under load pauses for longer than the gap that the route allows.
STREAM_IDLE_GAP_FACTOR = 3.0
MIN_FIRST_EVENT_TIMEOUT_MS = 600.0
# A sound model server may pause for about a second and go on, also with requests
# whose connection has closed: two servers would then work on one of them.
SOUND_PAUSE_MS = 1500.0
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
# How often a search for another place is looked at while the server is silent.
SEARCH_INTERVAL_MS = 20.0

Received = TypeVar('Received', Response, bytes)


class ResponseWatch:
    """Read a response until its server is silent and another place is reserved.

    Silence alone ends nothing: the server may go on before there is a better place.
    """

    def __init__(
        self,
        call: Call,
        assignment: Assignment,
        timing: StreamTiming,
        pool: ConnectionPool,
        failover: Failover,
        clock: Clock,
    ) -> None:
        self._call = call
        self._load = assignment.load
        self._demand = assignment.request.demand
        self._timing = timing
        self._pool = pool
        self._failover = failover
        self._clock = clock
        self._is_silent = False
        self._probe = HostProbe(pool, self._load.server)

    def read_head(
        self, connection: BackendConnection, read: Callable[[float], Response]
    ) -> Response:
        """Return the response once its head is complete.

        Raises `BrokenExchangeError`, of which `ServerTimeoutError` if another place
        is reserved or the deadline has passed.
        """
        return self._read(connection, read, self._head_time_left_ms)

    def read_part(
        self, connection: BackendConnection, read: Callable[[float], bytes]
    ) -> bytes:
        """Return the next part of the body of a stream.

        Only complete events count as progress: a part of one does not extend the
        timeout, while events of other requests of the server do. Raises like
        `read_head`.
        """
        return self._read(connection, read, self._part_time_left_ms)

    def deadline_timeout_ms(self) -> float:
        """Return how long the server's own error at the deadline is waited for."""
        return self._call.remaining_ms(self._clock.monotonic_ms()) + DEADLINE_GRACE_MS

    def _read(
        self,
        connection: BackendConnection,
        read: Callable[[float], Received],
        time_left_ms: Callable[[], float],
    ) -> Received:
        while True:
            wait_ms = self.deadline_timeout_ms()
            is_last = True
            if self._failover.is_allowed:
                left_ms = time_left_ms()
                self._check_silence(connection, left_ms)
                is_last = wait_ms <= max(left_ms, SEARCH_INTERVAL_MS)
                wait_ms = min(wait_ms, max(left_ms, SEARCH_INTERVAL_MS))
            try:
                return read(wait_ms)
            except ServerTimeoutError as error:
                if is_last or error.is_lost:
                    raise

    def _check_silence(self, connection: BackendConnection, left_ms: float) -> None:
        """Raise `ServerTimeoutError` if the silent server can be left.

        `left_ms` is the time until the server counts as silent, negative after it.
        """
        if left_ms > 0:
            if self._is_silent:
                self._is_silent = False
                self._failover.cancel()
            return
        if not self._is_silent and self._failover.is_possible():
            self._is_silent = True
            self._record_silence()
            if self._load.is_model:
                self._probe.start()
        if self._is_silent and self._may_leave(left_ms) and self._failover.reserve():
            is_reached = not self._probe.has_failed()
            raise ServerTimeoutError(
                f'{self._load.server.server_id} made no progress',
                was_received=is_reached and connection.was_received(),
            )

    def _may_leave(self, left_ms: float) -> bool:
        """Return whether the silent server does more than pause."""
        if not self._load.is_model or self._probe.has_failed():
            return True
        silent_ms = self._stream_timeout_ms() - left_ms
        return silent_ms >= SOUND_PAUSE_MS

    def _record_silence(self) -> None:
        now_ms = self._clock.monotonic_ms()
        response_age_ms = now_ms - self._load.last_response_ms
        logger.bind(
            request=self._call.fields.attempt_id,
            server=self._load.server.server_id,
            silent_ms=round(now_ms - self._timing.progress_ms),
            response_age_ms=round(response_age_ms),
            has_events=self._timing.first_event_ms is not None,
        ).info('server is silent: looking for another place')
        # A server that answers other requests is slow with this one only.
        if response_age_ms > STREAM_IDLE_TIMEOUT_MS:
            self._load.on_unreachable(now_ms)
            self._pool.close_idle(self._load.server.server_id)
        else:
            self._load.on_error()

    def _head_time_left_ms(self) -> float:
        elapsed_ms = self._clock.monotonic_ms() - self._timing.sent_ms
        if self._load.is_model:
            return self._stream_timeout_ms() - elapsed_ms
        expected_ms = self._load.first_response_ms(self._demand)
        timeout_ms = max(MIN_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_FACTOR * expected_ms)
        return timeout_ms - elapsed_ms

    def _part_time_left_ms(self) -> float:
        progress_ms = max(self._timing.progress_ms, self._load.last_response_ms)
        return progress_ms + self._stream_timeout_ms() - self._clock.monotonic_ms()

    def _stream_timeout_ms(self) -> float:
        if self._timing.first_event_ms is None:
            expected_ms = FIRST_EVENT_TIMEOUT_FACTOR * self._load.first_response_ms(
                self._demand
            )
            return max(MIN_FIRST_EVENT_TIMEOUT_MS, expected_ms)
        longest_gap_ms = STREAM_IDLE_GAP_FACTOR * self._call.route.max_gap_ms
        return max(STREAM_IDLE_TIMEOUT_MS, longest_gap_ms)
