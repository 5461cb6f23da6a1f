"""Define what the result of a request says of a version."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionResult:
    """Hold the result of a request at a server of some version.

    `failure` says why the request failed, empty if it did not. `timed_out_ms` is
    how long the server had it, set if the time of the request ended it.
    """

    service_id: str
    version: str
    route: str
    failure: str = ''
    first_response_ms: float | None = None
    timed_out_ms: float | None = None
    attempt_id: str = ''
