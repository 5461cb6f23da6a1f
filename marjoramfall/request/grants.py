"""Define how a request acquires, uses and releases a grant."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from marjoramfall.errors import RefusedError


class ShedError(RefusedError):
    """Report a request that was shed before dispatch because of overload."""

    code = 'shed'


class DeadlineExceededError(RefusedError):
    """Report a request that could not be dispatched before its deadline."""

    code = 'deadline_exceeded'
    http_status = 504


class NoBackendServerError(RefusedError):
    """Report that no backend server of the service can accept a request."""

    code = 'no_backend_server'


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """Describe the work of a request that needs a backend server."""

    request_id: str
    service_id: str
    tier_rank: int
    team_id: str
    team_weight: float
    deadline_ms: float
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    route: str = ''
    excluded_server_ids: tuple[str, ...] = ()
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldGrant:
    """Allow one dispatch to a backend server until a monotonic time in ms."""

    request_id: str
    service_id: str
    server_id: str
    version_id: str
    address: str
    expires_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchResult:
    """Report how a dispatch ended; durations are in milliseconds."""

    succeeded: bool
    dispatched: bool
    first_token_ms: float | None = None
    total_ms: float = 0
    cached_tokens: int = 0
    decode_tokens: int = 0


class GrantClient(ABC):
    """Acquire grants from the dispatcher of a service and release them."""

    @abstractmethod
    def acquire(self, request: GrantRequest) -> HeldGrant:
        """Wait for a grant.

        Raises `ShedError`, `DeadlineExceededError` or `NoBackendServerError`.
        """

    @abstractmethod
    def confirm(self, grant: HeldGrant) -> bool:
        """Return whether the grant is still valid; call just before dispatch.

        It is not if it expired, its version was withdrawn or its server is
        leaving; the caller then acquires another one.
        """

    @abstractmethod
    def finish(
        self, grant: HeldGrant, request: GrantRequest, result: DispatchResult
    ) -> None:
        """Release the grant and report the result of its dispatch."""

    @abstractmethod
    def withdraw(self, request: GrantRequest) -> None:
        """Stop waiting for a grant because the caller disconnected."""
