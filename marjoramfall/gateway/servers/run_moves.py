"""Decide which running streams move to a faster server."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import Service
from marjoramfall.gateway.servers.server_load import ServerLoad

MAX_MOVES_PER_STREAM = 2
# Moves at a time of one entry, and of those from or to one server.
MAX_MOVES_PER_ENTRY = 6
MAX_MOVES_PER_SOURCE = 2
MAX_MOVES_PER_DESTINATION = 1
# A server with a few events of its own is known well enough.
MIN_EVENTS = 4
# Between two looks, fewer events say less than all of the exchange.
MIN_RECENT_EVENTS = 3
# A destination that is hardly faster is not worth the pause and the transfer.
MAX_DESTINATION_GAP_SHARE = 0.7
# The pause of a move besides its transfer.
MOVE_PAUSE_MS = 100.0
# Both sides count as late within this of the deadline.
DEADLINE_MARGIN_MS = 250.0
# A stream that ends about now gains nothing.
MIN_GAIN_MS = 500.0
BITS_PER_BYTE = 8
# Transfers between data centres take twice as long.
REMOTE_TRANSFER_FACTOR = 2


@dataclass(frozen=True, slots=True)
class RunningStream:
    """Hold what is known of a stream at a look; times are monotonic milliseconds.

    `gap_ms` is the mean time between its events at its server, and `gap_age_ms` the
    time since the last one.
    """

    request_id: str
    source: ServerLoad
    priority: int
    deadline_ms: float
    max_gap_ms: float
    gap_ms: float
    gap_age_ms: float
    prompt_tokens: int
    generated_tokens: float
    remaining_tokens: float
    tokens_per_event: float
    past_moves: int = 0

    @property
    def remaining_events(self) -> float:
        """Return the expected number of events yet."""
        return self.remaining_tokens / self.tokens_per_event


@dataclass(frozen=True, slots=True)
class RunMove:
    """Hold a stream that is to move, and what decided on it."""

    stream: RunningStream
    destination: ServerLoad
    slack_ms: float
    stay_end_ms: float
    move_end_ms: float
    transfer_ms: float


FindDestinations = Callable[[RunningStream], list[ServerLoad]]


class RunMovePolicy:
    """Choose streams that miss their end where they are, and make it elsewhere."""

    def choose(
        self,
        streams: Iterable[RunningStream],
        service: Service,
        under_way: list[tuple[str, str]],
        find_destinations: FindDestinations,
        now_ms: float,
    ) -> list[RunMove]:
        """Return the moves to begin, the most urgent first.

        `under_way` are the server ids of moves that have not ended, source first.
        `find_destinations` returns the servers that may get a stream now.
        """
        sources = Counter(source for source, _ in under_way)
        destinations = Counter(destination for _, destination in under_way)
        late = sorted(
            (stream for stream in streams if _should_leave(stream, now_ms)),
            key=lambda stream: (stream.priority, _slack_ms(stream, now_ms)),
        )
        moves: list[RunMove] = []
        for stream in late:
            if len(under_way) + len(moves) >= MAX_MOVES_PER_ENTRY:
                break
            source_id = stream.source.server.server_id
            if sources[source_id] >= MAX_MOVES_PER_SOURCE:
                continue
            open_loads = [
                load
                for load in find_destinations(stream)
                if destinations[load.server.server_id] < MAX_MOVES_PER_DESTINATION
            ]
            move = _best_move(stream, service, open_loads, now_ms)
            if move is not None:
                moves.append(move)
                sources[source_id] += 1
                destinations[move.destination.server.server_id] += 1
        return moves


def transfer_ms(stream: RunningStream, service: Service, load: ServerLoad) -> float:
    """Return how long the memory of a stream takes to a server, 0 if not known."""
    if not service.link_mbps:
        return 0
    tokens = stream.prompt_tokens + stream.generated_tokens
    bits = tokens * service.token_bytes * BITS_PER_BYTE
    duration_ms = bits / (service.link_mbps * MS_PER_SECOND)
    if load.server.data_centre != stream.source.server.data_centre:
        duration_ms *= REMOTE_TRANSFER_FACTOR
    return duration_ms


def _should_leave(stream: RunningStream, now_ms: float) -> bool:
    if stream.past_moves >= MAX_MOVES_PER_STREAM:
        return False
    if stream.remaining_events * stream.gap_ms < MIN_GAIN_MS:
        return False
    has_long_gaps = 0 < stream.max_gap_ms < stream.gap_ms
    return has_long_gaps or _slack_ms(stream, now_ms) < DEADLINE_MARGIN_MS


def _slack_ms(stream: RunningStream, now_ms: float) -> float:
    return stream.deadline_ms - _stay_end_ms(stream, now_ms)


def _stay_end_ms(stream: RunningStream, now_ms: float) -> float:
    return now_ms + stream.remaining_events * stream.gap_ms


def _best_move(
    stream: RunningStream, service: Service, loads: list[ServerLoad], now_ms: float
) -> RunMove | None:
    """Return the move with the earliest end, None if none ends in time."""
    moves = [_build_move(stream, service, load, now_ms) for load in loads]
    in_time = [move for move in moves if _is_worth(move)]
    return min(in_time, key=lambda move: move.move_end_ms, default=None)


def _build_move(
    stream: RunningStream, service: Service, load: ServerLoad, now_ms: float
) -> RunMove:
    moved_ms = transfer_ms(stream, service, load)
    rest_ms = stream.remaining_events * load.speeds.event_ms
    return RunMove(
        stream=stream,
        destination=load,
        slack_ms=_slack_ms(stream, now_ms),
        stay_end_ms=_stay_end_ms(stream, now_ms),
        move_end_ms=now_ms + MOVE_PAUSE_MS + moved_ms + rest_ms,
        transfer_ms=moved_ms,
    )


def _is_worth(move: RunMove) -> bool:
    speeds = move.destination.speeds
    if not speeds.own.samples and not speeds.peers.samples:
        return False
    if speeds.event_ms > MAX_DESTINATION_GAP_SHARE * move.stream.gap_ms:
        return False
    if move.stay_end_ms - move.move_end_ms < MIN_GAIN_MS:
        return False
    return move.move_end_ms + DEADLINE_MARGIN_MS <= move.stream.deadline_ms
