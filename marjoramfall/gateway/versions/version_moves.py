"""Move the traffic of services to new versions, or roll it back."""

import math
import random
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.model import VersionMove
from marjoramfall.gateway.peers.peer_state import MoveReport
from marjoramfall.gateway.revision import era_of, number_of
from marjoramfall.gateway.versions.version_results import VersionResult

# The canary gets half of the exposure that operators allow a bad version, so
# that some is left if it starts to fail later.
CANARY_SHARE_FACTOR = 0.5
# Shares of the duration of a move. The canary phase is long, as a version may
# fail only later or under load; all traffic switches early enough to observe
# the version under full load before the move completes.
RAISE_ELAPSED_SHARE = 0.3
SWITCH_ELAPSED_SHARE = 0.6
COMPLETE_ELAPSED_SHARE = 0.85
# The latest a version may lack results: its end is recorded before the deadline.
GIVE_UP_ELAPSED_SHARE = 0.95
# A version needs this many results, or those of a part of all requests if there are
# few, before it gets all traffic or replaces the old one.
MIN_PROOF_RESULTS = 10
PROOF_SHARE_OF_REQUESTS = 0.25
# Shares of the requests that a version gets while it lacks results.
RAISED_SHARE_FACTOR = 4.0
LATE_PROOF_SHARE = 0.5
# A version is withdrawn only after this many bad results.
MIN_BAD_RESULTS = 4
# The rate of bad results of the new version may exceed that of the old version by
# this much, as both differ by chance and by the servers that are slow or fail.
BAD_RATE_MARGIN = 0.08
# How many standard errors a rate of few results may lie above the true one.
CONFIDENCE_Z = 2.0
# A response is slow if it starts later than this multiple of the usual time of
# its route plus a margin.
SLOW_RATIO = 2.5
SLOW_MARGIN_MS = 20.0
BASELINE_SMOOTHING = 0.1


