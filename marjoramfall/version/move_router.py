"""Route requests of one service between two versions during a move."""

from collections.abc import Sequence

from marjoramfall.model import Move
from marjoramfall.request.events import FinishReport, WaitingRequest
from marjoramfall.version.actions import (
    MoveAction,
    MoveAtRisk,
    MoveCounts,
    MoveEnded,
    ShareChanged,
    WithdrawVersion,
)
from marjoramfall.version.evidence import Observation, VersionEvidence
from marjoramfall.version.move import MoveController
from marjoramfall.version.router import VersionRouter
from marjoramfall.version.share import ShareController
from marjoramfall.version.traffic import (
    FailureBurstFilter,
    GrantRecord,
    LoadClassifier,
    RouteTraffic,
)

# Route names come from callers' paths, so their number has to be limited.
MAX_ROUTES = 32
OTHER_ROUTES = 'other'
# A grant is dropped after this time if its entry failed and sends no result.
MAX_PENDING_MS = 600_000
# The risk of missing the deadline is reported after this fraction of the move's
# time at the earliest.
RISK_PERIOD_FRACTION = 0.1
SMALL_ROUTE_TRAFFIC_SHARE = 0.1
MEDIUM_ROUTE_TRAFFIC_SHARE = 0.3


class MoveRouter(VersionRouter):
    """Limit the new version's share, collect evidence and end the move.

    `deadline_ms` is the move's deadline on the monotonic clock of `now_ms`.
    A withdrawal takes effect at once; `tick` returns the actions to carry out.
    """

    def __init__(self, move: Move, *, now_ms: float, deadline_ms: float) -> None:
        self.controller = MoveController(
            move, started_ms=now_ms, deadline_ms=deadline_ms
        )
        self._move = move
        self._started_ms = now_ms
        self._evidence = VersionEvidence(move.guard)
        self._load_classifier = LoadClassifier()
        self._routes: dict[str, RouteTraffic] = {}
        self._grants_by_request_id: dict[str, GrantRecord] = {}
        self._counts = MoveCounts()
        self._burst_filter = FailureBurstFilter()
        self._withdrawn: set[str] = set()
        self._actions: list[MoveAction] = []
        self._recorded_share = move.share
        self._risk_reported = False
        self._end_reported = not self.controller.running

    def preferred_versions(
        self, waiting: WaitingRequest, now_ms: float
    ) -> Sequence[str]:
        """Return the versions that may serve the request, preferred first."""
        old, new = self._move.old_version_id, self._move.new_version_id
        if new in self._withdrawn:
            return _excluding((old,), self._withdrawn)
        if self.controller.completed or old in self._withdrawn:
            return (new,)
        if not self.controller.running:
            return (old,)
        route = self._route(waiting.route, now_ms)
        if route.share.allows(waiting.work.total_tokens):
            return (new, old)
        return (old,)

    def on_granted(
        self, waiting: WaitingRequest, version_id: str, now_ms: float
    ) -> None:
        """Count a grant towards the share of its version."""
        is_new = version_id == self._move.new_version_id
        route = self._route(waiting.route, now_ms)
        self._grants_by_request_id[waiting.request_id] = GrantRecord(
            route=self._route_name(waiting.route),
            is_new=is_new,
            level=route.share.level,
            share=route.share.share,
            high_load=self._load_classifier.is_high(
                len(self._grants_by_request_id), now_ms
            ),
            granted_ms=now_ms,
        )
        route.granted += 1
        route.pending_new += is_new
        route.share.on_granted(waiting.work.total_tokens, is_new=is_new)

    def on_finished(self, report: FinishReport, now_ms: float) -> None:
        """Evaluate the result of a granted request.

        A request that was not dispatched is no evidence on its version. Of the
        requests that fail together with their backend server, only the first
        few are counted.
        """
        record = self._grants_by_request_id.pop(report.request_id, None)
        if record is None:
            return
        route = self._routes[record.route]
        route.pending_new -= record.is_new
        if not report.dispatched or not self.controller.running:
            return
        if not report.succeeded and self._burst_filter.is_excess(
            report, record, now_ms
        ):
            return
        observation = Observation(
            report=report,
            route=record.route,
            is_new=record.is_new,
            high_load=record.high_load,
            share=record.share,
        )
        clean = self._evidence.observe(observation)
        failed = not report.succeeded
        self._counts.count(is_new=record.is_new, failed=failed, clean=clean)
        route.on_result(record, clean=clean, failed=failed)
        if record.is_new and not clean:
            self._check_evidence(record.route)

    def withdraw(self, version_id: str, reason: str) -> None:
        """Stop granting requests to the version.

        Withdrawing the new version takes the move back. Withdrawing the old
        version completes the move, as only the new version is left.
        """
        if version_id in self._withdrawn:
            return
        self._withdrawn.add(version_id)
        figures = self._counts.snapshot(self._lowest_share())
        self._actions.append(
            WithdrawVersion(
                move_id=self._move.move_id,
                service_id=self._move.service_id,
                version_id=version_id,
                reason=reason,
                figures=figures,
            )
        )
        if version_id == self._move.new_version_id:
            self.controller.take_back(reason, figures)
        else:
            self.controller.complete(reason, figures)

    def tick(self, now_ms: float) -> list[MoveAction]:
        """Advance the move and return the actions to carry out."""
        self._drop_lost_grants(now_ms)
        if self.controller.running:
            self._advance(now_ms)
        if self._has_unreported_end():
            self._end_reported = True
            self._actions.append(
                MoveEnded(
                    move_id=self._move.move_id,
                    state=self.controller.state,
                    reason=self.controller.reason,
                    figures=self.controller.figures,
                )
            )
        actions = self._actions
        self._actions = []
        return actions

    def _advance(self, now_ms: float) -> None:
        remaining_ms = self.controller.remaining_ms(now_ms)
        for route in self._routes.values():
            route.raise_share(now_ms, remaining_ms, highest_level=self._highest_level())
        share = self._lowest_share()
        figures = self._counts.snapshot(share)
        if self._proven(now_ms):
            self.controller.complete('the evidence suffices on every route', figures)
        elif remaining_ms <= 0:
            self.controller.take_back('no sufficient evidence at the deadline', figures)
        elif share != self._recorded_share:
            self._recorded_share = share
            self._actions.append(ShareChanged(move_id=self._move.move_id, share=share))
        self._report_risk(now_ms, remaining_ms)

    def _proven(self, now_ms: float) -> bool:
        deciding = self._deciding_routes(now_ms)
        return bool(deciding) and all(route.share.proven for route in deciding)

    def _deciding_routes(self, now_ms: float) -> list[RouteTraffic]:
        """Return the routes that need evidence of their own to end the move.

        Routes with too little traffic for evidence keep a low share and follow
        the others when the move ends. This applies to small routes, and to
        medium ones whose results look clean.
        """
        remaining_ms = self.controller.remaining_ms(now_ms)
        highest_level = self._highest_level()
        total = sum(route.granted for route in self._routes.values())
        return [
            route
            for route in self._routes.values()
            if route.granted > total * MEDIUM_ROUTE_TRAFFIC_SHARE
            or (
                route.granted > total * SMALL_ROUTE_TRAFFIC_SHARE
                and not route.share.looks_clean()
            )
            or not route.has_too_little_traffic(now_ms, remaining_ms, highest_level)
        ]

    def _highest_level(self) -> int:
        return max((route.share.level for route in self._routes.values()), default=0)

    def _report_risk(self, now_ms: float, remaining_ms: float) -> None:
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < (elapsed_ms + remaining_ms) * RISK_PERIOD_FRACTION:
            return
        if self._risk_reported or not self.controller.running:
            return
        risk = self._deadline_risk(now_ms, remaining_ms)
        if risk is not None:
            self._risk_reported = True
            self._actions.append(risk)

    def _deadline_risk(self, now_ms: float, remaining_ms: float) -> MoveAtRisk | None:
        needed: float = 1
        expected: float = 0
        for route in self._deciding_routes(now_ms):
            needed = route.needed_requests(self._highest_level())
            expected = route.expected_requests(now_ms, remaining_ms)
            if needed > expected:
                break
        if needed <= expected:
            return None
        return MoveAtRisk(
            move_id=self._move.move_id,
            reason='too little traffic for the evidence before the deadline',
            needed_requests=int(needed),
            expected_requests=int(expected),
        )

    def _check_evidence(self, route_name: str) -> None:
        pending = self._routes[route_name].pending_new
        finding = self._evidence.finding(route_name, pending)
        if finding is None:
            return
        self._counts.e_value = finding.e_value
        reason = f'{finding.metric} on route {finding.route} at load {finding.load}'
        self.withdraw(self._move.new_version_id, reason)

    def _lowest_share(self) -> float:
        """Return the lowest share of all routes, which is recorded.

        A new dispatcher starts every route at the recorded share.
        """
        return min(
            (route.share.share for route in self._routes.values()),
            default=self._recorded_share,
        )

    def _has_unreported_end(self) -> bool:
        return not (self.controller.running or self._end_reported)

    def _route_name(self, route: str) -> str:
        if route in self._routes or len(self._routes) < MAX_ROUTES:
            return route
        return OTHER_ROUTES

    def _route(self, name: str, now_ms: float) -> RouteTraffic:
        key = self._route_name(name)
        route = self._routes.get(key)
        if route is None:
            share = ShareController(self._move.guard, recorded_share=self._move.share)
            route = RouteTraffic(share, started_ms=self._started_ms)
            self._routes[key] = route
        return route

    def _drop_lost_grants(self, now_ms: float) -> None:
        """Drop old grants; the oldest come first in the dictionary."""
        while self._grants_by_request_id:
            request_id = next(iter(self._grants_by_request_id))
            record = self._grants_by_request_id[request_id]
            if now_ms - record.granted_ms < MAX_PENDING_MS:
                return
            self._grants_by_request_id.pop(request_id)
            self._routes[record.route].pending_new -= record.is_new


def _excluding(versions: Sequence[str], withdrawn: set[str]) -> Sequence[str]:
    return tuple(version for version in versions if version not in withdrawn)
