"""Hold a caller's request and its state while the gateway serves it."""

from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b

from marjoramfall.gateway.http_messages import Header, RequestHead
from marjoramfall.gateway.model import RepeatRule, Route, Team

# Distinct route priorities within each team priority; larger ones are capped.
ROUTE_RANKS_PER_TEAM_PRIORITY = 8
# A caller that comes with so much less time than its route allows has lost it
# elsewhere.
MIN_RETURN_LEAD_MS = 300.0
# Bounds what callers gain that always name a short time.
MAX_LEAD_SHARE = 0.5
# Enough to tell all requests of some minutes apart.
FINGERPRINT_BYTES = 8


@dataclass(frozen=True, slots=True)
class CallFields:
    """Hold what a dialect read from the head of a request.

    `caller_timeout_ms` is how long the caller waits for the response.
    `is_generation` is true if the head states token counts, of which
    `output_tokens` is an upper bound and `likely_output_tokens` an estimate.
    `shared_part_ids` are the parts of the prompt that other requests may have too,
    and `own_part_id` is the last part, that of the request or its session.
    """

    attempt_id: str
    host: str
    path: str
    api_key: str | None
    caller_timeout_ms: float | None
    is_generation: bool
    prompt_tokens: int
    output_tokens: int
    likely_output_tokens: int
    last_event_id: bytes | None
    headers: tuple[Header, ...]
    shared_part_ids: tuple[str, ...] = ()
    own_part_id: str = ''


@dataclass(frozen=True, slots=True)
class Delegation:
    """Say what the entry knew that delegated a request to this one.

    The request may have run `runs` times before, without the `lost_runs` that ended
    with their servers.
    """

    service_id: str
    runs: int
    config_version: int
    lost_runs: int = 0

    @property
    def has_run(self) -> bool:
        """Return whether the request may have run at the entry before."""
        return self.runs + self.lost_runs > 0


@dataclass
class Call:
    """Hold the state of a request from admission to the end of its response.

    `sends` counts the attempts that reached a backend server, `sends_away` those of
    them in another data centre, and `runs` those that it did not reject, among them
    any that ended without a complete response, because the request may have run.
    `lost_runs` of these ended with their servers and take no attempt.
    `unreached_servers` counts the attempts that reached none.
    """

    head: RequestHead
    body: bytes
    fields: CallFields
    received_ms: float
    route: Route
    team: Team | None
    service_id: str
    config_version: int
    deadline_ms: float
    excluded_server_ids: set[str] = field(default_factory=set)
    last_failed_server_id: str = ''
    # Set if the last server that failed the request had failed it before.
    has_failed_again: bool = False
    runs: int = 0
    lost_runs: int = 0
    sends: int = 0
    sends_away: int = 0
    last_event_id: bytes | None = None
    first_byte_ms: float | None = None
    # Set once the start of a body that is no stream was sent to the caller.
    is_partly_delivered: bool = False
    # The media type of a stream that has begun.
    stream_type: bytes | None = None
    unreached_servers: int = 0
    # How often the stream was to move, and the copy from which it goes on next.
    moves: int = 0
    resume_from: str = ''
    # Set if a peer has accepted the request from its caller.
    delegation: Delegation | None = None
    tried_delegates: set[str] = field(default_factory=set)
    # How long callers of the route and team wait; None to take that of the route.
    usual_timeout_ms: float | None = None
    # The regions whose servers may get the request; empty for all.
    home_regions: frozenset[str] = frozenset()

    @cached_property
    def fingerprint(self) -> str:
        """Return what a request has in common with the same one sent again."""
        fields = self.fields
        texts = (
            fields.host,
            fields.api_key or '',
            *fields.shared_part_ids,
            fields.own_part_id,
        )
        line = b'\0'.join((self.head.method, self.head.target))
        digest = blake2b(line, digest_size=FINGERPRINT_BYTES)
        for text in texts:
            digest.update(b'\0' + text.encode())
        digest.update(b'\0' + self.body)
        return digest.hexdigest()

    @property
    def is_delegated(self) -> bool:
        """Return whether a peer has accepted the request from its caller."""
        return self.delegation is not None

    @property
    def lead_ms(self) -> float:
        """Return the part of its usual time that the caller has spent before.

        A refused caller comes back with what is left of its time, to any entry.
        """
        usual_ms = self.usual_timeout_ms or self.route.timeout_ms
        spent_ms = self.received_ms + usual_ms - self.deadline_ms
        return min(max(0, spent_ms), MAX_LEAD_SHARE * usual_ms)

    @property
    def has_returned(self) -> bool:
        """Return whether the caller seems to have been refused before."""
        return not self.is_delegated and self.lead_ms >= MIN_RETURN_LEAD_MS

    @property
    def may_be_given_back(self) -> bool:
        """Return whether the peer that sent the request may choose another entry.

        It counts a run for a stream that this entry has begun and ends early.
        """
        return self.is_delegated and self.first_byte_ms is None

    @property
    def is_begun_stream(self) -> bool:
        """Return whether the caller has the beginning of the stream already."""
        if self.first_byte_ms is not None:
            return True
        is_resumed = self.fields.last_event_id is not None
        return is_resumed and self._has_run_before

    @property
    def has_run(self) -> bool:
        """Return whether the request may have run, here or at the entry before."""
        return self.is_begun_stream or self.runs > 0 or self._has_run_before

    @property
    def counted_runs(self) -> int:
        """Return the runs of this entry that take an attempt."""
        return self.runs - self.lost_runs

    @property
    def attempts_left(self) -> int:
        """Return how often the route lets the request run yet."""
        earlier_runs = self.delegation.runs if self.delegation else 0
        return self.route.max_attempts - earlier_runs - self.counted_runs

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once.

        The rest of a body that was begun can only come from its own run.
        """
        if self.is_partly_delivered:
            return False
        return self.route.repeat_rule is not RepeatRule.AT_MOST_ONCE

    @property
    def priority(self) -> int:
        """Return the combined priority of the request; 0 is the highest.

        The priority of the team takes precedence; that of the route decides
        between requests of teams with equal priority.
        """
        route_rank = min(self.route.priority, ROUTE_RANKS_PER_TEAM_PRIORITY - 1)
        if self.team is not None and self.team.priority is not None:
            return self.team.priority * ROUTE_RANKS_PER_TEAM_PRIORITY + route_rank
        return self.route.priority * ROUTE_RANKS_PER_TEAM_PRIORITY + route_rank

    @property
    def quota_cost(self) -> int:
        """Return the tokens or requests charged to the team's limit."""
        if self.team is None or not self.team.counts_tokens:
            return 1
        if not self.fields.is_generation:
            return self.team.plain_tokens
        return self.fields.prompt_tokens + self.fields.output_tokens

    def exclude(self, server_id: str) -> None:
        """Use a server that has failed the request only if no other is left."""
        self.has_failed_again = server_id in self.excluded_server_ids
        self.last_failed_server_id = server_id
        self.excluded_server_ids.add(server_id)

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline of the request."""
        return self.deadline_ms - now_ms

    @property
    def _has_run_before(self) -> bool:
        return self.delegation is not None and self.delegation.has_run
