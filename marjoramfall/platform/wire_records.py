"""Define the records of the platform as they are encoded in its store."""

from typing import Any

import msgspec

from marjoramfall.gateway.message_bounds import Amount, Count, WholeNumber

DEFAULT_SLOTS = 4


class WireSplit(msgspec.Struct):
    """Give the weight of a service in the traffic of a route."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, rename='camel'):
    """Map requests of a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: WholeNumber = 0
    service: str = ''
    traffic_split: list[WireSplit] = []
    max_attempts: WholeNumber = 1
    public: bool = False
    resumable: bool = False
    # The largest gap wanted between events of a stream.
    gap_aim_ms: float = 0
    # Read leniently: a value that is no list of regions leaves the route in force.
    allowed_regions: Any = None


class WireEngine(msgspec.Struct, rename='camel'):
    """Describe the model servers of a service."""

    # The number of tokens in one event of a stream.
    stride: float = 1
    # Read leniently, as all that later pages have added.
    kv_capacity: Any = None
    moves: Any = None
    kv_token_bytes: Any = None
    link_mbps: Any = None
    handle_s: Any = None


class WireService(msgspec.Struct, rename='camel'):
    """Configure a service; only a service of model servers has an `engine`."""

    name: str
    max_conns: WholeNumber = 0
    engine: WireEngine | None = None
    # Read leniently: a value that is no time or rate leaves the service in force.
    cold_start_s: Any = None
    cold_per_s: Any = None


class WireTeam(msgspec.Struct, rename='camel'):
    """Hold a team, which the platform calls a tenant, and its rate limit."""

    name: str
    api_keys: list[str] = []
    priority: WholeNumber | None = None
    unit: str = ''
    plain_tokens: WholeNumber = 0
    rate_per_s: float = 0
    burst: float = 0
    # Read leniently, like that of a route.
    allowed_regions: Any = None


class WireLimits(msgspec.Struct, rename='camel'):
    """Limit the size and the duration of what callers send."""

    max_header_bytes: WholeNumber = 16384
    max_body_bytes: WholeNumber = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class WireConfig(msgspec.Struct):
    """Hold the whole configuration that operators write."""

    version: Count
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    # The users' page says tenant for what this project calls a team.
    tenants: list[WireTeam] = []


class WireServer(msgspec.Struct, rename='camel'):
    """Hold the registration of a backend server."""

    service: str
    address: str
    # The users' page says zone for what this project calls a data centre.
    zone: str
    state: str
    version: str = ''
    slots: int = DEFAULT_SLOTS
    # Read leniently: a value that is no time leaves the registration in force.
    cold_remaining_ms: Any = None
    # A time in ms that tells the incarnations of a server id apart.
    born: Count = 0
    # Rises with each report of this incarnation.
    seq: Count = 0


class WireRollout(msgspec.Struct, rename='camel'):
    """Order a version move of a service, which the platform calls a rollout."""

    service: str
    to: str
    duration_s: Amount
