"""Decide which waiting request of an engine group goes to which server."""

from collections.abc import Sequence
from operator import attrgetter

from marjoramfall.request.events import (
    Action,
    CacheEvent,
    Expire,
    FinishReport,
    Grant,
    LoadReport,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.request.request_queue import RequestQueue
from marjoramfall.request.server_load import ActiveGrant, ServerLoad
from marjoramfall.version.router import VersionRouter

GRANT_VALID_MS = 500


class Dispatcher:
    """Order the waiting requests of one group and grant them to servers.

    All times are monotonic milliseconds of the caller's clock.
    """

    def __init__(self, group_id: str, router: VersionRouter) -> None:
        self.group_id = group_id
        self._router = router
        self._queue = RequestQueue()
        self._active_by_id: dict[str, ActiveGrant] = {}
        self._waiting_entries: dict[str, WaitingRequest] = {}
        self._loads_by_id: dict[str, ServerLoad] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def active_count(self) -> int:
        """Return the number of granted requests that have not finished."""
        return len(self._active_by_id)

    def enqueue(self, waiting: WaitingRequest, now_ms: float) -> list[Action]:
        """Add a request; a repeated one gets its unstarted grant again."""
        active = self._active_by_id.get(waiting.request_id)
        if active is not None:
            return [] if active.started else [active.grant]
        if waiting.request_id not in self._queue:
            self._queue.add(waiting)
            self._waiting_entries[waiting.request_id] = waiting
        return self._decide(now_ms)

    def withdraw(self, request_id: str, now_ms: float) -> list[Action]:
        """Forget a request that waits or whose grant is not started."""
        self._drop_waiting(request_id)
        active = self._active_by_id.get(request_id)
        if active is not None and not active.started:
            self._release(request_id)
        return self._decide(now_ms)

    def on_started(self, request_id: str, now_ms: float) -> list[Action]:
        """Keep the credits of a grant until its request finishes."""
        active = self._active_by_id.get(request_id)
        if active is not None:
            active.started = True
        return self._decide(now_ms)

    def on_finished(self, report: FinishReport, now_ms: float) -> list[Action]:
        """Return the credits of a request and learn from its result."""
        self._release(report.request_id)
        self._router.on_finished(report, now_ms)
        return self._decide(now_ms)

    def on_load_report(self, report: LoadReport, now_ms: float) -> list[Action]:
        """Take a server's own report of its load."""
        return self._decide(now_ms)

    def on_cache_event(self, event: CacheEvent, now_ms: float) -> list[Action]:
        """Take a change of a server's prefix cache."""
        return []

    def set_servers(self, servers: Sequence[ServerInfo], now_ms: float) -> list[Action]:
        """Replace the servers of the group; credits of kept ones stay."""
        loads_by_id = {server.server_id: ServerLoad(server) for server in servers}
        for server_id, load in loads_by_id.items():
            known = self._loads_by_id.get(server_id)
            if known is not None:
                load.running = known.running
                load.tokens = known.tokens
        self._loads_by_id = loads_by_id
        return self._decide(now_ms)

    def adopt_active(
        self,
        entry_id: str,
        request_id: str,
        server_id: str,
        version_id: str,
        work: WorkEstimate,
        now_ms: float,
    ) -> list[Action]:
        """Count a request that an earlier dispatcher granted."""
        if request_id not in self._active_by_id:
            self._drop_waiting(request_id)
            grant = Grant(
                request_id=request_id,
                entry_id=entry_id,
                server_id=server_id,
                version_id=version_id,
                expires_ms=now_ms,
            )
            self._hold(ActiveGrant(grant=grant, work=work, started=True))
        return []

    def release_entry(self, entry_id: str, now_ms: float) -> list[Action]:
        """Forget all requests of an entry that is gone."""
        waiting_ids = [
            waiting.request_id
            for waiting in self._waiting_entries.values()
            if waiting.entry_id == entry_id
        ]
        active_ids = [
            request_id
            for request_id, active in self._active_by_id.items()
            if active.grant.entry_id == entry_id
        ]
        for waiting_id in waiting_ids:
            self._drop_waiting(waiting_id)
        for active_id in active_ids:
            self._release(active_id)
        return self._decide(now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Expire grants and deadlines; call every few milliseconds."""
        expired_ids = [
            request_id
            for request_id, active in self._active_by_id.items()
            if not active.started and active.grant.expires_ms <= now_ms
        ]
        for request_id in expired_ids:
            self._release(request_id)
        late = [
            waiting
            for waiting in self._waiting_entries.values()
            if waiting.deadline_ms <= now_ms
        ]
        for waiting in late:
            self._drop_waiting(waiting.request_id)
        expirations: list[Action] = [
            Expire(request_id=expired.request_id, entry_id=expired.entry_id)
            for expired in late
        ]
        return expirations + self._decide(now_ms)

    def _decide(self, now_ms: float) -> list[Action]:
        grants: list[Action] = []
        for waiting in list(self._queue):
            if not any(load.has_room for load in self._loads_by_id.values()):
                break
            load = self._place(waiting, now_ms)
            if load is not None:
                grants.append(self._grant(waiting, load, now_ms))
        return grants

    def _place(self, waiting: WaitingRequest, now_ms: float) -> ServerLoad | None:
        for version_id in self._router.preferred_versions(waiting, now_ms):
            loads = [
                load
                for load in self._loads_by_id.values()
                if load.has_room
                and load.info.version_id == version_id
                and load.info.server_id not in waiting.excluded_server_ids
            ]
            if loads:
                return min(loads, key=attrgetter('tokens', 'info.server_id'))
        return None

    def _grant(self, waiting: WaitingRequest, load: ServerLoad, now_ms: float) -> Grant:
        self._drop_waiting(waiting.request_id)
        grant = Grant(
            request_id=waiting.request_id,
            entry_id=waiting.entry_id,
            server_id=load.info.server_id,
            version_id=load.info.version_id,
            expires_ms=min(now_ms + GRANT_VALID_MS, waiting.deadline_ms),
        )
        self._hold(ActiveGrant(grant=grant, work=waiting.work))
        self._router.on_granted(waiting, grant.version_id, now_ms)
        return grant

    def _hold(self, active: ActiveGrant) -> None:
        self._active_by_id[active.grant.request_id] = active
        load = self._loads_by_id.get(active.grant.server_id)
        if load is not None:
            load.take(active.work)

    def _release(self, request_id: str) -> None:
        active = self._active_by_id.pop(request_id, None)
        if active is None:
            return
        load = self._loads_by_id.get(active.grant.server_id)
        if load is not None:
            load.give_back(active.work)

    def _drop_waiting(self, request_id: str) -> None:
        self._queue.remove(request_id)
        self._waiting_entries.pop(request_id, None)
