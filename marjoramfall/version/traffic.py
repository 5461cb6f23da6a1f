"""Track the traffic of one route and the load of a service during a move."""

from dataclasses import dataclass

from marjoramfall.request.events import FinishReport
from marjoramfall.version.betting import clean_evidence
from marjoramfall.version.share import FOLLOWING, RIGOURS, Rigour, ShareController

MIN_RATE_PERIOD_MS = 5000
LOAD_START_STEP = 0.05
# The connections of a server that dies break within this time.
BURST_MS = 250
# Two failures are too few for a withdrawal; counting only one would lose much
# of the evidence on a version that fails now and then.
BURST_FAILURES = 2
LOAD_START_REQUESTS = 300
# The median takes this long to follow a lasting change by a factor of e, so
# that bursts of some ten seconds count as high load until they end.
LOAD_PERIOD_MS = 120_000
# A steady load is never high; without this distance it would be high at every
# second request, in step with the counter that chooses the new version.
HIGH_LOAD_RATIO = 1.25
# High load is examined on its own once the old version has met it this often.
HIGH_LOAD_RESULTS = 20
HIGH_LOAD_FAULT_RATE = 0.35
HIGH_LOAD_ODDS = 6


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """Remember the circumstances of a grant until its result arrives."""

    route: str
    is_new: bool
    level: int
    share: float
    high_load: bool
    granted_ms: float


class FailureBursts:
    """Leave out most of the requests that break off together at one server."""

    def __init__(self) -> None:
        self._bursts_by_server: dict[str, tuple[float, int]] = {}

    def repeats(self, report: FinishReport, record: GrantRecord, now_ms: float) -> bool:
        """Return whether enough failures of the same burst were counted."""
        began_ms, counted = self._bursts_by_server.get(
            report.server_id, (float('-inf'), 0)
        )
        if now_ms - began_ms >= BURST_MS:
            began_ms, counted = now_ms, 0
        elif record.granted_ms < began_ms and counted >= BURST_FAILURES:
            return True
        self._bursts_by_server[report.server_id] = (began_ms, counted + 1)
        return False


class LoadClassifier:
    """Tell high load by the running median of the requests in flight."""

    def __init__(self) -> None:
        self._median = float(1)
        self._seen = 0
        self._seen_ms = float(0)

    def is_high(self, in_flight: int, now_ms: float) -> bool:
        """Return whether the load is high, and follow the median."""
        step = LOAD_START_STEP
        if self._seen >= LOAD_START_REQUESTS:
            step = min((now_ms - self._seen_ms) / LOAD_PERIOD_MS, LOAD_START_STEP)
        self._seen += 1
        self._seen_ms = now_ms
        step *= max(self._median, 1)
        self._median += step if in_flight > self._median else -step
        self._median = max(self._median, 0)
        return in_flight > self._median * HIGH_LOAD_RATIO


class RouteTraffic:
    """Hold the share, the pending grants and the counts of one route."""

    def __init__(self, share: ShareController, *, started_ms: float) -> None:
        self.share = share
        self.granted = 0
        self.pending_new = 0
        self._started_ms = started_ms
        self._high_load_old = 0
        self._high_clean = 0
        self._high_faulty = 0

    def on_result(self, record: GrantRecord, *, clean: bool, failed: bool) -> None:
        """Count a dispatched result."""
        if record.is_new:
            self.share.on_result(record.level, clean=clean, failed=failed)
            self._high_clean += clean and record.high_load
            self._high_faulty += record.high_load and not clean
        else:
            self._high_load_old += record.high_load

    def consider_step(
        self, now_ms: float, remaining_ms: float, *, leading_level: int
    ) -> bool:
        """Raise the share if the evidence suffices; return whether it changed."""
        rigour = self._rigour(now_ms, remaining_ms, leading_level)
        in_hurry = rigour not in RIGOURS[:2]
        if in_hurry or self._high_load_seen():
            return self.share.step(rigour)
        return False

    def expected_requests(self, now_ms: float, remaining_ms: float) -> float:
        """Return the requests to be expected in the remaining time."""
        period_ms = max(now_ms - self._started_ms, MIN_RATE_PERIOD_MS)
        return self.granted / period_ms * remaining_ms

    def needed_requests(self, leading_level: int) -> float:
        """Return the least number of requests that a good version needs."""
        return self.share.requests_needed(self._least_rigour(leading_level))

    def is_rare(self, now_ms: float, remaining_ms: float, leading_level: int) -> bool:
        """Return whether the route has too little traffic to be judged at all."""
        if self.share.proven:
            return False
        expected = self.expected_requests(now_ms, remaining_ms)
        return expected < self.needed_requests(leading_level)

    def _rigour(self, now_ms: float, remaining_ms: float, leading_level: int) -> Rigour:
        expected = self.expected_requests(now_ms, remaining_ms)
        for rigour in RIGOURS:
            if self.share.fits(rigour, expected):
                return rigour
        return self._least_rigour(leading_level)

    def _least_rigour(self, leading_level: int) -> Rigour:
        return FOLLOWING if leading_level > self.share.level else RIGOURS[-1]

    def _high_load_seen(self) -> bool:
        if self._high_load_old < HIGH_LOAD_RESULTS:
            return True
        evidence = clean_evidence(
            self._high_clean, self._high_faulty, HIGH_LOAD_FAULT_RATE
        )
        return evidence >= HIGH_LOAD_ODDS
