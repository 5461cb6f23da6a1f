"""Define the data that the metrics need about a caller's request."""

from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Record one request; times are in milliseconds of the monotonic clock.

    Tier and service are empty until they are known to be configured, so that
    callers cannot create label values. `outcome` is `ok` or an error code.
    """

    request_id: str
    started_ms: float
    ended_ms: float = 0
    outcome: str = ''
    tier_id: str = ''
    service_id: str = ''

    @property
    def seconds(self) -> float:
        """Return the duration of the request in seconds."""
        return (self.ended_ms - self.started_ms) / MS_PER_SECOND
