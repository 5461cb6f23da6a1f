"""Define the settings of an entry process."""

from dataclasses import dataclass, field

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.servers.cold_bounds import ColdBounds
from marjoramfall.gateway.servers.retry_budget import RetryBounds


@dataclass(frozen=True, slots=True)
class EntryBounds:
    """Hold the bounds that may change while the process runs.

    Retries are allowed up to `retry_ratio` of the requests in `retry_window_s`
    plus `retry_slack` for all entries together; `expose_share` and
    `expose_slack` bound the requests of an unproven version in the same way.
    A stopping entry waits for its requests up to `grace_s`. An entry may admit
    requests beyond the limit of a team by `limit_tolerance_share` of the burst
    plus `limit_tolerance`. A cold server gets at most `cold_over` times its rate plus
    `cold_slack` requests in any second from all entries together.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    limit_tolerance_share: float
    limit_tolerance: float
    expose_share: float
    expose_slack: float
    cold_over: float = 1
    cold_slack: float = 0

    @property
    def cold_bounds(self) -> ColdBounds:
        """Return the bounds of the requests to a cold server."""
        return ColdBounds(over=self.cold_over, slack=self.cold_slack)

    @property
    def retry_bounds(self) -> RetryBounds:
        """Return the bounds of the retry budget of a service."""
        return RetryBounds(
            share=self.retry_ratio,
            slack=self.retry_slack,
            window_ms=self.retry_window_s * MS_PER_SECOND,
        )


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold the checked settings of one entry process.

    Addresses are `host:port`. `is_first_start` is set if no entry of the system
    ran before.
    """

    vm: str
    ip: str
    data_centre: str
    peer_port: int
    front_address: str
    ready_address: str
    metrics_address: str
    is_first_start: bool
    # Where peers send the requests whose servers they can't reach.
    delegation_address: str
    bounds: EntryBounds
    region_by_data_centre: dict[str, str] = field(default_factory=dict)
    # What the VM gives to the process, in MB; 0 if it states no limit.
    memory_mb: float = 0
