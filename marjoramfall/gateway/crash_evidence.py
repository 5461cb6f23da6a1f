"""Keep which prompt parts were at servers that crashed, and which were served."""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from itertools import chain

from marjoramfall.clock import Clock
from marjoramfall.gateway.crash_report import (
    CrashedRequest,
    CrashReport,
    EvidenceReport,
    ServedPart,
)
from marjoramfall.gateway.crashing_parts import Crash, CrashingPart, find_crashing_parts
from marjoramfall.gateway.model import BackendServer

CRASH_MEMORY_MS = 600_000.0
MAX_CRASHES = 64
MAX_REQUESTS_PER_CRASH = 8
MAX_PARTS_PER_REQUEST = 8
MAX_SERVED_PARTS = 8192
# With the bounds above and that of a part's id, the evidence fits into a datagram.
MAX_REPORTED_CRASHES = 8


@dataclass(frozen=True, slots=True)
class ServerRun:
    """Identify one incarnation of a server."""

    server_id: str
    born_ms: int


class CrashEvidence:
    """Merge the crashes that this entry and its peers saw.

    Merging a report again changes nothing, so that reports may be repeated and
    passed on in any order.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crash_by_run: dict[ServerRun, Crash] = {}
        # The newest last.
        self._served_ms_by_part: dict[str, float] = {}
        self._suspect_ids: set[str] = set()

    def add_crash(self, server: BackendServer, request: CrashedRequest) -> bool:
        """Add a request that had begun at a server; return whether that is new."""
        run = ServerRun(server.server_id, server.born_ms)
        return self._add_request(run, self._clock.monotonic_ms(), request)

    def add_served(self, part_ids: Iterable[str], begun_ms: float) -> bool:
        """Add a complete response; return whether that clears a part of a crash."""
        clears_part = False
        for part_id in part_ids:
            previous_ms = self._served_ms_by_part.pop(part_id, 0)
            self._served_ms_by_part[part_id] = max(begun_ms, previous_ms)
            cleared = part_id in self._suspect_ids and any(
                previous_ms <= crash.at_ms < begun_ms
                for crash in self._crash_by_run.values()
                if part_id in crash.part_ids()
            )
            clears_part = clears_part or cleared
        if len(self._served_ms_by_part) > MAX_SERVED_PARTS:
            self._served_ms_by_part.pop(next(iter(self._served_ms_by_part)))
        return clears_part

    def merge(self, report: EvidenceReport) -> bool:
        """Add what a peer knows; return whether any of it is new."""
        now_ms = self._clock.monotonic_ms()
        is_new = False
        for crash in report.crashes:
            run = ServerRun(crash.server_id, crash.born_ms)
            for request in crash.requests:
                added = self._add_request(run, now_ms - crash.age_ms, request)
                is_new = is_new or added
        for served in report.served_parts:
            begun_ms = now_ms - served.age_ms
            if begun_ms > self._served_ms_by_part.get(served.part_id, 0):
                cleared = self.add_served((served.part_id,), begun_ms)
                is_new = is_new or cleared
        return is_new

    def report(self, first_part_ids: Set[str]) -> EvidenceReport | None:
        """Return the newest crashes and the served parts in them, None if none.

        Crashes with one of `first_part_ids` go before all others.
        """
        if not self._crash_by_run:
            return None
        now_ms = self._clock.monotonic_ms()
        reported = sorted(
            self._crash_by_run.items(),
            key=lambda known: (
                first_part_ids.isdisjoint(known[1].part_ids()),
                -known[1].at_ms,
            ),
        )[:MAX_REPORTED_CRASHES]
        return EvidenceReport(
            crashes=[_to_report(run, crash, now_ms) for run, crash in reported],
            served_parts=self._served_parts(crash for _, crash in reported),
        )

    def crashes_of(self, part_id: str) -> list[CrashReport]:
        """Return the newest crashes at which a part was."""
        now_ms = self._clock.monotonic_ms()
        return [
            _to_report(run, crash, now_ms)
            for run, crash in self._crash_by_run.items()
            if part_id in crash.part_ids()
        ][-MAX_REPORTED_CRASHES:]

    @property
    def suspect_ids(self) -> Set[str]:
        """Return the parts that were at any crashed server."""
        return self._suspect_ids

    def find_crashing_parts(self) -> dict[str, CrashingPart]:
        """Return by id the parts that explain the crashes of the last minutes."""
        self._drop_old_crashes()
        return find_crashing_parts(self._crash_by_run.values(), self._served_ms_by_part)

    def _add_request(
        self, run: ServerRun, at_ms: float, request: CrashedRequest
    ) -> bool:
        request = CrashedRequest(
            request.shared_part_ids[-MAX_PARTS_PER_REQUEST:], request.own_part_id
        )
        crash = self._crash_by_run.get(run) or self._create_crash(run, at_ms)
        if request in crash.requests or len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        crash.requests.add(request)
        self._suspect_ids.update(request.shared_part_ids)
        return True

    def _create_crash(self, run: ServerRun, at_ms: float) -> Crash:
        if len(self._crash_by_run) >= MAX_CRASHES:
            oldest = min(
                self._crash_by_run, key=lambda known: self._crash_by_run[known].at_ms
            )
            self._crash_by_run.pop(oldest)
        crash = Crash(at_ms)
        self._crash_by_run[run] = crash
        return crash

    def _served_parts(self, crashes: Iterable[Crash]) -> list[ServedPart]:
        now_ms = self._clock.monotonic_ms()
        part_ids = _all_part_ids(crashes)
        return [
            ServedPart(part_id, int(now_ms - self._served_ms_by_part[part_id]))
            for part_id in part_ids & self._served_ms_by_part.keys()
        ]

    def _drop_old_crashes(self) -> None:
        oldest_ms = self._clock.monotonic_ms() - CRASH_MEMORY_MS
        for run, crash in tuple(self._crash_by_run.items()):
            if crash.at_ms < oldest_ms:
                self._crash_by_run.pop(run)
        self._suspect_ids = _all_part_ids(self._crash_by_run.values())


def _to_report(run: ServerRun, crash: Crash, now_ms: float) -> CrashReport:
    return CrashReport(
        run.server_id, run.born_ms, int(now_ms - crash.at_ms), list(crash.requests)
    )


def _all_part_ids(crashes: Iterable[Crash]) -> set[str]:
    return set(chain.from_iterable(map(Crash.part_ids, crashes)))
