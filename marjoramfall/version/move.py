"""Hold the state and the decision deadline of a traffic move."""

from marjoramfall.model import Move, MoveState
from marjoramfall.version.actions import MoveFigures

# A move is decided before its deadline by the shorter of these margins, so that
# the record of its end can be written in time.
MAX_END_MARGIN_MS = 1000
END_MARGIN_FRACTION = 0.02


class MoveController:
    """Track one move: running, then completed or taken back."""

    def __init__(self, move: Move, *, started_ms: float, deadline_ms: float) -> None:
        self.move = move
        self.state = move.state
        self.reason = move.reason
        self.figures = MoveFigures()
        margin_ms = min(
            MAX_END_MARGIN_MS, (deadline_ms - started_ms) * END_MARGIN_FRACTION
        )
        self._decision_deadline_ms = deadline_ms - max(margin_ms, 0)

    @property
    def running(self) -> bool:
        """Return whether the move has not ended yet."""
        return self.state is MoveState.RUNNING

    @property
    def completed(self) -> bool:
        """Return whether the move ended with all traffic on the new version."""
        return self.state is MoveState.COMPLETED

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time left for a decision, in milliseconds."""
        return max(self._decision_deadline_ms - now_ms, 0)

    def complete(self, reason: str, figures: MoveFigures) -> bool:
        """End the move with the new version; return False if it had ended."""
        return self._end(MoveState.COMPLETED, reason, figures)

    def take_back(self, reason: str, figures: MoveFigures) -> bool:
        """End the move with the old version; return False if it had ended."""
        return self._end(MoveState.TAKEN_BACK, reason, figures)

    def _end(self, state: MoveState, reason: str, figures: MoveFigures) -> bool:
        if not self.running:
            return False
        self.state = state
        self.reason = reason
        self.figures = figures
        return True
