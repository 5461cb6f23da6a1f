"""Describe what a request asks of a backend server."""

from dataclasses import dataclass, field

from marjoramfall.gateway.version_moves import ANY_VERSION, VersionChoice

# A request that can no longer meet its target yields to those that can, also
# to those one rank below.
LATE_RANK = 1.0


@dataclass(slots=True)
class Demand:
    """Hold what placement needs to know; times are monotonic milliseconds.

    `target_ms` is when the first response is due and `give_up_ms` when the
    caller stops waiting for it; the whole response is due at `deadline_ms`.
    """

    service_id: str
    priority: int
    arrived_ms: float
    target_ms: float
    give_up_ms: float
    deadline_ms: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    excluded_ids: set[str] = field(default_factory=set)
    version: VersionChoice = ANY_VERSION

    def rank(self, now_ms: float) -> float:
        """Return the order in which waiting requests go; the least first."""
        if now_ms > self.target_ms:
            return self.priority + LATE_RANK
        return self.priority
