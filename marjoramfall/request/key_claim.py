"""Define how a request claims the only dispatch of its idempotency key."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from marjoramfall.errors import RefusedError

MAX_KEY_LENGTH = 255


class KeyRequiredError(RefusedError):
    """Report a request that must carry an idempotency key but does not."""

    code = 'idempotency_key_required'
    http_status = 400


class InvalidKeyError(RefusedError):
    """Report a key that is too long or was never issued."""

    code = 'idempotency_key_invalid'
    http_status = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyScope:
    """Name a key within its team and service.

    The fingerprint is that of the request's route and body.
    """

    team_id: str
    service_id: str
    key: str
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """Say how a claimed attempt ended; status 0 means no response."""

    dispatched: bool
    status: int = 0
    body: bytes = b''


class KeyClaims(ABC):
    """Allow at most one dispatch per key."""

    @abstractmethod
    def claim(self, scope: KeyScope, claim_id: str) -> None:
        """Take the right to dispatch; raises a `MarjoramfallError` if refused."""

    @abstractmethod
    def release(self, scope: KeyScope, claim_id: str, outcome: ClaimOutcome) -> None:
        """Record how the attempt ended; never raises."""