class Phase(IntEnum):
    """Name the phases of a move; a higher one reported by a peer prevails.

    Entries stop using a withdrawn version at once; it counts as rolled back once
    that end of the move is recorded in the store.
    """

    RUNNING = 0
    WITHDRAWN = 1
    COMPLETED = 2
    ROLLED_BACK = 3


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Restrict a request to one version, or exclude one."""

    only: str | None = None
    excluded: str | None = None

    def allows(self, version: str) -> bool:
        """Return whether a server that runs the version may be used."""
        if self.only is not None:
            return version == self.only
        return version != self.excluded or self.excluded is None


ANY_VERSION = VersionChoice()


@dataclass(slots=True)
class Results:
    """Count results and bad results of the new version and of all others.

    A result is bad if the request failed or its response started late. `requests`
    were to get a server of either version, and may have got no answer.
    """

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0
    requests: int = 0

    def add(self, other: 'Results') -> None:
        """Add the counts of another entry."""
        self.new += other.new
        self.new_bad += other.new_bad
        self.old += other.old
        self.old_bad += other.old_bad
        self.requests += other.requests

    def is_proof(self) -> bool:
        """Return whether there are enough results to tell that the version is sound."""
        needed = min(MIN_PROOF_RESULTS, PROOF_SHARE_OF_REQUESTS * self.requests)
        return self.new >= needed

    def is_bad(self) -> bool:
        """Return whether the new version has clearly more bad results than others."""
        if self.new_bad < MIN_BAD_RESULTS:
            return False
        baseline_rate = self.old_bad / self.old if self.old else 0
        return lowest_rate(self.new_bad, self.new) > baseline_rate + BAD_RATE_MARGIN


@dataclass(slots=True)
class Move:
    """Track the move that one order requests, at this entry."""

    order: VersionMove
    started_ms: float
    phase: Phase = Phase.RUNNING
    own: Results = field(default_factory=Results)
    peer_results_by_vm: dict[str, Results] = field(default_factory=dict)

    def elapsed_share(self, now_ms: float) -> float:
        """Return the elapsed share of the ordered duration; it may exceed 1."""
        total_ms = max(1, self.order.duration_s * MS_PER_SECOND)
        return (now_ms - self.started_ms) / total_ms

    def results(self) -> Results:
        """Return the sum of the counts of all entries."""
        return self.results_of(self.peer_results_by_vm.keys(), with_own=True)

    def results_of(self, sources: Iterable[str], *, with_own: bool) -> Results:
        """Return the sum of the counts of some entries or groups."""
        total = Results()
        if with_own:
            total.add(self.own)
        for source in sources:
            total.add(self.peer_results_by_vm.get(source, Results()))
        return total


class VersionMoves:
    """Decide which versions requests may use and when a move ends."""

    def __init__(self, clock: Clock, *, expose_share: float) -> None:
        self._clock = clock
        self._canary_share = expose_share * CANARY_SHARE_FACTOR
        self._move_by_service: dict[str, Move] = {}
        self._baseline_ms_by_route: dict[str, float] = defaultdict(float)

    @property
    def moves(self) -> list[Move]:
        """Return the latest move of each service."""
        return list(self._move_by_service.values())

    def set_expose_share(self, expose_share: float) -> None:
        """Change the share of requests that a bad version may get."""
        self._canary_share = expose_share * CANARY_SHARE_FACTOR

    def begin(self, order: VersionMove, *, elapsed_ms: float = 0) -> None:
        """Start the move of an order; an older or known order changes nothing.

        A move goes on if a restored store has its order under another revision.
        """
        known = self._move_by_service.get(order.service_id)
        if known is not None and known.order.revision >= order.revision:
            return
        if known is not None and known.order.is_repeated_by(order):
            known.order = order
            return
        started_ms = self._clock.monotonic_ms() - elapsed_ms
        self._move_by_service[order.service_id] = Move(order, started_ms)
        logger.bind(
            service=order.service_id,
            version=order.version,
            era=era_of(order.revision),
            revision=number_of(order.revision),
        ).info('version move started')

    def choose(self, service_id: str, *, is_in_touch: bool = True) -> VersionChoice:
        """Return which versions the next request of a service may use.

        While the entry is not in touch with its peers, they may have withdrawn the
        new version without its knowledge.
        """
        move = self._move_by_service.get(service_id)
        if move is None or move.phase is Phase.COMPLETED:
            return ANY_VERSION
        version = move.order.version
        if move.phase is not Phase.RUNNING or not is_in_touch:
            return VersionChoice(excluded=version)
        move.own.requests += 1
        if random.random() < self._new_share(move):
            return VersionChoice(only=version)
        return VersionChoice(excluded=version)

    def on_result(self, result: VersionResult) -> None:
        """Count the result of a request and withdraw the version if it is bad."""
        if self._had_too_little_time(result):
            return
        move = self._move_by_service.get(result.service_id)
        is_new = move is not None and move.order.version == result.version
        is_bad = bool(result.failure) or self._is_slow(
            result.route, result.first_response_ms
        )
        if not is_new and result.first_response_ms is not None and not result.failure:
            self._update_baseline(result.route, result.first_response_ms)
        if move is None:
            return
        if is_bad and move.phase is Phase.RUNNING:
            self._log_bad_result(result)
        if is_new:
            move.own.new += 1
            move.own.new_bad += is_bad
        else:
            move.own.old += 1
            move.own.old_bad += is_bad
        self._withdraw_if_bad(move)

    def on_reports(self, vm: str, reports: list[MoveReport]) -> None:
        """Take over the results and phases that a peer reports."""
        for report in reports:
            move = self._move_by_service.get(report.service_id)
            if move is None or move.order.revision != report.revision:
                continue
            started_ms = self._clock.monotonic_ms() - report.elapsed_ms
            move.started_ms = min(move.started_ms, started_ms)
            move.peer_results_by_vm[vm] = Results(
                report.new,
                report.new_bad,
                report.old,
                report.old_bad,
                report.requests,
            )
            if report.phase > move.phase:
                self._change_phase(move, Phase(report.phase), f'reported by {vm}')
            self._withdraw_if_bad(move)

    def keep_sources(self, sources: set[str]) -> None:
        """Drop the counts of all other groups and entries."""
        for move in self._move_by_service.values():
            for source in move.peer_results_by_vm.keys() - sources:
                move.peer_results_by_vm.pop(source)

    def reports(
        self, sources: Collection[str] = (), *, with_own: bool = True
    ) -> list[MoveReport]:
        """Return the reports of all moves, with the counts of some other sources."""
        return [
            self._report(move, move.results_of(sources, with_own=with_own))
            for move in self._move_by_service.values()
        ]

    def due_end(self, move: Move) -> Phase | None:
        """Return the end of a move to record in the store now, None if none is due."""
        if move.phase is Phase.WITHDRAWN:
            return Phase.ROLLED_BACK
        elapsed = move.elapsed_share(self._clock.monotonic_ms())
        if move.phase is not Phase.RUNNING or elapsed < COMPLETE_ELAPSED_SHARE:
            return None
        if move.results().is_proof():
            return Phase.COMPLETED
        if elapsed < GIVE_UP_ELAPSED_SHARE:
            return None
        self._change_phase(move, Phase.WITHDRAWN, 'too few results')
        return Phase.ROLLED_BACK

    def end(self, move: Move, *, completed: bool) -> None:
        """Enter the final phase once the end of a move is recorded."""
        phase = Phase.COMPLETED if completed else Phase.ROLLED_BACK
        self._change_phase(move, phase, 'recorded')

    def _new_share(self, move: Move) -> float:
        """Return the share of the requests that the new version gets."""
        elapsed = move.elapsed_share(self._clock.monotonic_ms())
        if elapsed < RAISE_ELAPSED_SHARE:
            return self._canary_share
        is_proven = move.results().is_proof()
        if elapsed >= SWITCH_ELAPSED_SHARE:
            return 1 if is_proven else LATE_PROOF_SHARE
        return self._canary_share * (1 if is_proven else RAISED_SHARE_FACTOR)

    def _report(self, move: Move, results: Results) -> MoveReport:
        return MoveReport(
            service_id=move.order.service_id,
            revision=move.order.revision,
            elapsed_ms=int(self._clock.monotonic_ms() - move.started_ms),
            phase=int(move.phase),
            new=results.new,
            new_bad=results.new_bad,
            old=results.old,
            old_bad=results.old_bad,
            requests=results.requests,
        )

    def _withdraw_if_bad(self, move: Move) -> None:
        if move.phase is Phase.RUNNING and move.results().is_bad():
            self._change_phase(move, Phase.WITHDRAWN, 'fails more than the old version')

    def _change_phase(self, move: Move, phase: Phase, reason: str) -> None:
        move.phase = phase
        results = move.results()
        logger.bind(
            service=move.order.service_id,
            version=move.order.version,
            phase=phase.name.lower(),
            reason=reason,
            new=results.new,
            new_bad=results.new_bad,
            old=results.old,
            old_bad=results.old_bad,
            requests=results.requests,
        ).info('version move phase changed')

    def _had_too_little_time(self, result: VersionResult) -> bool:
        """Return whether a request ran out of time before its server was slow."""
        timed_out_ms = result.timed_out_ms
        return timed_out_ms is not None and not self._is_slow(
            result.route, timed_out_ms
        )

    def _log_bad_result(self, result: VersionResult) -> None:
        logger.bind(
            request=result.attempt_id,
            service=result.service_id,
            version=result.version,
            route=result.route,
            reason=result.failure or 'slow',
            first_response_ms=result.first_response_ms,
            timed_out_ms=result.timed_out_ms,
            usual_ms=round(self._baseline_ms_by_route[result.route], 1),
        ).info('bad result counted for a version move')

    def _is_slow(self, route: str, first_response_ms: float | None) -> bool:
        baseline_ms = self._baseline_ms_by_route[route]
        if first_response_ms is None or not baseline_ms:
            return False
        return first_response_ms > SLOW_RATIO * baseline_ms + SLOW_MARGIN_MS

    def _update_baseline(self, route: str, first_response_ms: float) -> None:
        baseline_ms = self._baseline_ms_by_route[route] or first_response_ms
        updated_ms = baseline_ms + BASELINE_SMOOTHING * (
            first_response_ms - baseline_ms
        )
        self._baseline_ms_by_route[route] = updated_ms


def lowest_rate(events: int, results: int) -> float:
    """Return the lowest rate that explains the events: the Wilson lower bound."""
    rate = events / results
    square = CONFIDENCE_Z * CONFIDENCE_Z
    spread = math.sqrt(rate * (1 - rate) / results + square / (2 * results) ** 2)
    centre = rate + square / (2 * results)
    return (centre - CONFIDENCE_Z * spread) / (1 + square / results)
