"""Dispatch the waiting requests of an engine group to its servers."""

from collections.abc import Sequence

from marjoramfall.request.active_grants import ActiveGrant, ActiveGrants
from marjoramfall.request.admission import AdmissionController
from marjoramfall.request.events import (
    Action,
    CacheEvent,
    Expire,
    FinishReport,
    Grant,
    LoadReport,
    ServerInfo,
    Shed,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.request.placement import Placement
from marjoramfall.request.placement_search import PlacementSearch
from marjoramfall.request.request_queue import RequestQueue
from marjoramfall.request.server_group import ServerGroup
from marjoramfall.version.router import VersionRouter

GRANT_VALID_MS = 500


class Dispatcher:
    """Queue the requests of one group and grant them to its servers.

    All times are in milliseconds of the caller's monotonic clock. Each event
    returns the grants, sheds and expirations that follow from it.
    """

    def __init__(self, group_id: str, router: VersionRouter) -> None:
        self.group_id = group_id
        self._router = router
        self._queue = RequestQueue()
        self._admission = AdmissionController(self._queue)
        self._group = ServerGroup()
        self._search = PlacementSearch(self._queue, self._group, router)
        self._active = ActiveGrants()
        self._waiting_ids_by_entry: dict[str, set[str]] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of requests without a grant."""
        return len(self._queue)

    @property
    def active_count(self) -> int:
        """Return the number of granted requests that have not finished."""
        return len(self._active)

    def enqueue(self, waiting: WaitingRequest, now_ms: float) -> list[Action]:
        """Queue a request, or return its grant again if it is not started.

        An unstarted grant is replaced if it expired or if the request now
        excludes its server.
        """
        active = self._active.get(waiting.request_id)
        if active is not None and self._is_unusable(active, waiting, now_ms):
            self._release(waiting.request_id)
        elif active is not None:
            return [] if active.started else [active.grant]
        if waiting.request_id in self._queue:
            return []
        latest_start_ms = waiting.deadline_ms - self._group.min_unloaded_ms(
            waiting.work
        )
        if latest_start_ms <= now_ms:
            return [_expire(waiting)]
        others_waiting = len(self._queue) > 0
        self._queue.add(waiting, latest_start_ms)
        self._admission.on_arrival(waiting, latest_start_ms, now_ms)
        ids = self._waiting_ids_by_entry.setdefault(waiting.entry_id, set())
        ids.add(waiting.request_id)
        if others_waiting:
            actions = self._dispatch_new(waiting, now_ms)
            if self._admission.will_miss_deadline(waiting.tier_rank, now_ms):
                actions += self._shed(now_ms)
            return actions
        return self._dispatch_waiting(now_ms)

    def withdraw(self, request_id: str, now_ms: float) -> list[Action]:
        """Drop a request that is waiting or has an unstarted grant."""
        self._drop_waiting(request_id)
        active = self._active.get(request_id)
        if active is not None and not active.started:
            self._release(request_id)
        return self._dispatch_waiting(now_ms)

    def on_started(self, request_id: str, now_ms: float) -> list[Action]:
        """Mark a grant as started, so that it no longer expires."""
        active = self._active.get(request_id)
        if active is not None:
            active.started = True
        return []

    def on_finished(self, report: FinishReport, now_ms: float) -> list[Action]:
        """Release the credits of a request and update the estimates.

        A report that names another server is ignored: it belongs to a grant
        of an earlier dispatcher.
        """
        active = self._active.get(report.request_id)
        if active is not None and active.grant.server_id != report.server_id:
            return []
        self._release(report.request_id)
        if active is not None and report.dispatched:
            self._admission.drain_rate.on_finished(active.work.total_tokens, now_ms)
            self._group.on_finished(active, report, now_ms)
        self._router.on_finished(report, now_ms)
        return self._dispatch_waiting(now_ms)

    def on_load_report(self, report: LoadReport, now_ms: float) -> list[Action]:
        """Process the load that a server reports of itself."""
        self._group.on_load_report(report, now_ms)
        return self._dispatch_waiting(now_ms)

    def on_cache_event(self, event: CacheEvent, now_ms: float) -> list[Action]:
        """Process a change in the prefix cache of a server."""
        self._group.on_cache_event(event)
        return []

    def set_servers(self, servers: Sequence[ServerInfo], now_ms: float) -> list[Action]:
        """Replace the servers of the group; active grants keep their credits."""
        self._group.set_servers(servers, self._active)
        return self._dispatch_waiting(now_ms)

    def adopt_active(
        self,
        entry_id: str,
        request_id: str,
        server_id: str,
        version_id: str,
        work: WorkEstimate,
        now_ms: float,
    ) -> list[Action]:
        """Add a started request that an earlier dispatcher granted."""
        if self._active.get(request_id) is None:
            self._drop_waiting(request_id)
            grant = Grant(
                request_id=request_id,
                entry_id=entry_id,
                server_id=server_id,
                version_id=version_id,
                expires_ms=now_ms,
            )
            self._reserve(ActiveGrant(grant=grant, work=work, started=True), now_ms)
        return []

    def release_entry(self, entry_id: str, now_ms: float) -> list[Action]:
        """Drop all requests of an entry process that is gone."""
        for waiting_id in sorted(self._waiting_ids_by_entry.get(entry_id, ())):
            self._drop_waiting(waiting_id)
        for active_id in self._active.request_ids_of_entry(entry_id):
            self._release(active_id)
        return self._dispatch_waiting(now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Expire grants and requests and shed load; call every few milliseconds."""
        for request_id in self._active.pop_expired(now_ms):
            self._release(request_id)
        actions: list[Action] = []
        for waiting in self._admission.pop_expired(now_ms):
            self._drop_waiting(waiting.request_id)
            actions.append(_expire(waiting))
        return actions + self._dispatch_waiting(now_ms) + self._shed(now_ms)

    def _is_unusable(
        self, active: ActiveGrant, repeated: WaitingRequest, now_ms: float
    ) -> bool:
        """Return whether a repeated request cannot use its unstarted grant."""
        if active.started:
            return False
        excluded = active.grant.server_id in repeated.excluded_server_ids
        return excluded or active.grant.expires_ms <= now_ms

    def _dispatch_waiting(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        available = self._group.available_servers(now_ms)
        while available.by_id and len(self._queue):
            placement = self._search.next_placement(available, now_ms)
            if placement is None:
                break
            actions.append(self._grant_or_shed(placement, now_ms))
            self._group.refresh(available, placement.server.info.server_id, now_ms)
        saturated = not available.unreserved and len(self._queue) > 0
        self._admission.drain_rate.on_saturation(saturated=saturated, now_ms=now_ms)
        return actions

    def _dispatch_new(self, waiting: WaitingRequest, now_ms: float) -> list[Action]:
        available = self._group.available_servers(now_ms)
        if available.unreserved:
            return self._dispatch_waiting(now_ms)
        # The requests that were already waiting could not be placed before, and
        # this arrival does not change that, so only the new request is tried.
        placement = self._search.place_new(waiting, available, now_ms)
        return [] if placement is None else [self._grant_or_shed(placement, now_ms)]

    def _grant_or_shed(self, placement: Placement, now_ms: float) -> Action:
        waiting = placement.waiting
        if placement.meets_deadline(now_ms):
            return self._grant(placement, now_ms)
        # A request of a higher tier is granted although it misses its deadline:
        # only the lowest waiting tier may be shed.
        if self._queue.waiting_ranks()[-1] == waiting.tier_rank:
            return self._shed_one(waiting, now_ms)
        return self._grant(placement, now_ms)

    def _grant(self, placement: Placement, now_ms: float) -> Grant:
        waiting = placement.waiting
        self._drop_waiting(waiting.request_id, granted=True)
        info = placement.server.info
        grant = Grant(
            request_id=waiting.request_id,
            entry_id=waiting.entry_id,
            server_id=info.server_id,
            version_id=info.version_id,
            expires_ms=min(now_ms + GRANT_VALID_MS, waiting.deadline_ms),
            tier_rank=waiting.tier_rank,
        )
        active = ActiveGrant(
            grant=grant,
            work=waiting.work,
            deadline_ms=waiting.deadline_ms,
            expected_cached=placement.cached_tokens,
            predicted_first_ms=placement.first_token_ms,
        )
        self._reserve(active, now_ms)
        self._group.record_prefix(waiting, placement.server)
        self._router.on_granted(waiting, grant.version_id, now_ms)
        return grant

    def _shed(self, now_ms: float) -> list[Action]:
        sheds: list[Action] = []
        waiting = self._admission.next_to_shed(now_ms)
        while waiting is not None:
            sheds.append(self._shed_one(waiting, now_ms))
            waiting = self._admission.next_to_shed(now_ms)
        return sheds

    def _shed_one(self, waiting: WaitingRequest, now_ms: float) -> Shed:
        rank = waiting.tier_rank
        retry_after_ms = self._admission.retry_after_ms(rank, now_ms)
        self._drop_waiting(waiting.request_id)
        return Shed(
            request_id=waiting.request_id,
            entry_id=waiting.entry_id,
            tier_rank=rank,
            reason='overload',
            retry_after_ms=retry_after_ms,
        )

    def _reserve(self, active: ActiveGrant, now_ms: float) -> None:
        self._active.add(active)
        self._group.reserve(active, now_ms)

    def _release(self, request_id: str) -> ActiveGrant | None:
        active = self._active.remove(request_id)
        if active is not None:
            self._group.release(active)
        return active

    def _drop_waiting(self, request_id: str, *, granted: bool = False) -> None:
        waiting = self._queue.get(request_id)
        if waiting is None:
            return
        self._queue.remove(request_id, granted=granted)
        ids = self._waiting_ids_by_entry[waiting.entry_id]
        ids.discard(request_id)
        if not ids:
            self._waiting_ids_by_entry.pop(waiting.entry_id)


def _expire(waiting: WaitingRequest) -> Expire:
    return Expire(
        request_id=waiting.request_id,
        entry_id=waiting.entry_id,
        tier_rank=waiting.tier_rank,
    )
