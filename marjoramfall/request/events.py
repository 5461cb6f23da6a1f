"""Define the events and actions of the dispatcher of an engine group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimate how many tokens a request prefills and decodes.

    A call of a plain service is recognised by its 0 decode tokens.
    """

    prefill_tokens: int
    decode_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return the sum of prefill and decode tokens."""
        return self.prefill_tokens + self.decode_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """Describe a request that waits for a grant.

    Times are in milliseconds of the monotonic clock; a lower rank is a higher
    tier.
    """

    request_id: str
    entry_id: str
    tier_rank: int
    team_id: str
    team_weight: float
    deadline_ms: float
    arrived_ms: float
    work: WorkEstimate
    prefix_hashes: tuple[int, ...] = ()
    route: str = ''
    excluded_server_ids: frozenset[str] = frozenset()
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerInfo:
    """Describe the configuration of a backend server of the group."""

    server_id: str
    version_id: str
    data_centre: str
    max_concurrency: int
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Report the load of a backend server at `measured_ms`, maybe long ago."""

    server_id: str
    running: int
    waiting: int
    queued_prefill_tokens: int
    measured_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """Report that a server stored or evicted a prompt prefix block."""

    server_id: str
    sequence: int
    prefix_hash: int
    stored: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishReport:
    """Report how a granted request ended; durations are in milliseconds."""

    request_id: str
    server_id: str
    version_id: str
    route: str
    succeeded: bool
    dispatched: bool
    first_token_ms: float | None
    total_ms: float
    work: WorkEstimate
    cached_tokens: int = 0
    decode_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Allow a request to be sent to a server until a monotonic time.

    The tier rank is None if an earlier dispatcher made the grant.
    """

    request_id: str
    entry_id: str
    server_id: str
    version_id: str
    expires_ms: float
    tier_rank: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """Refuse a waiting request because of overload."""

    request_id: str
    entry_id: str
    tier_rank: int
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Expire:
    """Refuse a waiting request whose deadline can no longer be met."""

    request_id: str
    entry_id: str
    tier_rank: int


Action = Grant | Shed | Expire
