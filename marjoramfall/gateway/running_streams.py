"""Keep the running streams of an entry, and measure how fast they go."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.model import Service
from marjoramfall.gateway.servers.event_splitter import EventSplitter
from marjoramfall.gateway.servers.exchange import Exchange
from marjoramfall.gateway.servers.run_handover import Phase
from marjoramfall.gateway.servers.run_moves import (
    MIN_EVENTS,
    MIN_RECENT_EVENTS,
    RunningStream,
)

# Destinations without room that a stream may ask before each counts as a move.
MAX_REFUSALS = 3


@dataclass(slots=True, eq=False)
class TrackedStream:
    """Hold a running stream and what the last look saw of it."""

    call: Call
    exchange: Exchange
    splitter: EventSplitter
    seen_events: int = 0
    seen_ms: float = 0.0
    paused_until_ms: float = 0.0
    view: RunningStream | None = None
    # Destinations without room for it.
    refused_ids: set[str] = field(default_factory=set)

    def pause(self, until_ms: float) -> None:
        """Leave the stream where it is until then."""
        self.paused_until_ms = until_ms

    def refuse(self, server_id: str) -> None:
        """Count a move that found no room as none, and try other servers only."""
        self.refused_ids.add(server_id)
        if len(self.refused_ids) <= MAX_REFUSALS:
            self.call.moves -= 1

    def is_movable(self, service: Service, now_ms: float) -> bool:
        """Return whether the stream could move at all now.

        Only a server that can be told to stop a run is left: some work on after their
        connection was closed, beside the server at which the stream goes on.
        """
        handover = self.exchange.handover
        is_moving = handover is not None and handover.phase is not Phase.ENDED
        if is_moving or now_ms < self.paused_until_ms:
            return False
        if not self.call.fields.output_tokens or not service.is_model:
            return False
        return service.moves_runs and self.exchange.timing.event_count >= MIN_EVENTS

    def measure_gap_ms(self) -> float:
        """Return the mean time between events since the last look, or of all."""
        timing = self.exchange.timing
        events = timing.event_count - self.seen_events
        if self.seen_events and events >= MIN_RECENT_EVENTS:
            gap_ms = (timing.last_event_ms - self.seen_ms) / events
        else:
            duration_ms = timing.last_event_ms - timing.first_event_ms
            gap_ms = duration_ms / (timing.event_count - 1)
        self.seen_events = timing.event_count
        self.seen_ms = timing.last_event_ms
        return gap_ms


class RunningStreams:
    """Keep the streams whose exchanges have not ended yet."""

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._tracked: set[TrackedStream] = set()

    @contextmanager
    def including(
        self, call: Call, exchange: Exchange, splitter: EventSplitter
    ) -> Iterator[None]:
        """Keep a stream during the block."""
        tracked = TrackedStream(call, exchange, splitter)
        self._tracked.add(tracked)
        try:
            yield
        finally:
            self._tracked.discard(tracked)

    def movable(self, now_ms: float) -> list[tuple[Service, dict[str, TrackedStream]]]:
        """Return the streams that could move, by service and attempt id."""
        by_service: dict[str, dict[str, TrackedStream]] = defaultdict(dict)
        for tracked in self._tracked:
            service = self._fleet.find_service(tracked.call.service_id)
            if service is None or not tracked.is_movable(service, now_ms):
                continue
            tracked.view = self._view(tracked, service, now_ms)
            by_id = by_service[service.service_id]
            by_id[tracked.call.fields.attempt_id] = tracked
        return [
            (self._fleet.find_service(service_id), by_id)
            for service_id, by_id in by_service.items()
        ]

    def _view(
        self, tracked: TrackedStream, service: Service, now_ms: float
    ) -> RunningStream:
        call = tracked.call
        fields = call.fields
        generated = tracked.splitter.event_count * service.tokens_per_event
        return RunningStream(
            request_id=fields.attempt_id,
            source=tracked.exchange.load,
            priority=call.priority,
            deadline_ms=call.deadline_ms,
            max_gap_ms=call.route.max_gap_ms,
            gap_ms=tracked.measure_gap_ms(),
            gap_age_ms=now_ms - tracked.exchange.timing.last_event_ms,
            prompt_tokens=fields.prompt_tokens,
            generated_tokens=generated,
            remaining_tokens=self._fleet.lengths.remaining_tokens(
                call.route.name,
                fields.likely_output_tokens,
                fields.output_tokens,
                generated,
                team=call.team.name if call.team else '',
            ),
            tokens_per_event=service.tokens_per_event,
            past_moves=call.moves,
        )
