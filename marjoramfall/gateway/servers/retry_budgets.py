"""Keep the retry budget of each service, and report its use to other entries."""

import random
from collections import defaultdict
from collections.abc import Iterable

from marjoramfall.gateway.peers.group_digest import GroupDigest, Scope
from marjoramfall.gateway.peers.peer_state import PeerState, RetryUse
from marjoramfall.gateway.servers.retry_budget import (
    Draw,
    RetryBounds,
    RetryBudget,
)
from marjoramfall.gateway.servers.retry_reports import RetryReports, SharedRetryUse


class RetryBudgets:
    """Keep a retry budget for each service, which all entries share.

    An entry that starts again, at `restarted_ms`, does not know what was spent
    before. It uses the budget as far as it has seen the window.
    """

    def __init__(
        self,
        bounds: RetryBounds,
        *,
        restarted_ms: float | None = None,
        draw: Draw = random.random,
    ) -> None:
        self._bounds = bounds
        self._restarted_ms = restarted_ms
        self._draw = draw
        self._reports = RetryReports(bounds.window_ms)
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            self._create_budget
        )

    def find(self, service_id: str) -> RetryBudget:
        """Return the budget of a service, created on first use."""
        return self._budget_by_service[service_id]

    def replace_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds of all services."""
        self._bounds = bounds
        self._reports.window_ms = bounds.window_ms
        for budget in self._budget_by_service.values():
            budget.replace_bounds(bounds)

    def add_state(self, state: PeerState, now_ms: float) -> None:
        """Take over what an entry of the own group reports."""
        self._reports.add_state(state, now_ms)

    def add_digest(self, digest: GroupDigest, now_ms: float) -> None:
        """Take over what another group reports, or all others."""
        self._reports.add_digest(digest, now_ms)

    def uses(self, now_ms: float) -> list[RetryUse]:
        """Return the use of each service in the window of this entry."""
        uses = [
            budget.use(service_id, now_ms)
            for service_id, budget in self._budget_by_service.items()
        ]
        return [use for use in uses if use.requests or use.retries or use.waiting]

    def digest_uses(self, scope: Scope, now_ms: float) -> list[RetryUse]:
        """Return the use by the own group, or by all others."""
        return [
            self._digest_use(service_id, scope, now_ms)
            for service_id in sorted(self._service_ids())
        ]

    def digest_reporters(self, scope: Scope, now_ms: float) -> int:
        """Return how many entries a digest covers."""
        # That does not depend on the service.
        if scope is Scope.GROUP:
            return 1 + self._reports.group_use('', now_ms).reporters
        return self._reports.other_groups_use('', now_ms).reporters

    def others_use(self, service_id: str, now_ms: float) -> SharedRetryUse:
        """Return what is known of the use of a service by all other entries."""
        return self._reports.others_use(service_id, now_ms)

    def known_share(self, now_ms: float) -> float:
        """Return the part of the window that this entry knows."""
        if self._restarted_ms is None:
            return 1
        return min(1, (now_ms - self._restarted_ms) / self._bounds.window_ms)

    def _digest_use(self, service_id: str, scope: Scope, now_ms: float) -> RetryUse:
        if scope is Scope.OTHER_GROUPS:
            use = self._reports.other_groups_use(service_id, now_ms)
            return RetryUse(service_id, use.requests, use.retries, use.waiting)
        use = self._reports.group_use(service_id, now_ms)
        own = self.find(service_id).use(service_id, now_ms)
        return RetryUse(
            service_id,
            own.requests + use.requests,
            own.retries + use.retries,
            own.waiting + use.waiting,
        )

    def _service_ids(self) -> Iterable[str]:
        return self._budget_by_service.keys() | self._reports.service_ids()

    def _create_budget(self) -> RetryBudget:
        return RetryBudget(self._bounds, self._draw)
