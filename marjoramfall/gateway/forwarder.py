"""Place an admitted request, forward it and retry it if allowed."""

from contextlib import ExitStack

from gevent import Timeout
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.call_failover import CallFailover
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.callers.response_writer import ResponseWriter
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.delegation.delegates import MAX_UNREACHED_SERVERS
from marjoramfall.gateway.delegation.exchange import DelegatedExchange
from marjoramfall.gateway.delegation.offers import DelegateOffer
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.http_messages import HEAD_METHOD
from marjoramfall.gateway.lost_runs import LostRuns
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.place_finder import PlaceFinder
from marjoramfall.gateway.retry_wait import RetryWait
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.demand import give_up_ms
from marjoramfall.gateway.servers.event_splitter import EventSplitter
from marjoramfall.gateway.servers.exchange import FIRST_ERROR_STATUS, Exchange
from marjoramfall.gateway.servers.outcome import Ending, GatewayFailureError, Outcome
from marjoramfall.gateway.servers.overload import (
    NoServerError,
    OverloadError,
    PathLostError,
)
from marjoramfall.gateway.servers.running_exchanges import RunningExchanges
from marjoramfall.gateway.servers.service_queue import Assignment, ServiceQueue
from marjoramfall.gateway.stream_moves import StreamMoves

# A request that servers reject without running it is sent at most this many times
# more than the route's `max_attempts`.
MAX_REJECTED_SENDS = 3
# The same for a begun stream, which can't be refused any more.
MAX_REJECTED_SENDS_OF_BEGUN = 12
# After all peers that were asked have refused to go on with a stream.
DELEGATION_PAUSE_MS = 200.0
# Retry-After if all servers are full; slots become free as requests end.
OVERLOAD_RETRY_AFTER_MS = 150.0
# Bounds the log line of a request with many prompt parts.
MAX_LOGGED_PARTS = 8
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Forwarder:
    """Place calls on backend servers, forward them and retry failures."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        quarantine: CrashQuarantine,
        dialect: Dialect,
        clock: Clock,
        *,
        metrics: GatewayMetrics | None = None,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._quarantine = quarantine
        self.moves = StreamMoves(fleet, pool, dialect, clock, metrics)
        self._delegates = fleet.delegates
        self._retry_wait = RetryWait(fleet.retries, clock)
        self._dialect = dialect
        self._clock = clock
        self._places = PlaceFinder(fleet, clock)
        self._lost_runs = LostRuns(pool, clock)
        self._running = RunningExchanges(quarantine.is_refused)
        quarantine.on_new_cause = self._running.break_off_refused

    def forward(self, call: Call, writer: ResponseWriter) -> str:
        """Deliver a response and return how the call ended, for log and metrics.

        Raises `GatewayFailureError` if no response was begun.
        """
        is_stream = call.route.is_stream and call.head.method != HEAD_METHOD
        splitter = EventSplitter() if is_stream else None
        failover = CallFailover(call, self._fleet, self._delegates, self._clock)
        with ExitStack() as stack:
            stack.callback(self.moves.end, call)
            stack.callback(failover.cancel)
            return self._forward(call, writer, splitter, failover)

    def _forward(
        self,
        call: Call,
        writer: ResponseWriter,
        splitter: EventSplitter | None,
        failover: CallFailover,
    ) -> str:
        while True:
            offer = None if failover.has_place else self._choose_peer(call)
            if offer is None:
                outcome = self._serve_here(call, writer, splitter, failover)
            else:
                outcome = self._delegate(call, offer, writer, splitter)
            if outcome.ending is Ending.DELIVERED:
                return outcome.ending
            if splitter is not None:
                splitter.discard_partial_event()
            if not failover.take_move() and not self._should_retry(call, outcome):
                return self._finish_failed(call, writer, outcome)

    def _serve_here(
        self,
        call: Call,
        writer: ResponseWriter,
        splitter: EventSplitter | None,
        failover: CallFailover,
    ) -> Outcome:
        try:
            assignment = self._acquire_checked(call, failover)
        except PathLostError as error:
            return Outcome(Ending.NOT_REACHED, str(error))
        failover.begin(assignment)
        outcome = self._exchange(call, assignment, writer, splitter, failover)
        if outcome.ending is Ending.DELIVERED:
            self._record_served(call, writer)
            return outcome
        self.moves.try_go_on(call, outcome, failover)
        if outcome.is_moved:
            return outcome
        self._lost_runs.on_outcome(call, assignment.load, outcome)
        self._log_failure(call, assignment, outcome)
        self._record_crash(call, assignment, outcome)
        call.exclude(assignment.load.server.server_id)
        return outcome

    def _delegate(
        self,
        call: Call,
        offer: DelegateOffer,
        writer: ResponseWriter,
        splitter: EventSplitter | None,
    ) -> Outcome:
        self._quarantine.check(call)
        call.tried_delegates.add(offer.vm)
        log = logger.bind(
            request=call.fields.attempt_id, service=call.service_id, peer=offer.vm
        )
        log.bind(
            is_path_lost=self._fleet.paths.is_lost(call.service_id),
            unreached_servers=call.unreached_servers,
            runs=call.runs,
        ).info('request delegated to a peer')
        exchange = DelegatedExchange(
            call, offer, self._dialect, self._clock, is_live=self._delegates.is_live
        )
        outcome = exchange.run(writer, splitter)
        if outcome.ending is not Ending.DELIVERED:
            log.bind(ending=outcome.ending.value, reason=outcome.reason).warning(
                'delegated request failed'
            )
        return outcome

    def _choose_peer(self, call: Call) -> DelegateOffer | None:
        """Return the peer to send a request to, None to serve it here.

        What has run and only a peer can go on with is not ended as all that were
        asked have no slot: its caller leaves once it has waited too long. Nor does it
        spend its attempts on a lost path.
        """
        offer = self._delegates.choose(call)
        while offer is None and self._needs_peer(call):
            call.tried_delegates.clear()
            self._clock.sleep_ms(DELEGATION_PAUSE_MS)
            offer = self._delegates.choose(call)
        return offer

    def _needs_peer(self, call: Call) -> bool:
        has_time = self._clock.monotonic_ms() < give_up_ms(call)
        return (
            call.has_run
            and has_time
            and not call.may_be_given_back
            and self._fleet.paths.is_lost(call.service_id)
        )

    def _check_path(self, call: Call) -> None:
        """Raise `GatewayFailureError` if the request should go to another entry."""
        is_lost = self._fleet.paths.is_lost(call.service_id)
        if call.may_be_given_back:
            is_unreached = call.unreached_servers >= MAX_UNREACHED_SERVERS
            if is_lost or is_unreached:
                raise self._rejection(
                    call, 'no path', OVERLOAD_RETRY_AFTER_MS, is_elsewhere=True
                )
        elif is_lost and call.tried_delegates:
            raise self._rejection(call, 'no path', OVERLOAD_RETRY_AFTER_MS)

    def _exchange(
        self,
        call: Call,
        assignment: Assignment,
        writer: ResponseWriter,
        splitter: EventSplitter | None,
        failover: CallFailover,
    ) -> Outcome:
        exchange = Exchange(
            call,
            assignment,
            self._pool,
            self._fleet.server_limits,
            self._fleet.server_notices,
            failover,
            self._dialect,
            self._clock,
        )
        releasing = self._fleet.releasing(assignment)
        moving = self.moves.including(call, exchange, splitter)
        with releasing, moving, self._running.including(call, exchange):
            outcome = exchange.run(writer, splitter)
        if outcome.ending is Ending.NOT_REACHED:
            call.unreached_servers += 1
        else:
            self._count_send(call, assignment)
        self._fleet.on_outcome(call, assignment, outcome, status=writer.status)
        return outcome

    def _count_send(self, call: Call, assignment: Assignment) -> None:
        if not call.sends:
            # The entry whose servers get the request counts it for their budget.
            self._fleet.retries.on_request(call)
        call.sends += 1
        call.sends_away += not assignment.load.distance.is_local

    def _record_served(self, call: Call, writer: ResponseWriter) -> None:
        if writer.status < FIRST_ERROR_STATUS:
            self._quarantine.on_served(call)

    def _record_crash(
        self, call: Call, assignment: Assignment, outcome: Outcome
    ) -> None:
        if not outcome.lost_at_start:
            return
        server = assignment.load.server
        is_refused = self._pool.is_refused(server.server_id, server.address)
        if is_refused and self._fleet.paths.reaches_another(server):
            self._quarantine.on_crash(call, server)

    def _acquire_checked(self, call: Call, failover: CallFailover) -> Assignment:
        """Acquire a server for a request whose prompt may be sent.

        Checked again after the wait, as servers may have crashed meanwhile.
        """
        assignment = failover.take_place() if failover.has_place else None
        while assignment is None or self._is_revoked(call, assignment):
            self._check_path(call)
            self._quarantine.check(call)
            assignment = self._acquire(call)
        try:
            self._quarantine.check(call)
        except GatewayFailureError:
            self._fleet.finish(assignment)
            raise
        return assignment

    def _is_revoked(self, call: Call, assignment: Assignment) -> bool:
        """Give a place back that a rule excludes since it was assigned."""
        rule = self._fleet.revoked_by(assignment)
        if rule is None:
            return False
        now_ms = self._clock.monotonic_ms()
        logger.bind(
            request=call.fields.attempt_id,
            server=assignment.load.server.server_id,
            data_centre=assignment.load.server.data_centre,
            reason=rule,
            assigned_ms_ago=round(now_ms - assignment.request.started_ms),
        ).info('place given back')
        self._fleet.finish(assignment)
        return True

    def _acquire(self, call: Call) -> Assignment:
        try:
            return self._places.find(call)
        except Timeout as error:
            raise self._rejection(
                call, 'no place in time', OVERLOAD_RETRY_AFTER_MS
            ) from error
        except PathLostError:
            raise
        except OverloadError as error:
            self._log_overload(call, self._fleet.queue(call.service_id), error)
            raise self._rejection(
                call,
                str(error),
                error.retry_after_ms,
                is_elsewhere=isinstance(error, NoServerError),
            ) from error

    def _rejection(
        self,
        call: Call,
        reason: str,
        retry_after_ms: float,
        *,
        is_elsewhere: bool = False,
    ) -> GatewayFailureError:
        # A 503 states that the request did not run.
        if call.runs or call.first_byte_ms is not None:
            return GatewayFailureError(BAD_GATEWAY, reason)
        return GatewayFailureError(
            UNAVAILABLE,
            reason,
            retry_after_ms=retry_after_ms,
            is_elsewhere=is_elsewhere,
        )

    def _should_retry(self, call: Call, outcome: Outcome) -> bool:
        now_ms = self._clock.monotonic_ms()
        if call.remaining_ms(now_ms) <= 0:
            return False
        if call.is_begun_stream and not call.may_repeat:
            # What has not run is only the rest of a stream that has.
            return False
        if outcome.ending is Ending.NOT_REACHED:
            # No server received it, so it counts neither as a run nor as a retry.
            return True
        if outcome.ending is Ending.NOT_RUN:
            allowed = call.sends < call.route.max_attempts + _max_rejected_sends(call)
        else:
            allowed = call.may_repeat and call.attempts_left > 0
        return allowed and self._retry_wait.try_retry(call, outcome)

    def _finish_failed(
        self, call: Call, writer: ResponseWriter, outcome: Outcome
    ) -> str:
        if writer.has_begun:
            return 'broken'
        if outcome.response is not None:
            headers = outcome.response.headers
            writer.send_response(
                outcome.response.status, headers, outcome.body, outcome.response.reason
            )
            return 'failure_passed_on'
        if outcome.ending.guarantees_not_run and not call.runs:
            raise GatewayFailureError(
                UNAVAILABLE, outcome.reason, retry_after_ms=OVERLOAD_RETRY_AFTER_MS
            )
        if call.remaining_ms(self._clock.monotonic_ms()) <= 0:
            raise GatewayFailureError(GATEWAY_TIMEOUT, 'no response in time')
        raise GatewayFailureError(BAD_GATEWAY, outcome.reason)

    def _log_overload(
        self, call: Call, queue: ServiceQueue, error: OverloadError
    ) -> None:
        logger.bind(
            request=call.fields.attempt_id,
            service=call.service_id,
            priority=call.priority,
            reason=str(error),
            waiting=len(queue.waiters),
            occupancy=round(queue.occupancy(), 2),
            expected_wait_ms=round(error.expected_wait_ms),
            retry_after_ms=round(error.retry_after_ms),
            left_ms=round(call.remaining_ms(self._clock.monotonic_ms())),
            attempts_left=call.attempts_left,
            excluded_servers=len(call.excluded_server_ids),
            is_begun=call.is_begun_stream,
            has_returned=call.has_returned,
            is_delegated=call.is_delegated,
            peers_heard=self._fleet.live_peer_count(),
        ).warning('request not assigned')

    def _log_failure(
        self, call: Call, assignment: Assignment, outcome: Outcome
    ) -> None:
        logger.bind(
            request=call.fields.attempt_id,
            server=assignment.load.server.server_id,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.runs,
            lost_runs=call.lost_runs,
            sends=call.sends,
            attempts_left=call.attempts_left,
            left_ms=round(call.remaining_ms(self._clock.monotonic_ms())),
            has_events=call.first_byte_ms is not None,
            shared_parts=call.fields.shared_part_ids[:MAX_LOGGED_PARTS],
            own_part=call.fields.own_part_id,
            fingerprint=call.fingerprint,
        ).warning('exchange failed')


def _max_rejected_sends(call: Call) -> int:
    return MAX_REJECTED_SENDS_OF_BEGUN if call.is_begun_stream else MAX_REJECTED_SENDS
