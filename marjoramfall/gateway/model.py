"""Define routes, services, teams and backend servers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from marjoramfall.gateway.revision import era_of

# The unused part of a server's limit is kept for this long.
SERVER_BURST_S = 1.0
UNSTATED_COLD_MS = -1.0
# What peers report late, as after a partition, holds up requests no longer than this.
SERVER_DEBT_S = 4.0


class RepeatRule(StrEnum):
    """Define whether a request may run more than once.

    A `RESUMABLE` stream continues after the last event that the caller received.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    RESUMABLE = 'resumable'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Assign a service its weight among the services of a route."""

    service_id: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Select requests by host and path prefix and limit how they are served.

    `timeout_ms` limits the whole response, `target_ms` is the target for its
    start and `max_gap_ms` the largest gap wanted between events of a stream.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeat_rule: RepeatRule
    is_stream: bool
    timeout_ms: float
    target_ms: float
    max_gap_ms: float
    priority: int
    max_attempts: int
    is_public: bool
    # The regions whose servers may get the requests; empty for all.
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a group of interchangeable backend servers.

    A server that has just started is cold for `cold_start_ms` and takes
    `cold_rate_per_s` requests per second meanwhile, no limit if 0. `memory_tokens`
    bounds the tokens of the requests that a model server holds, no limit if 0.
    Its running requests can be moved between servers if `moves_runs`: each token takes
    `token_bytes` over links of `link_mbps`, 0 where that isn't known, and a copy that
    isn't used is kept for `copy_kept_ms`.
    """

    service_id: str
    max_connections: int
    is_model: bool
    tokens_per_event: float
    cold_start_ms: float = 0
    cold_rate_per_s: float = 0
    memory_tokens: int = 0
    moves_runs: bool = False
    token_bytes: float = 0
    link_mbps: float = 0
    copy_kept_ms: float = 0


@dataclass(frozen=True, slots=True)
class Team:
    """Hold the priority of a team and its limit, which all entries share.

    `rate_per_s` and `burst` count tokens if `counts_tokens`, else requests;
    a rate of 0 means no limit. `plain_tokens` is charged for a request that states
    no token counts.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_tokens: int
    # The regions whose servers may get the team's requests; empty for all.
    home_regions: frozenset[str] = frozenset()

    @property
    def max_debt(self) -> float:
        """Return the amount beyond the limit that later requests make up for."""
        return inf


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Hold how many requests a server takes from all entries together."""

    name: str
    rate_per_s: float

    @property
    def burst(self) -> float:
        """Return the requests that may be sent at once after a pause."""
        return max(1, self.rate_per_s * SERVER_BURST_S)

    @property
    def max_debt(self) -> float:
        """Return the requests beyond the limit that later ones make up for."""
        return max(1, self.rate_per_s * SERVER_DEBT_S)


LimitRule = Team | ServerLimit


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of requests and the time that callers take to send them."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


def group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    longest_first = sorted(routes, key=lambda route: -len(route.prefix))
    by_host: dict[str, list[Route]] = {}
    for route in longest_first:
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in by_host.items()}


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the configuration that operators set."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_id: dict[str, Service]
    team_by_key: dict[str, Team]
    team_by_name: dict[str, Team]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class ServerRun:
    """Identify one incarnation of a server."""

    server_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one incarnation of a registered backend server.

    `born_ms` tells the incarnations of a server id apart, and `sequence` counts what
    this one has said of itself. It was cold for `cold_ms` more as it said so; negative
    if it did not say.
    """

    server_id: str
    service_id: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_leaving: bool
    born_ms: int
    cold_ms: float
    sequence: int = 0

    @property
    def run(self) -> ServerRun:
        """Return what identifies this incarnation."""
        return ServerRun(self.server_id, self.born_ms)

    def is_older_than(self, other: 'BackendServer') -> bool:
        """Return whether the server said this before something else of itself."""
        return (self.born_ms, self.sequence) < (other.born_ms, other.sequence)


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Hold what a server says of itself in a response.

    `pause_ms` is how long it wants no requests from this entry, None if it does.
    `rejections_per_s` is set as it rejects a request for lack of room and would fall
    over if it had to reject more than that, from all entries together. `cold_ms` is
    how long it stays cold, None if it does not say.
    """

    is_leaving: bool = False
    pause_ms: float | None = None
    rejections_per_s: float | None = None
    cold_ms: float | None = None


@dataclass(frozen=True, slots=True)
class VersionMove:
    """Request to move a service's traffic to a version within `duration_s`."""

    service_id: str
    version: str
    duration_s: float
    revision: int

    def is_repeated_by(self, order: 'VersionMove') -> bool:
        """Return whether an order is this one, found again in a restored store."""
        return era_of(self.revision) != era_of(order.revision) and (
            (self.service_id, self.version, self.duration_s)
            == (order.service_id, order.version, order.duration_s)
        )
