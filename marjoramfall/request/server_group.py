"""Track the backend servers of an engine group."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marjoramfall.connection.outlier_ejection import (
    MIN_DECODE_TOKENS,
    OutlierEjection,
)
from marjoramfall.request.active_grants import ActiveGrant
from marjoramfall.request.events import (
    CacheEvent,
    FinishReport,
    LoadReport,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.request.server_state import ServerState
from marjoramfall.request.session_affinity import SessionAffinity

# The rest of a limit is reserved for sessions whose prefix the server caches;
# without a reserve, a full group would scatter sessions over its servers.
UNRESERVED_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class AvailableServers:
    """List servers with any capacity left, and those with unreserved capacity."""

    by_id: dict[str, ServerState]
    unreserved: list[ServerState]


class ServerGroup:
    """Track the credits, speed, health and cached prefixes of servers."""

    def __init__(self) -> None:
        self._servers_by_id: dict[str, ServerState] = {}
        self._ejection = OutlierEjection()
        self._affinity = SessionAffinity()

    def set_servers(
        self, servers: Sequence[ServerInfo], active_grants: Iterable[ActiveGrant]
    ) -> None:
        """Replace the servers and recount the active grants of each.

        The estimates of a server that stays are kept, unless its version
        changed.
        """
        states_by_id: dict[str, ServerState] = {}
        for info in servers:
            state = self._servers_by_id.get(info.server_id)
            if state is None or state.info.version_id != info.version_id:
                state = ServerState(info)
            state.reset(info)
            states_by_id[info.server_id] = state
        self._servers_by_id = states_by_id
        # A server may have been absent while requests were running on it, so its
        # credits are counted from the grants.
        for active in active_grants:
            server = states_by_id.get(active.grant.server_id)
            if server is not None:
                server.count_active(active)
        self._ejection.set_servers(states_by_id)

    def get(self, server_id: str) -> ServerState | None:
        """Return a server of the group, or None."""
        return self._servers_by_id.get(server_id)

    def available_servers(self, now_ms: float) -> AvailableServers:
        """Return the servers that can accept another request now."""
        available = AvailableServers({}, [])
        for server in self._servers_by_id.values():
            self._add_if_available(available, server, now_ms)
        return available

    def refresh(
        self, available: AvailableServers, server_id: str, now_ms: float
    ) -> None:
        """Update the availability of one server after it got a request."""
        server = available.by_id.pop(server_id, None)
        if server is not None:
            if server in available.unreserved:
                available.unreserved.remove(server)
            self._add_if_available(available, server, now_ms)

    def session_server(
        self, waiting: WaitingRequest, available: AvailableServers
    ) -> ServerState | None:
        """Return the server with the session's prefix if it is available."""
        return available.by_id.get(self._affinity.server_of(waiting.prefix_hashes))

    def record_prefix(self, waiting: WaitingRequest, server: ServerState) -> None:
        """Record which server is going to cache the prompt of a request."""
        server.prefixes.record(waiting.prefix_hashes)
        self._affinity.record(waiting.prefix_hashes, server.info.server_id)

    def min_unloaded_ms(self, work: WorkEstimate) -> float:
        """Return the time of a request on the server that is fastest when idle.

        Returns 0 if the group has no servers.
        """
        times_ms = [
            server.speed.unloaded_ms(work) for server in self._servers_by_id.values()
        ]
        return min(times_ms, default=0)

    def reserve(self, active: ActiveGrant, now_ms: float) -> None:
        """Reserve the credits of a grant if its server is in the group."""
        server = self._servers_by_id.get(active.grant.server_id)
        if server is not None:
            server.reserve(active, now_ms)

    def release(self, active: ActiveGrant) -> None:
        """Release the credits of a grant if its server is in the group."""
        server = self._servers_by_id.get(active.grant.server_id)
        if server is not None:
            server.release(active)

    def on_finished(
        self, active: ActiveGrant, report: FinishReport, now_ms: float
    ) -> None:
        """Update speed, limit and health from the result of a request."""
        server = self._servers_by_id.get(active.grant.server_id)
        if server is None:
            return
        server.on_finished(active, report)
        missed_deadline = (
            report.first_token_ms is not None and now_ms >= active.deadline_ms
        )
        if missed_deadline and not report.succeeded:
            # A response that began but missed its deadline indicates load, not a
            # faulty server.
            return
        token_ms = None
        if report.decode_tokens >= MIN_DECODE_TOKENS:
            spent_ms = report.total_ms - (report.first_token_ms or 0)
            token_ms = spent_ms / report.decode_tokens
        self._ejection.on_finished(
            active.grant.server_id,
            now_ms,
            succeeded=report.succeeded,
            token_ms=token_ms,
        )

    def on_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Process the load that a server reports of itself."""
        server = self._servers_by_id.get(report.server_id)
        if server is not None:
            server.on_load_report(report, now_ms)

    def on_cache_event(self, event: CacheEvent) -> None:
        """Process a change in the prefix cache of a server."""
        server = self._servers_by_id.get(event.server_id)
        if server is not None:
            server.prefixes.on_event(event)

    def _add_if_available(
        self, available: AvailableServers, server: ServerState, now_ms: float
    ) -> None:
        used_share = server.used_share(now_ms)
        if used_share >= 1:
            return
        server_id = server.info.server_id
        if self._ejection.allowed(server_id, server.running, now_ms):
            available.by_id[server_id] = server
            if used_share < UNRESERVED_SHARE:
                available.unreserved.append(server)
