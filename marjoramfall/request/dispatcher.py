"""Decide which waiting request of an engine group goes to which server."""

from collections.abc import Iterable, Sequence
from itertools import islice

from marjoramfall.request.active_grants import ActiveGrant, ActiveGrants
from marjoramfall.request.admission import Admission
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
from marjoramfall.request.placement import Placement, best_of, choose
from marjoramfall.request.request_queue import RequestQueue
from marjoramfall.request.server_group import ServerGroup
from marjoramfall.request.server_state import ServerState
from marjoramfall.version.router import VersionRouter

GRANT_VALID_MS = 500
# Among this many requests of the team whose turn it is, the one with the most
# cached prefix goes first, unless the first one has little slack left.
LOOKAHEAD = 8
URGENT_SLACK_MS = 2000
# Requests that no free server may serve are passed over up to this count.
MAX_PASSED_OVER = 256


class Dispatcher:
    """Order the waiting requests of one group and grant them to servers.

    All times are monotonic milliseconds of the caller's clock.
    """

    def __init__(self, group_id: str, router: VersionRouter) -> None:
        self.group_id = group_id
        self._router = router
        self._queue = RequestQueue()
        self._admission = Admission(self._queue)
        self._group = ServerGroup()
        self._active = ActiveGrants()
        self._waiting_ids_by_entry: dict[str, set[str]] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def active_count(self) -> int:
        """Return the number of granted requests that have not finished."""
        return len(self._active)

    def enqueue(self, waiting: WaitingRequest, now_ms: float) -> list[Action]:
        """Add a request; a repeated one gets its unstarted grant again."""
        active = self._active.get(waiting.request_id)
        if active is not None:
            return [] if active.started else [active.grant]
        if waiting.request_id in self._queue:
            return []
        last_start_ms = waiting.deadline_ms - self._group.least_ms(waiting.work)
        if last_start_ms <= now_ms:
            return [_expire(waiting)]
        self._queue.add(waiting, last_start_ms)
        self._admission.on_arrival(waiting, last_start_ms, now_ms)
        ids = self._waiting_ids_by_entry.setdefault(waiting.entry_id, set())
        ids.add(waiting.request_id)
        return self._decide(now_ms) + self._shed(now_ms)

    def withdraw(self, request_id: str, now_ms: float) -> list[Action]:
        """Forget a request that waits or whose grant is not started."""
        self._drop_waiting(request_id)
        active = self._active.get(request_id)
        if active is not None and not active.started:
            self._release(request_id)
        return self._decide(now_ms)

    def on_started(self, request_id: str, now_ms: float) -> list[Action]:
        """Keep the credits of a grant until its request finishes."""
        active = self._active.get(request_id)
        if active is not None:
            active.started = True
        return []

    def on_finished(self, report: FinishReport, now_ms: float) -> list[Action]:
        """Return the credits of a request and learn from its result."""
        active = self._release(report.request_id)
        if active is not None and report.dispatched:
            self._admission.drain_rate.on_finished(active.work.total_tokens, now_ms)
            self._group.on_finished(active, report, now_ms)
        self._router.on_finished(report, now_ms)
        return self._decide(now_ms)

    def on_load_report(self, report: LoadReport, now_ms: float) -> list[Action]:
        """Take a server's own report of its load."""
        self._group.on_load_report(report, now_ms)
        return self._decide(now_ms)

    def on_cache_event(self, event: CacheEvent, now_ms: float) -> list[Action]:
        """Take a change of a server's prefix cache."""
        self._group.on_cache_event(event)
        return []

    def set_servers(self, servers: Sequence[ServerInfo], now_ms: float) -> list[Action]:
        """Replace the servers of the group; credits of kept ones stay."""
        self._group.set_servers(servers)
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
        if self._active.get(request_id) is None:
            self._drop_waiting(request_id)
            grant = Grant(
                request_id=request_id,
                entry_id=entry_id,
                server_id=server_id,
                version_id=version_id,
                expires_ms=now_ms,
            )
            self._hold(ActiveGrant(grant=grant, work=work, started=True), now_ms)
        return []

    def release_entry(self, entry_id: str, now_ms: float) -> list[Action]:
        """Forget all requests of an entry that is gone."""
        for waiting_id in sorted(self._waiting_ids_by_entry.get(entry_id, ())):
            self._drop_waiting(waiting_id)
        for active_id in self._active.of_entry(entry_id):
            self._release(active_id)
        return self._decide(now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Expire grants and deadlines; call every few milliseconds."""
        for request_id in self._active.pop_expired(now_ms):
            self._release(request_id)
        actions: list[Action] = []
        for waiting in self._admission.pop_expired(now_ms):
            self._drop_waiting(waiting.request_id)
            actions.append(_expire(waiting))
        return actions + self._decide(now_ms) + self._shed(now_ms)

    def _decide(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        free = self._group.free_servers(now_ms)
        while len(self._queue):
            placement = self._next_placement(free, now_ms)
            if placement is None:
                break
            if self._is_hopeless(placement, now_ms):
                actions.append(self._shed_one(placement.waiting, now_ms))
            else:
                actions.append(self._grant(placement, now_ms))
            free = self._group.free_servers(now_ms)
        saturated = not free and len(self._queue) > 0
        self._admission.drain_rate.on_saturation(saturated=saturated, now_ms=now_ms)
        return actions

    def _is_hopeless(self, placement: Placement, now_ms: float) -> bool:
        # Only the lowest waiting tier may be shed.
        if placement.meets_deadline(now_ms):
            return False
        return self._queue.waiting_ranks()[-1] == placement.waiting.tier_rank

    def _next_placement(
        self, free: list[ServerState], now_ms: float
    ) -> Placement | None:
        lead = self._queue.lead(LOOKAHEAD)
        slack_ms = self._queue.latest_start_ms(lead[0]) - now_ms
        if slack_ms < URGENT_SLACK_MS:
            lead = lead[:1]
        placements = list(self._placements(lead, free, now_ms))
        if placements:
            return best_of(placements)
        if not free:
            return None
        following = islice(self._queue, MAX_PASSED_OVER)
        return next(self._placements(following, free, now_ms), None)

    def _placements(
        self,
        requests: Iterable[WaitingRequest],
        free: list[ServerState],
        now_ms: float,
    ) -> Iterable[Placement]:
        for waiting in requests:
            candidates = free
            home = self._group.home_of(waiting, now_ms)
            if home is not None and home not in free:
                candidates = [*free, home]
            placement = self._place(waiting, candidates, now_ms)
            if placement is not None:
                yield placement

    def _place(
        self, waiting: WaitingRequest, candidates: list[ServerState], now_ms: float
    ) -> Placement | None:
        if not candidates:
            return None
        for version_id in self._router.preferred_versions(waiting, now_ms):
            servers = [
                server for server in candidates if server.info.version_id == version_id
            ]
            placement = choose(waiting, servers, now_ms)
            if placement is not None:
                return placement
        return None

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
        )
        active = ActiveGrant(
            grant=grant,
            work=waiting.work,
            expected_cached=placement.cached_tokens,
            predicted_first_ms=placement.first_token_ms,
        )
        self._hold(active, now_ms)
        self._group.record_prefix(waiting, placement.server)
        self._router.on_granted(waiting, grant.version_id, now_ms)
        return grant

    def _shed(self, now_ms: float) -> list[Action]:
        sheds: list[Action] = []
        waiting = self._admission.next_shed(now_ms)
        while waiting is not None:
            sheds.append(self._shed_one(waiting, now_ms))
            waiting = self._admission.next_shed(now_ms)
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

    def _hold(self, active: ActiveGrant, now_ms: float) -> None:
        self._active.add(active)
        self._group.take(active, now_ms)

    def _release(self, request_id: str) -> ActiveGrant | None:
        active = self._active.remove(request_id)
        if active is not None:
            self._group.give_back(active)
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
    return Expire(request_id=waiting.request_id, entry_id=waiting.entry_id)
