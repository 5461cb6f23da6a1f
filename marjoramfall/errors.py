"""Define the base of every failure: a code, a run state and a status."""

from enum import StrEnum
from typing import ClassVar


class RunState(StrEnum):
    """Say whether a failed request ran at a backend server."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class MarjoramfallError(Exception):
    """Carry a machine-readable code beside the message."""

    code: ClassVar[str] = 'internal'
    http_status: ClassVar[int] = 500
    run_state: ClassVar[RunState] = RunState.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        retry_after_ms: int | None = None,
        run_state: RunState | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.actual_run_state = run_state or self.run_state


class RefusedError(MarjoramfallError):
    """Report a request that was refused before anything was dispatched."""

    code = 'refused'
    http_status = 503
    run_state = RunState.NOT_RUN


class InvalidRequestError(RefusedError):
    """Report a request that can never succeed as it was sent."""

    code = 'invalid_request'
    http_status = 400


class BackendServerError(MarjoramfallError):
    """Report a failure of a backend server after dispatch."""

    code = 'backend_server_error'
    http_status = 502


class PlatformError(MarjoramfallError):
    """Report a failure of the platform's services."""

    code = 'platform_failed'
    http_status = 503


class PeerError(MarjoramfallError):
    """Report a failure of the exchange with another entry."""

    code = 'peer_failed'
    http_status = 503
