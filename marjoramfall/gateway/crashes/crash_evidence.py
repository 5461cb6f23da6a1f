"""Keep which requests were at servers that crashed, and what was served since."""

from collections.abc import Iterable, Set

from marjoramfall.clock import Clock
from marjoramfall.gateway.crashes.crash_causes import (
    Crash,
    CrashCause,
    find_crash_causes,
)
from marjoramfall.gateway.crashes.crash_report import (
    CrashedRequest,
    CrashReport,
    EvidenceReport,
    ServedCause,
)
from marjoramfall.gateway.model import BackendServer, ServerRun

CRASH_MEMORY_MS = 600_000.0
MAX_CRASHES = 64
MAX_REQUESTS_PER_CRASH = 12
MAX_PARTS_PER_REQUEST = 8
MAX_SERVED_CAUSES = 8192
# With the bounds above and that of a part's id, the evidence fits into a datagram.
MAX_REPORTED_CRASHES = 8


class CrashEvidence:
    """Merge the crashes that this entry and its peers saw.

    Merging a report again changes nothing, so that reports may be repeated and
    passed on in any order.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crash_by_run: dict[ServerRun, Crash] = {}
        # The newest last.
        self._served_ms_by_cause: dict[str, float] = {}
        self._suspect_ids: set[str] = set()

    def add_crash(self, server: BackendServer, request: CrashedRequest) -> bool:
        """Add a request that had begun at a server; return whether that is new."""
        return self._add_request(server.run, self._clock.monotonic_ms(), request)

    def add_served(self, cause_ids: Iterable[str], begun_ms: float) -> bool:
        """Add a complete response; return whether that clears anything of a crash."""
        clears_cause = False
        for cause_id in cause_ids:
            previous_ms = self._served_ms_by_cause.pop(cause_id, 0)
            self._served_ms_by_cause[cause_id] = max(begun_ms, previous_ms)
            cleared = cause_id in self._suspect_ids and any(
                previous_ms <= crash.at_ms < begun_ms
                for crash in self._crash_by_run.values()
                if cause_id in crash.cause_ids()
            )
            clears_cause = clears_cause or cleared
        if len(self._served_ms_by_cause) > MAX_SERVED_CAUSES:
            self._served_ms_by_cause.pop(next(iter(self._served_ms_by_cause)))
        return clears_cause

    def merge(self, report: EvidenceReport) -> bool:
        """Add what a peer knows; return whether any of it is new."""
        now_ms = self._clock.monotonic_ms()
        is_new = False
        for crash in filter(_is_recent, report.crashes):
            run = ServerRun(crash.server_id, crash.born_ms)
            for request in crash.requests:
                added = self._add_request(run, now_ms - crash.age_ms, request)
                is_new = is_new or added
        for served in report.served:
            begun_ms = now_ms - served.age_ms
            if begun_ms > self._served_ms_by_cause.get(served.cause_id, 0):
                cleared = self.add_served((served.cause_id,), begun_ms)
                is_new = is_new or cleared
        return is_new

    def report(self, first_cause_ids: Set[str]) -> EvidenceReport | None:
        """Return the newest crashes and what of them was served, None if none.

        Crashes with one of `first_cause_ids` go before all others.
        """
        if not self._crash_by_run:
            return None
        now_ms = self._clock.monotonic_ms()
        reported = sorted(
            self._crash_by_run.items(),
            key=lambda known: (
                first_cause_ids.isdisjoint(known[1].cause_ids()),
                -known[1].at_ms,
            ),
        )[:MAX_REPORTED_CRASHES]
        return EvidenceReport(
            crashes=[_to_report(run, crash, now_ms) for run, crash in reported],
            served=self._served(crash for _, crash in reported),
        )

    def crashes_of(self, cause_id: str) -> list[CrashReport]:
        """Return the newest crashes at which a part or request was."""
        now_ms = self._clock.monotonic_ms()
        return [
            _to_report(run, crash, now_ms)
            for run, crash in self._crash_by_run.items()
            if cause_id in crash.cause_ids()
        ][-MAX_REPORTED_CRASHES:]

    @property
    def suspect_ids(self) -> Set[str]:
        """Return the parts and requests that were at any crashed server."""
        return self._suspect_ids

    def find_causes(self, taken_ids: Set[str]) -> dict[str, CrashCause]:
        """Return by id what explains the crashes of the last minutes.

        `taken_ids` are the causes found before.
        """
        self._drop_old_crashes()
        return find_crash_causes(
            self._crash_by_run.values(), self._served_ms_by_cause, taken_ids
        )

    def _add_request(
        self, run: ServerRun, at_ms: float, request: CrashedRequest
    ) -> bool:
        request = CrashedRequest(
            request.shared_part_ids[-MAX_PARTS_PER_REQUEST:],
            request.own_part_id,
            request.fingerprint,
        )
        crash = self._crash_by_run.get(run) or self._create_crash(run, at_ms)
        if request in crash.requests or len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        crash.requests.add(request)
        self._suspect_ids.update(crash.cause_ids())
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

    def _served(self, crashes: Iterable[Crash]) -> list[ServedCause]:
        now_ms = self._clock.monotonic_ms()
        cause_ids = _all_cause_ids(crashes)
        return [
            ServedCause(cause_id, int(now_ms - self._served_ms_by_cause[cause_id]))
            for cause_id in cause_ids & self._served_ms_by_cause.keys()
        ]

    def _drop_old_crashes(self) -> None:
        oldest_ms = self._clock.monotonic_ms() - CRASH_MEMORY_MS
        for run, crash in tuple(self._crash_by_run.items()):
            if crash.at_ms < oldest_ms:
                self._crash_by_run.pop(run)
        self._suspect_ids = _all_cause_ids(self._crash_by_run.values())


def _is_recent(crash: CrashReport) -> bool:
    return 0 <= crash.age_ms <= CRASH_MEMORY_MS


def _to_report(run: ServerRun, crash: Crash, now_ms: float) -> CrashReport:
    return CrashReport(
        run.server_id, run.born_ms, int(now_ms - crash.at_ms), list(crash.requests)
    )


def _all_cause_ids(crashes: Iterable[Crash]) -> set[str]:
    return set().union(*map(Crash.cause_ids, crashes))
