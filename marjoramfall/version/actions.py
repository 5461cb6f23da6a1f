"""Define the actions that a move returns to the entry process.

The log line of a recorded action shows its class and field names.
"""

from dataclasses import dataclass

from marjoramfall.model import MoveState


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveFigures:
    """Hold the values behind a decision; `share` is a fraction.

    `new_slow` counts results that succeeded but were slow, `evidence` is the
    e-value against the new version.
    """

    share: float = 0
    new_requests: int = 0
    new_failures: int = 0
    old_requests: int = 0
    old_failures: int = 0
    new_slow: int = 0
    evidence: float = 0


class MoveCounts:
    """Count the results of both versions during a move."""

    def __init__(self) -> None:
        self.e_value = float(0)
        # The keys tell whether a result is of the new version.
        self._requests = {True: 0, False: 0}
        self._failures = {True: 0, False: 0}
        self._faulty = {True: 0, False: 0}

    def count(self, *, is_new: bool, failed: bool, clean: bool) -> None:
        """Count the result of one dispatched request."""
        self._requests[is_new] += 1
        self._failures[is_new] += failed
        self._faulty[is_new] += not clean

    def snapshot(self, share: float) -> MoveFigures:
        """Return the current counts together with the share."""
        return MoveFigures(
            share=share,
            new_requests=self._requests[True],
            new_failures=self._failures[True],
            old_requests=self._requests[False],
            old_failures=self._failures[False],
            new_slow=self._faulty[True] - self._failures[True],
            evidence=self.e_value,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawVersion:
    """Stop new requests to the version and notify the peers."""

    move_id: str
    service_id: str
    version_id: str
    reason: str
    figures: MoveFigures


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareChanged:
    """Record the share of traffic at which a new dispatcher may start."""

    move_id: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveEnded:
    """Record that the move was completed or taken back, and why."""

    move_id: str
    state: MoveState
    reason: str
    figures: MoveFigures


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveAtRisk:
    """Warn the operator that the move may miss its deadline.

    Both request counts refer to the time that remains.
    """

    move_id: str
    reason: str
    needed_requests: int
    expected_requests: int


MoveAction = WithdrawVersion | ShareChanged | MoveEnded | MoveAtRisk
