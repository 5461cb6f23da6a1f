"""Describe what a request requires of the server it is assigned to."""

from dataclasses import dataclass, field

from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.length_estimate import LengthEstimates
from marjoramfall.gateway.versions.version_moves import ANY_VERSION, VersionChoice

# Added to the rank of a request that no longer meets its target: it goes after the
# requests of its own priority that can still meet theirs, and is ordered by arrival
# among those of the next lower priority.
LATE_RANK_PENALTY = 1.0
# Taken from the rank of a begun stream, whose caller leaves after its longest gap:
# it goes before all others of its own priority, and after those of the next higher
# one that can still meet their targets.
BEGUN_RANK_LEAD = 0.5
# A caller abandons a stream after the longest of these: a fixed time, or a
# multiple of the target or of the maximum gap of the route.
MIN_STREAM_WAIT_MS = 2000.0
TARGET_WAIT_FACTOR = 4.0
GAP_WAIT_FACTOR = 8.0


@dataclass(slots=True)
class Demand:
    """Hold the requirements of a request; times are monotonic milliseconds.

    `target_ms` is when the first response is due and `give_up_ms` when the
    caller stops waiting for it; the whole response is due at `deadline_ms`. Only
    `give_up_ms` ends the wait of a request that may have run (`has_run`), not an
    estimate: it can't be refused as not run any more. The caller has the beginning
    of a stream that `is_begun`. Few responses exceed `cautious_output_tokens`, none
    exceeds `max_output_tokens`; one that pauses for longer than `max_gap_ms` is late,
    0 for no such limit. A request that `may_return` uses excluded servers where no
    other takes it, the one that failed it last only after all others. Only servers in
    `home_regions` may get it, any if there are none.
    """

    service_id: str
    priority: int
    arrived_ms: float
    target_ms: float
    give_up_ms: float
    deadline_ms: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_output_tokens: int = 0
    cautious_output_tokens: int = 0
    max_gap_ms: float = 0.0
    excluded_server_ids: set[str] = field(default_factory=set)
    version: VersionChoice = ANY_VERSION
    has_run: bool = False
    is_begun: bool = False
    may_return: bool = False
    last_failed_server_id: str = ''
    home_regions: frozenset[str] = frozenset()
    team: str = ''
    # How much earlier than now the caller came for the first time.
    lead_ms: float = 0.0
    # How long a server is expected to take for its first response.
    first_response_ms: float = 0.0
    # Added while other requests of the team wait at this entry.
    team_delay_ms: float = 0.0

    @property
    def held_tokens(self) -> int:
        """Return the most memory that a model server needs for the request."""
        return self.prompt_tokens + max(self.output_tokens, self.max_output_tokens)

    def __post_init__(self) -> None:
        """Take the likely length for the cautious one where that is not known."""
        self.cautious_output_tokens = max(
            self.cautious_output_tokens, self.output_tokens
        )

    @property
    def turn_ms(self) -> float:
        """Return the time that orders requests of the same rank."""
        return self.arrived_ms - self.lead_ms + self.team_delay_ms

    def allows(self, server: BackendServer) -> bool:
        """Return whether the server is eligible by version, state and exclusions."""
        if server.is_leaving or server.server_id in self.excluded_server_ids:
            return False
        return self.version.allows(server.version)

    def allows_return(self, server: BackendServer) -> bool:
        """Return whether a server that has failed the request may get it again."""
        return self.may_return and self.version.allows(server.version)

    def rank(self, now_ms: float) -> float:
        """Return the rank in the queue; the lowest rank is served first."""
        if self.is_begun:
            return self.priority - BEGUN_RANK_LEAD
        if now_ms > self.target_ms - self.first_response_ms:
            return self.priority + LATE_RANK_PENALTY
        return self.priority


def build_demand(
    call: Call,
    now_ms: float,
    version: VersionChoice,
    lengths: LengthEstimates | None = None,
) -> Demand:
    """Return the requirements of a call for its next attempt.

    In a resumed stream, the target and the wait of the caller count from now,
    as the caller waits for the next event rather than for the first one.
    """
    is_resumed = call.first_byte_ms is not None
    wait_started_ms = now_ms if is_resumed else call.received_ms
    return Demand(
        service_id=call.service_id,
        priority=call.priority,
        arrived_ms=call.received_ms,
        target_ms=wait_started_ms + call.route.target_ms,
        give_up_ms=min(call.deadline_ms, wait_started_ms + _max_wait_ms(call)),
        deadline_ms=call.deadline_ms,
        prompt_tokens=call.fields.prompt_tokens,
        output_tokens=call.fields.likely_output_tokens,
        max_output_tokens=call.fields.output_tokens,
        cautious_output_tokens=_cautious_tokens(call, lengths),
        max_gap_ms=call.route.max_gap_ms if call.route.is_stream else 0,
        excluded_server_ids=call.excluded_server_ids,
        version=version,
        has_run=call.has_run,
        is_begun=call.is_begun_stream,
        last_failed_server_id=call.last_failed_server_id,
        home_regions=call.home_regions,
        team=call.team.name if call.team else '',
        lead_ms=call.lead_ms,
    )


def give_up_ms(call: Call) -> float:
    """Return when a call that has run ends its wait for a place.

    To cut a begun stream helps nobody: its caller leaves once it has waited too long.
    """
    if call.is_begun_stream:
        return call.deadline_ms
    return min(call.deadline_ms, call.received_ms + _max_wait_ms(call))


def _cautious_tokens(call: Call, lengths: LengthEstimates | None) -> int:
    fields = call.fields
    if lengths is None:
        return fields.likely_output_tokens
    return lengths.cautious_tokens(
        call.route.name,
        fields.likely_output_tokens,
        fields.output_tokens,
        team=call.team.name if call.team else '',
    )


def _max_wait_ms(call: Call) -> float:
    route = call.route
    if not route.is_stream:
        return call.deadline_ms - call.received_ms
    return max(
        MIN_STREAM_WAIT_MS,
        TARGET_WAIT_FACTOR * route.target_ms,
        GAP_WAIT_FACTOR * route.max_gap_ms,
    )
