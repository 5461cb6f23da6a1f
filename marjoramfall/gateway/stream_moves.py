"""Move running streams to faster servers."""

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from gevent import spawn
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.call_failover import CallFailover
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.running_streams import RunningStreams, TrackedStream
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.copy_messages import (
    CopyEnding,
    CopyOrder,
    CopyResult,
)
from marjoramfall.gateway.servers.demand import Demand, build_demand
from marjoramfall.gateway.servers.event_splitter import EventSplitter
from marjoramfall.gateway.servers.exchange import Exchange
from marjoramfall.gateway.servers.outcome import Outcome
from marjoramfall.gateway.servers.run_copies import RunCopies
from marjoramfall.gateway.servers.run_handover import Phase, RunHandover
from marjoramfall.gateway.servers.run_moves import (
    RunMove,
    RunMovePolicy,
    RunningStream,
)
from marjoramfall.gateway.servers.server_load import RunningRequest, ServerLoad
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.servers.spare_servers import reserve, spare_loads
from marjoramfall.gateway.versions.version_moves import ANY_VERSION

LOOK_INTERVAL_MS = 500.0
# A stopped run has sent all events; its stream is waited for no longer than this.
STREAM_END_WAIT_MS = 250.0
# A call to stop a run whose answer is lost is repeated: only its handle lets the run
# go on.
STOP_TRIES = 3
STOP_PAUSE_MS = 50.0
# The exchange at the source waits for 6 s for what these calls say.
MAX_STOP_CALLS_MS = 2500.0
UNCERTAIN = frozenset((CopyEnding.LOST, CopyEnding.BUSY, CopyEnding.NOT_REACHED))


