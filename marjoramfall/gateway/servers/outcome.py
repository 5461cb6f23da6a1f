"""Define how an exchange with a backend server can end."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.gateway.http_messages import Response


class Ending(StrEnum):
    """Classify how an exchange with a backend server ended.

    `NOT_RUN` is a rejection before the request ran, `FAILED` a 5xx response,
    and `UNKNOWN` a request that was sent and got no complete response.
    """

    DELIVERED = 'delivered'
    NOT_REACHED = 'not_reached'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'

    @property
    def guarantees_not_run(self) -> bool:
        """Return whether the request has certainly not run."""
        return self in {Ending.NOT_REACHED, Ending.NOT_RUN}


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold the result of an exchange.

    `response` and `body` are the backend server's own error response, which may
    still be delivered. `lost_at_start` is true if the connection ended before more
    than the beginning of a response had arrived; `is_connection_lost` if it ended
    before the whole response had. One that `is_moved` has stopped at its server to go
    on at another one.
    """

    ending: Ending
    reason: str = ''
    response: Response | None = None
    body: bytes = b''
    lost_at_start: bool = False
    is_server_fault: bool = False
    is_timeout: bool = False
    is_broken_off: bool = False
    is_connection_lost: bool = False
    is_moved: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether the server is known to have had the request."""
        is_silent = self.ending in {Ending.NOT_REACHED, Ending.UNKNOWN}
        return self.is_server_fault or not is_silent


class GatewayFailureError(Exception):
    """Make the gateway answer a request with its own error response."""

    def __init__(
        self,
        status: int,
        code: str,
        *,
        retry_after_ms: float | None = None,
        is_elsewhere: bool = False,
    ) -> None:
        """Create the error; `is_elsewhere` says that another entry may serve it."""
        super().__init__(code)
        self.is_elsewhere = is_elsewhere
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms
