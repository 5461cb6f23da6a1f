"""Describe the configuration that operators make and entries apply."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

DEFAULT_MAX_SHARE = 0.05


class ServiceKind(StrEnum):
    """Tell model engines from plain services."""

    MODEL = 'model'
    PLAIN = 'plain'


class Delivery(StrEnum):
    """Say how often a request of a service may reach a backend server."""

    IDEMPOTENT = 'idempotent'
    DISPATCH_ONCE = 'dispatch_once'
    RUN_ONCE = 'run_once'


class VersionState(StrEnum):
    """Say what traffic a version may get."""

    ACTIVE = 'active'
    CANDIDATE = 'candidate'
    WITHDRAWN = 'withdrawn'
    RETIRED = 'retired'


class MoveState(StrEnum):
    """Say how far a move of traffic has come."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    TAKEN_BACK = 'taken_back'


@dataclass(frozen=True, slots=True)
class Tier:
    """Rank requests; rank 0 is the highest and is shed last."""

    tier_id: str
    rank: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Team:
    """Identify callers by the SHA-256 of their bearer key."""

    team_id: str
    tier_id: str
    key_sha256: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """Name what callers ask for and the version that serves it now."""

    service_id: str
    kind: ServiceKind
    delivery: Delivery
    version_id: str
    max_attempts: int = 2


@dataclass(frozen=True, slots=True)
class Version:
    """Name one release of a service."""

    version_id: str
    service_id: str
    state: VersionState = VersionState.ACTIVE


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Locate a backend server (`host:port`) and name what it runs."""

    server_id: str
    address: str
    data_centre: str
    version_id: str
    checks_fencing: bool = False
    max_concurrency: int = 16


@dataclass(frozen=True, slots=True)
class MoveGuard:
    """Bound how much worse than the old version the new one may be."""

    max_error_rate: float = 0.02
    max_latency_ratio: float = 1.5
    max_initial_share: float = DEFAULT_MAX_SHARE


@dataclass(frozen=True, slots=True)
class Move:
    """Describe a move of a service's traffic to a new version."""

    move_id: str
    service_id: str
    old_version_id: str
    new_version_id: str
    deadline_wall_ms: int
    guard: MoveGuard = field(default_factory=MoveGuard)
    state: MoveState = MoveState.RUNNING
    reason: str = ''
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold everything operators have set, as of one revision."""

    revision: int = 0
    tiers_by_id: Mapping[str, Tier] = field(default_factory=dict)
    teams_by_id: Mapping[str, Team] = field(default_factory=dict)
    services_by_id: Mapping[str, Service] = field(default_factory=dict)
    versions_by_id: Mapping[str, Version] = field(default_factory=dict)
    backend_servers_by_id: Mapping[str, BackendServer] = field(default_factory=dict)
    moves_by_id: Mapping[str, Move] = field(default_factory=dict)
