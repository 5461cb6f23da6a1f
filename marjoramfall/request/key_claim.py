"""Define the claim of an idempotency key, its outcomes and its errors."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.errors import MarjoramfallError, RefusedError, RunState

MAX_KEY_LENGTH = 255
MAX_RECORDED_BYTES = 16 * 1024
HTTP_CONFLICT = 409
IN_USE_RETRY_MS = 1000


class KeyRequiredError(RefusedError):
    """Report a request without the idempotency key that its service requires."""

    code = 'idempotency_key_required'
    http_status = 400


class InvalidKeyError(RefusedError):
    """Report a key that is malformed or was never issued to the team."""

    code = 'idempotency_key_invalid'
    http_status = 400


class KeyReusedError(RefusedError):
    """Report a key that was already used with a different request."""

    code = 'idempotency_key_reused'
    http_status = 422


class KeyExpiredError(MarjoramfallError):
    """Report a key so old that the records of its use may have been deleted."""

    code = 'idempotency_key_expired'
    http_status = 410


class KeyInUseError(MarjoramfallError):
    """Report a key whose earlier request is still in progress."""

    code = 'key_in_use'
    http_status = HTTP_CONFLICT


class AlreadyDispatchedError(MarjoramfallError):
    """Report a key whose earlier request was or may have been dispatched."""

    code = 'already_dispatched'
    http_status = HTTP_CONFLICT


class AlreadyRunError(MarjoramfallError):
    """Report a key whose earlier request has run, with its recorded response."""

    code = 'already_run'
    http_status = HTTP_CONFLICT
    run_state = RunState.RUN

    def __init__(self, outcome: 'ClaimOutcome') -> None:
        super().__init__('the request has run; this is its recorded response')
        self.outcome = outcome


class KeyStoreUnavailableError(RefusedError):
    """Report that the table service could not record the claim of a key."""

    code = 'key_store_unavailable'


class KeyOwnerUnavailableError(MarjoramfallError):
    """Report that the entry that issued a key could not be reached."""

    code = 'key_owner_unavailable'
    http_status = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class ScopedKey:
    """Identify a key within its team and service.

    `fingerprint` is a hash of the method, path and body of the request.
    """

    team_id: str
    service_id: str
    key: str
    fingerprint: str

    @property
    def scope(self) -> str:
        """Return the team and service as the text that is sent to the key's owner."""
        return f'{self.team_id}\n{self.service_id}'


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """Describe how a claimed attempt ended.

    Status 0 means that no complete response arrived. The body is stored only
    if `recorded`.
    """

    dispatched: bool
    status: int = 0
    body: bytes = b''
    content_type: str = ''
    recorded: bool = False

    @property
    def run_state(self) -> RunState:
        """Return whether the request ran, as far as the outcome shows."""
        if not self.dispatched:
            return RunState.NOT_RUN
        return RunState.RUN if self.status else RunState.UNKNOWN


class ClaimVerdict(StrEnum):
    """Tell whether a claim is granted or why it is refused.

    `ALREADY_RUN` comes with the recorded response, `HAS_RUN` without one.
    """

    GRANTED = 'granted'
    ALREADY_RUN = 'already_run'
    HAS_RUN = 'has_run'
    MAY_HAVE_RUN = 'may_have_run'
    IN_USE = 'in_use'
    REUSED = 'reused'
    EXPIRED = 'expired'
    INVALID = 'invalid'


class KeyClaims(ABC):
    """Allow at most one dispatch per key."""

    @abstractmethod
    def claim(self, scoped_key: ScopedKey, claim_id: str) -> None:
        """Acquire the right to dispatch; raises a `MarjoramfallError` if refused."""

    @abstractmethod
    def release(
        self, scoped_key: ScopedKey, claim_id: str, outcome: ClaimOutcome
    ) -> None:
        """Record how the claimed attempt ended; never raises."""


def refused_claim_error(verdict: str, outcome: ClaimOutcome) -> MarjoramfallError:
    """Return the error to raise for a refused claim."""
    match verdict:
        case ClaimVerdict.ALREADY_RUN:
            return AlreadyRunError(outcome)
        case ClaimVerdict.HAS_RUN:
            return AlreadyDispatchedError('the key was used', run_state=RunState.RUN)
        case ClaimVerdict.IN_USE:
            return KeyInUseError('the key is in use', retry_after_ms=IN_USE_RETRY_MS)
        case ClaimVerdict.REUSED:
            return KeyReusedError('the key came before with another request')
        case ClaimVerdict.EXPIRED:
            return KeyExpiredError('the key is too old')
        case ClaimVerdict.INVALID:
            return InvalidKeyError('the key was not issued to this team')
    return AlreadyDispatchedError('a request with the key may have run')


def ended_claim_verdict(outcome: ClaimOutcome) -> ClaimVerdict:
    """Return the verdict on a repeated key whose request was dispatched and ended."""
    if outcome.recorded:
        return ClaimVerdict.ALREADY_RUN
    if outcome.run_state is RunState.RUN:
        return ClaimVerdict.HAS_RUN
    return ClaimVerdict.MAY_HAVE_RUN