class StreamMoves:
    """Begin moves, carry them out and clean up behind them."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
        metrics: GatewayMetrics | None = None,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._copies = RunCopies(dialect)
        self._policy = RunMovePolicy()
        self._running = RunningStreams(fleet, clock)
        self._handover_by_call: dict[int, RunHandover] = {}
        self._looked_ms = 0.0

    @contextmanager
    def including(
        self, call: Call, exchange: Exchange, splitter: EventSplitter | None
    ) -> Iterator[None]:
        """Consider the stream of an exchange during the block."""
        handover = self._handover_by_call.get(id(call))
        if handover is not None and handover.phase is Phase.GOING_ON:
            exchange.resumed = handover
        if splitter is None:
            yield
            return
        with self._running.including(call, exchange, splitter):
            yield

    def look(self) -> None:
        """Begin the moves that are due, if the last look is long enough ago."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._looked_ms < LOOK_INTERVAL_MS:
            return
        self._looked_ms = now_ms
        for service, tracked_by_id in self._running.movable(now_ms):
            streams = [tracked.view for tracked in tracked_by_id.values()]
            moves = self._policy.choose(
                streams,
                service,
                self._under_way(),
                partial(self._destinations, tracked_by_id),
                now_ms,
            )
            for move in moves:
                self._begin(tracked_by_id[move.stream.request_id], move)

    def try_go_on(self, call: Call, outcome: Outcome, failover: CallFailover) -> bool:
        """Return whether a stream whose exchange has ended goes on by its move.

        Its next place is held then: that at the destination, or one at the source if
        the destination did not take the copy.
        """
        call.resume_from = ''
        handover = self._handover_by_call.get(id(call))
        if handover is None:
            return False
        if outcome.is_moved:
            place = handover.take_place()
            if place is None:
                return self._return_to_source(call, handover, failover)
            if self._is_open(call, place.load):
                call.resume_from = handover.copy_address
                failover.hold(place)
                return True
            self._fleet.finish(place)
            return self._return_to_source(call, handover, failover)
        if handover.phase is not Phase.GOING_ON or not handover.handle:
            return False
        if handover.has_returned or not self._is_unused(handover, outcome):
            return False
        is_allowed = self._fleet.retries.try_retry(call)
        return is_allowed and self._return_to_source(call, handover, failover)

    def end(self, call: Call) -> None:
        """Free what the move of a call that ends still holds."""
        handover = self._handover_by_call.pop(id(call), None)
        if handover is None:
            return
        is_settled = handover.phase in {Phase.STOPPED, Phase.GOING_ON}
        handover.end()
        if is_settled:
            self._release(handover)

    def _under_way(self) -> list[tuple[str, str]]:
        return [
            (
                handover.move.stream.source.server.server_id,
                handover.move.destination.server.server_id,
            )
            for handover in self._handover_by_call.values()
            if handover.phase not in {Phase.GOING_ON, Phase.ENDED}
        ]

    def _destinations(
        self, tracked_by_id: dict[str, TrackedStream], stream: RunningStream
    ) -> list[ServerLoad]:
        """Return the servers with a spare place for a stream.

        The memory of a run belongs to the weights of its version.
        """
        tracked = tracked_by_id[stream.request_id]
        source = stream.source.server
        if not self._is_open(tracked.call, stream.source):
            # It could not return to a source that takes nothing any more.
            return []
        demand = self._build_demand(tracked.call)
        demand.excluded_server_ids = {
            *tracked.call.excluded_server_ids,
            *tracked.refused_ids,
            source.server_id,
        }
        queue = self._fleet.queue(demand.service_id)
        return [
            load
            for load in spare_loads(queue, demand, self._clock.monotonic_ms())
            if load.server.version == source.version
        ]

    def _build_demand(self, call: Call) -> Demand:
        """Return the demand of a run, which stays at servers of its version."""
        return build_demand(
            call, self._clock.monotonic_ms(), ANY_VERSION, self._fleet.lengths
        )

    def _begin(self, tracked: TrackedStream, move: RunMove) -> None:
        call = tracked.call
        # An arrival at the destination counts for the budget.
        if not self._fleet.retries.try_move(call):
            tracked.pause(self._clock.monotonic_ms() + self._fleet.retries.pause_ms)
            return
        place = self._reserve(call, move.destination)
        self._fleet.notify_peers()
        handover = RunHandover(move, place, on_resumed=self._on_resumed)
        call.moves += 1
        self._handover_by_call[id(call)] = handover
        tracked.exchange.handover = handover
        _log_begin(move)
        spawn(self._copy, tracked, handover)

    def _copy(self, tracked: TrackedStream, handover: RunHandover) -> None:
        try:
            self._copy_and_stop(tracked, handover)
        except Exception:
            logger.bind(request=handover.move.stream.request_id).exception(
                'unhandled exception while a stream moves'
            )
            handover.end()
            self._release(handover)

    def _copy_and_stop(self, tracked: TrackedStream, handover: RunHandover) -> None:
        result = self._copies.copy(_order(handover, stops_run=False))
        handover.handle = result.handle
        _log_copy(handover, result, self._clock.monotonic_ms(), stops_run=False)
        if result.ending is not CopyEnding.COPIED or not handover.begin_stop():
            self._stay(tracked, handover, result)
            return
        result = self._stop(handover)
        handover.handle = result.handle or handover.handle
        has_copy = result.ending in {CopyEnding.COPIED, CopyEnding.NO_ROOM}
        if not has_copy or not result.handle:
            self._stay(tracked, handover, result)
            return
        if result.ending is CopyEnding.NO_ROOM:
            self._free_place(handover)
        if not handover.settle_stopped(self._clock.monotonic_ms()):
            self._release(handover)
        elif not handover.await_leave(STREAM_END_WAIT_MS):
            tracked.exchange.stop_reading()

    def _stop(self, handover: RunHandover) -> CopyResult:
        order = _order(handover, stops_run=True)
        give_up_ms = self._clock.monotonic_ms() + MAX_STOP_CALLS_MS
        tries_left = STOP_TRIES
        is_first = True
        while True:
            result = self._copies.copy(order)
            now_ms = self._clock.monotonic_ms()
            _log_copy(handover, result, now_ms, stops_run=True)
            # A busy source still works on a call whose answer was lost.
            tries_left -= result.ending is not CopyEnding.BUSY
            is_settled = result.ending not in UNCERTAIN
            if is_settled or not tries_left or now_ms >= give_up_ms:
                has_ended = is_first and result.ending is CopyEnding.NO_RUN
                handover.may_have_stopped = not has_ended
                return result
            is_first = False
            self._clock.sleep_ms(STOP_PAUSE_MS)

    def _stay(
        self, tracked: TrackedStream, handover: RunHandover, result: CopyResult
    ) -> None:
        """Leave a stream at its source, or to its end if it has ended meanwhile."""
        has_ended = handover.phase is Phase.ENDED
        handover.end()
        self._release(handover)
        self._count('ended' if has_ended else f'stayed_{result.ending}')
        if result.ending is CopyEnding.NO_ROOM:
            tracked.refuse(handover.move.destination.server.server_id)

    def _release(self, handover: RunHandover) -> None:
        self._free_place(handover)
        if handover.handle and not handover.is_used:
            source = handover.move.stream.source.server
            spawn(self._copies.drop, source, handover.handle)

    def _free_place(self, handover: RunHandover) -> None:
        if handover.place is not None:
            self._fleet.finish(handover.place)
            handover.place = None

    def _is_open(self, call: Call, load: ServerLoad) -> bool:
        """Return whether a server goes on with a run that it has, or has room for.

        Its memory and version were checked for the place that the run holds.
        """
        known = self._fleet.queue(call.service_id).load_by_id
        if known.get(load.server.server_id) is not load or load.is_leaving:
            return False
        place = RunningRequest(self._build_demand(call), self._clock.monotonic_ms())
        return self._fleet.revoked_by(Assignment(load, place)) is None

    def _reserve(self, call: Call, load: ServerLoad) -> Assignment:
        return reserve(load, self._build_demand(call), self._clock.monotonic_ms())

    def _is_unused(self, handover: RunHandover, outcome: Outcome) -> bool:
        """Return whether nothing works on a stream that its destination has failed.

        The source refuses a copy that was used, so that nothing runs twice.
        """
        if outcome.ending.guarantees_not_run:
            return True
        server = handover.move.destination.server
        return outcome.is_connection_lost and self._pool.is_refused(
            server.server_id, server.address
        )

    def _return_to_source(
        self, call: Call, handover: RunHandover, failover: CallFailover
    ) -> bool:
        """Return whether the stream goes on at its source, which keeps its memory."""
        if not handover.handle:
            return False
        handover.has_returned = True
        load = handover.move.stream.source
        service = self._fleet.find_service(call.service_id)
        age_ms = self._clock.monotonic_ms() - handover.stopped_ms
        is_kept = service is not None and age_ms < (service.copy_kept_ms or age_ms + 1)
        is_possible = is_kept and self._is_open(call, load)
        logger.bind(
            request=call.fields.attempt_id,
            source=load.server.server_id,
            destination=handover.move.destination.server.server_id,
            copy_age_ms=round(age_ms),
            is_possible=is_possible,
        ).info('moved stream returns to its source')
        self._count('returned' if is_possible else 'lost')
        if not is_possible:
            return False
        handover.is_used = False
        call.resume_from = handover.copy_address
        failover.hold(self._reserve(call, load))
        return True

    def _on_resumed(self, handover: RunHandover, pause_ms: float) -> None:
        stream = handover.move.stream
        logger.bind(
            request=stream.request_id,
            source=stream.source.server.server_id,
            destination=handover.move.destination.server.server_id,
            has_returned=handover.has_returned,
            pause_ms=round(pause_ms),
            max_gap_ms=stream.max_gap_ms,
        ).info('moved stream goes on')
        if not handover.has_returned:
            self._count('moved')
        if self._metrics is not None:
            self._metrics.observe_move_pause(pause_ms)

    def _count(self, ending: str) -> None:
        if self._metrics is not None:
            self._metrics.count_move(ending)


