"""Choose the backend server with the lowest expected latency."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.request.events import WaitingRequest
from marjoramfall.request.server_state import ServerState

# The decode length is an estimate; the margin covers its error when the
# response time is compared with the deadline.
DECODE_MARGIN = 1.5
# Prefill also delays the other requests of the server, so it is weighted more
# than its duration alone.
PREFILL_WEIGHT = 3


@dataclass(slots=True)
class Placement:
    """Predict the latency of a request on a server; times count from now."""

    waiting: WaitingRequest
    server: ServerState
    cached_tokens: float
    prefill_ms: float
    first_token_ms: float
    total_ms: float

    def meets_deadline(self, now_ms: float) -> bool:
        """Return whether the response is expected to end by the deadline."""
        return now_ms + self.total_ms <= self.waiting.deadline_ms

    def cost(self, now_ms: float) -> tuple[bool, float]:
        """Return the sort key to minimise: deadline missed, then cost in ms."""
        if self.meets_deadline(now_ms):
            return False, self.first_token_ms + PREFILL_WEIGHT * self.prefill_ms
        return True, self.total_ms


def predict_placement(
    waiting: WaitingRequest, server: ServerState, now_ms: float
) -> Placement:
    """Predict the latency of a request on a server from its speed and queue."""
    work = waiting.work
    if not work.decode_tokens:
        plain_call_ms = server.plain_call_ms()
        return Placement(waiting, server, 0, 0, plain_call_ms, plain_call_ms)
    cached = server.prefixes.expected_tokens(waiting.prefix_hashes, work.prefill_tokens)
    first_ms = server.first_token_ms(work.prefill_tokens, cached, now_ms)
    speed = server.speed
    decode_tokens = work.decode_tokens * speed.decode_length_ratio * DECODE_MARGIN
    decode_ms = decode_tokens * speed.decode_ms_per_token
    prefill_ms = (work.prefill_tokens - cached) * speed.prefill_ms_per_token
    total_ms = first_ms + decode_ms
    return Placement(waiting, server, cached, prefill_ms, first_ms, total_ms)


def best_placement(
    waiting: WaitingRequest,
    servers: Iterable[ServerState],
    version_id: str,
    now_ms: float,
) -> Placement | None:
    """Return the placement of least cost on a version, or None.

    Servers that are expected to meet the deadline are preferred.
    """
    best: Placement | None = None
    best_cost: tuple[bool, float] = (True, float('inf'))
    for server in servers:
        info = server.info
        if info.version_id != version_id:
            continue
        if info.server_id in waiting.excluded_server_ids:
            continue
        placement = predict_placement(waiting, server, now_ms)
        cost = placement.cost(now_ms)
        if best is None or cost < best_cost:
            best = placement
            best_cost = cost
    return best
