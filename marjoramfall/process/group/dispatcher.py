"""Define what the host of a group needs of its dispatcher."""

from collections.abc import Sequence
from typing import Protocol

from marjoramfall.request.events import (
    Action,
    CacheEvent,
    FinishReport,
    LoadReport,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)


class GroupDispatcher(Protocol):
    """Decide which waiting request of a group goes to which server."""

    def enqueue(self, waiting: WaitingRequest, now_ms: float) -> list[Action]:
        """Add a waiting request."""

    def withdraw(self, request_id: str, now_ms: float) -> list[Action]:
        """Remove a waiting request."""

    def on_started(self, request_id: str, now_ms: float) -> list[Action]:
        """Note that a grant is in use."""

    def on_finished(self, report: FinishReport, now_ms: float) -> list[Action]:
        """Take back a grant with its result."""

    def on_load_report(self, report: LoadReport, now_ms: float) -> list[Action]:
        """Take a server's own load report."""

    def on_cache_event(self, event: CacheEvent, now_ms: float) -> list[Action]:
        """Take a server's cache event."""

    def set_servers(self, servers: Sequence[ServerInfo], now_ms: float) -> list[Action]:
        """Replace the servers of the group."""

    def adopt_active(
        self,
        entry_id: str,
        request_id: str,
        server_id: str,
        version_id: str,
        work: WorkEstimate,
        now_ms: float,
    ) -> list[Action]:
        """Count a grant that an earlier dispatcher made."""

    def release_entry(self, entry_id: str, now_ms: float) -> list[Action]:
        """Forget the requests and grants of a dead entry."""

    def tick(self, now_ms: float) -> list[Action]:
        """Expire grants and requests."""
