"""Choose the backend server that should answer a request first."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marjoramfall.request.events import WaitingRequest
from marjoramfall.request.server_state import ServerState

# Decode lengths are guesses, so that a deadline needs some spare time.
DECODE_MARGIN = 1.25
# Prefill also delays the other requests of a server, so that it counts more
# than by its own time.
PREFILL_WEIGHT = 3


@dataclass(frozen=True, slots=True)
class Placement:
    """Propose a server for a request; times are from now on."""

    waiting: WaitingRequest
    server: ServerState
    cached_tokens: float
    prefill_ms: float
    first_token_ms: float
    total_ms: float

    def meets_deadline(self, now_ms: float) -> bool:
        """Return whether the whole response is expected in time."""
        return now_ms + self.total_ms <= self.waiting.deadline_ms


def propose(waiting: WaitingRequest, server: ServerState, now_ms: float) -> Placement:
    """Predict the latency of a request at a server."""
    work = waiting.work
    cached = server.prefixes.expected_tokens(waiting.prefix_hashes, work.prefill_tokens)
    first_ms = server.first_token_ms(work.prefill_tokens, cached, now_ms)
    decode_ms = work.decode_tokens * server.speed.decode_ms * DECODE_MARGIN
    prefill_ms = (work.prefill_tokens - cached) * server.speed.prefill_ms
    total_ms = first_ms + decode_ms
    return Placement(waiting, server, cached, prefill_ms, first_ms, total_ms)


def choose(
    waiting: WaitingRequest, servers: Iterable[ServerState], now_ms: float
) -> Placement | None:
    """Return the placement with the least first-token time.

    Servers that are expected to meet the deadline come before the others.
    """
    placements = [
        propose(waiting, server, now_ms)
        for server in servers
        if server.info.server_id not in waiting.excluded_server_ids
    ]
    return min(
        placements,
        key=lambda placement: _preference(placement, now_ms),
        default=None,
    )


def best_of(placements: Sequence[Placement]) -> Placement:
    """Return the placement that saves most prefill, the earliest of equals."""
    return max(placements, key=lambda placement: placement.cached_tokens)


def _preference(placement: Placement, now_ms: float) -> tuple[bool, float, float]:
    if placement.meets_deadline(now_ms):
        cost_ms = placement.first_token_ms + PREFILL_WEIGHT * placement.prefill_ms
        return False, cost_ms, placement.total_ms
    return True, placement.total_ms, placement.first_token_ms
