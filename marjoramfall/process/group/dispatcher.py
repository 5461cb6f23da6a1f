"""Define the dispatcher interface that the group host calls."""

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
        """Record that a grant is in use."""

    def on_finished(self, report: FinishReport, now_ms: float) -> list[Action]:
        """Release a grant and record its result."""

    def on_load_report(self, report: LoadReport, now_ms: float) -> list[Action]:
        """Process a load report of a server."""

    def on_cache_event(self, event: CacheEvent, now_ms: float) -> list[Action]:
        """Process a cache event of a server."""

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
        """Add an open grant that an earlier dispatcher made."""

    def release_entry(self, entry_id: str, now_ms: float) -> list[Action]:
        """Drop the requests and grants of a dead entry."""

    def tick(self, now_ms: float) -> list[Action]:
        """Expire overdue grants and requests."""