def _order(handover: RunHandover, *, stops_run: bool) -> CopyOrder:
    stream: RunningStream = handover.move.stream
    return CopyOrder(
        attempt_id=stream.request_id,
        source=stream.source.server,
        destination=handover.move.destination.server,
        stops_run=stops_run,
    )


def _log_begin(move: RunMove) -> None:
    stream = move.stream
    speeds = move.destination.speeds
    logger.bind(
        request=stream.request_id,
        source=stream.source.server.server_id,
        destination=move.destination.server.server_id,
        priority=stream.priority,
        slack_ms=round(move.slack_ms),
        stays_ms=round(move.stay_end_ms - stream.deadline_ms),
        moves_ms=round(move.move_end_ms - stream.deadline_ms),
        transfer_ms=round(move.transfer_ms),
        generated=round(stream.generated_tokens),
        remaining=round(stream.remaining_tokens),
        gap_ms=round(stream.gap_ms, 1),
        gap_age_ms=round(stream.gap_age_ms),
        destination_gap_ms=round(speeds.event_ms, 1),
        samples=[speeds.own.samples, speeds.peers.samples],
        past_moves=stream.past_moves,
    ).info('running stream moves to a faster server')


def _log_copy(
    handover: RunHandover, result: CopyResult, now_ms: float, *, stops_run: bool
) -> None:
    stream = handover.move.stream
    logger.bind(
        request=stream.request_id,
        source=stream.source.server.server_id,
        destination=handover.move.destination.server.server_id,
        stops_run=stops_run,
        ending=str(result.ending),
        reason=result.reason,
        has_handle=bool(result.handle),
        generated_events=result.event_count,
        phase=str(handover.phase),
        left_ms=round(stream.deadline_ms - now_ms),
    ).info('source answered a call to copy a run')
