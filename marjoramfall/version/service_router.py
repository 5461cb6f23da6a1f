"""Route the requests of one service, with or without a running move."""

from collections.abc import Sequence

from marjoramfall.model import Configuration, Move, MoveState, VersionState
from marjoramfall.request.events import FinishReport, WaitingRequest
from marjoramfall.version.actions import MoveAction
from marjoramfall.version.move_router import MoveRouter
from marjoramfall.version.router import SingleVersionRouter, VersionRouter


class ServiceRouter(VersionRouter):
    """Route by the configured version or, while a move runs, by the move."""

    def __init__(self, service_id: str) -> None:
        self.service_id = service_id
        self._current: VersionRouter = SingleVersionRouter('')
        self._move_router: MoveRouter | None = None
        self._move: Move | None = None
        self._withdrawn: set[str] = set()

    def reset_move(self) -> None:
        """Discard the evidence of a running move at the next `configure`.

        A new dispatcher starts at the share that its predecessor recorded.
        """
        self._move = None

    def configure(
        self, configuration: Configuration, now_ms: float, wall_ms: int
    ) -> None:
        """Apply the service's version, running move and withdrawn versions.

        `now_ms` is monotonic, `wall_ms` is the wall clock at the same time.
        """
        service = configuration.services_by_id.get(self.service_id)
        if service is None:
            return
        move = running_move(configuration, self.service_id)
        if move is None:
            self._current = SingleVersionRouter(service.version_id)
            self._move_router = None
        elif self._move is None or move.move_id != self._move.move_id:
            deadline_ms = now_ms + move.deadline_wall_ms - wall_ms
            self._move_router = MoveRouter(move, now_ms=now_ms, deadline_ms=deadline_ms)
            self._current = self._move_router
        self._move = move
        for version in configuration.versions_by_id.values():
            if version.state is VersionState.WITHDRAWN:
                self.withdraw(version.version_id, 'withdrawn by configuration')

    def withdraw(self, version_id: str, reason: str) -> None:
        """Stop granting requests to the version."""
        self._withdrawn.add(version_id)
        if self._move_router is None or self._move is None:
            return
        if version_id in {self._move.old_version_id, self._move.new_version_id}:
            self._move_router.withdraw(version_id, reason)

    def tick(self, now_ms: float) -> list[MoveAction]:
        """Advance the running move and return its actions."""
        if self._move_router is None:
            return []
        return self._move_router.tick(now_ms)

    def preferred_versions(
        self, waiting: WaitingRequest, now_ms: float
    ) -> Sequence[str]:
        """Return the versions that may serve the request, preferred first."""
        preferred = self._current.preferred_versions(waiting, now_ms)
        return [version for version in preferred if version not in self._withdrawn]

    def on_granted(
        self, waiting: WaitingRequest, version_id: str, now_ms: float
    ) -> None:
        """Count a grant towards the share of its version."""
        self._current.on_granted(waiting, version_id, now_ms)

    def on_finished(self, report: FinishReport, now_ms: float) -> None:
        """Evaluate the result of a granted request."""
        self._current.on_finished(report, now_ms)


def running_move(configuration: Configuration, service_id: str) -> Move | None:
    """Return the running move of a service, or None."""
    for move in configuration.moves_by_id.values():
        if move.service_id == service_id and move.state is MoveState.RUNNING:
            return move
    return None
