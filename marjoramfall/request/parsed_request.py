"""Define the validated form of a caller's request."""

from dataclasses import dataclass

import xxhash

from marjoramfall.model import Delivery, Service
from marjoramfall.request.grants import GrantRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedRequest:
    """Store a validated request with its service, team and tier.

    `deadline_ms` is a monotonic time; `headers` are sent to the backend server.
    """

    request_id: str
    service: Service
    team_id: str
    team_weight: float
    tier_rank: int
    deadline_ms: float
    method: str
    path: str
    route: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    prefill_tokens: int = 1
    decode_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    idempotency_key: str | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be dispatched again."""
        return self.service.delivery is Delivery.IDEMPOTENT

    @property
    def fingerprint(self) -> str:
        """Return a hash of the method, path and body, to detect a reused key."""
        digest = xxhash.xxh3_128(f'{self.method} {self.path}\n'.encode())
        digest.update(self.body)
        return digest.hexdigest()

    def grant_request(self, excluded_server_ids: tuple[str, ...]) -> GrantRequest:
        """Return a request for a grant on any server except the excluded ones."""
        return GrantRequest(
            request_id=self.request_id,
            service_id=self.service.service_id,
            tier_rank=self.tier_rank,
            team_id=self.team_id,
            team_weight=self.team_weight,
            deadline_ms=self.deadline_ms,
            prefill_tokens=self.prefill_tokens,
            decode_tokens=self.decode_tokens,
            prefix_hashes=self.prefix_hashes,
            route=self.route,
            excluded_server_ids=excluded_server_ids,
            idempotent=self.is_idempotent,
        )
