"""Define the interface that selects the version for a request."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from marjoramfall.request.events import FinishReport, WaitingRequest


class VersionRouter(ABC):
    """Select versions of one service and evaluate their results."""

    @abstractmethod
    def preferred_versions(
        self, waiting: WaitingRequest, now_ms: float
    ) -> Sequence[str]:
        """Return the versions that may serve the request, preferred first."""

    @abstractmethod
    def on_granted(
        self, waiting: WaitingRequest, version_id: str, now_ms: float
    ) -> None:
        """Count a grant towards the share of its version."""

    @abstractmethod
    def on_finished(self, report: FinishReport, now_ms: float) -> None:
        """Evaluate the result of a granted request."""


class SingleVersionRouter(VersionRouter):
    """Send all requests to one version."""

    def __init__(self, version_id: str) -> None:
        self._version_id = version_id

    def preferred_versions(
        self, waiting: WaitingRequest, now_ms: float
    ) -> Sequence[str]:
        """Return the only version."""
        return (self._version_id,)

    def on_granted(
        self, waiting: WaitingRequest, version_id: str, now_ms: float
    ) -> None:
        """Ignore the grant."""

    def on_finished(self, report: FinishReport, now_ms: float) -> None:
        """Ignore the result."""
