"""Track the traffic of one route and the load of a service during a move."""

from dataclasses import dataclass

from marjoramfall.request.events import FinishReport
from marjoramfall.version.betting import fault_rate_e_value
from marjoramfall.version.share import (
    FOLLOWER_REQUIREMENT,
    REQUIREMENTS,
    EvidenceRequirement,
    ShareController,
)

MIN_RATE_PERIOD_MS = 5000
MAX_MEDIAN_STEP = 0.05
# When a backend server fails, its connections break within this time.
FAILURE_BURST_MS = 250
# Two failures are too few for a withdrawal. Counting only one per burst would
# lose much of the evidence on a version that fails intermittently.
MAX_BURST_FAILURES = 2
MEDIAN_WARM_UP_REQUESTS = 300
# Time in which the median follows a lasting change by a factor of e. It is long
# enough for bursts of about ten seconds to count as high load until they end.
MEDIAN_TIME_CONSTANT_MS = 120_000
# A steady load must not count as high. Without this margin above the median it
# would at every second request, in step with the credit that selects the new
# version.
HIGH_LOAD_RATIO = 1.25
# Once the old version has this many results under high load, the new version
# needs evidence under high load of its own.
MIN_HIGH_LOAD_RESULTS = 20
HIGH_LOAD_FAULT_RATE = 0.35
HIGH_LOAD_MIN_E_VALUE = 6


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """Hold the conditions of a grant until its result arrives.

    `level` and `share` are those of the route at the time of the grant.
    """

    route: str
    is_new: bool
    level: int
    share: float
    high_load: bool
    granted_ms: float


class FailureBurstFilter:
    """Exclude most failures of a burst at one backend server from the evidence."""

    def __init__(self) -> None:
        self._bursts_by_server: dict[str, tuple[float, int]] = {}

    def is_excess(
        self, report: FinishReport, record: GrantRecord, now_ms: float
    ) -> bool:
        """Return whether the failure exceeds the limit of its burst; else count it."""
        burst_start_ms, counted_failures = self._bursts_by_server.get(
            report.server_id, (float('-inf'), 0)
        )
        if now_ms - burst_start_ms >= FAILURE_BURST_MS:
            burst_start_ms, counted_failures = now_ms, 0
        elif (
            record.granted_ms < burst_start_ms
            and counted_failures >= MAX_BURST_FAILURES
        ):
            return True
        self._bursts_by_server[report.server_id] = (
            burst_start_ms,
            counted_failures + 1,
        )
        return False


class LoadClassifier:
    """Detect high load by the running median of the requests in flight."""

    def __init__(self) -> None:
        self._median = float(1)
        self._request_count = 0
        self._updated_ms = float(0)

    def is_high(self, in_flight: int, now_ms: float) -> bool:
        """Return whether the load is high, and update the median."""
        step = MAX_MEDIAN_STEP
        if self._request_count >= MEDIAN_WARM_UP_REQUESTS:
            step = min(
                (now_ms - self._updated_ms) / MEDIAN_TIME_CONSTANT_MS, MAX_MEDIAN_STEP
            )
        self._request_count += 1
        self._updated_ms = now_ms
        step *= max(self._median, 1)
        self._median += step if in_flight > self._median else -step
        self._median = max(self._median, 0)
        return in_flight > self._median * HIGH_LOAD_RATIO


class RouteTraffic:
    """Hold the share, the pending grants and the result counts of one route."""

    def __init__(self, share: ShareController, *, started_ms: float) -> None:
        self.share = share
        self.granted = 0
        self.pending_new = 0
        self._started_ms = started_ms
        self._old_high_load_results = 0
        self._new_high_load_clean = 0
        self._new_high_load_faulty = 0

    def on_result(self, record: GrantRecord, *, clean: bool, failed: bool) -> None:
        """Count the result of a dispatched request."""
        if record.is_new:
            self.share.on_result(record.level, clean=clean, failed=failed)
            self._new_high_load_clean += clean and record.high_load
            self._new_high_load_faulty += record.high_load and not clean
        else:
            self._old_high_load_results += record.high_load

    def raise_share(
        self, now_ms: float, remaining_ms: float, *, highest_level: int
    ) -> bool:
        """Raise the share if the evidence suffices; return whether it changed."""
        requirement = self._requirement(now_ms, remaining_ms, highest_level)
        # Only the two strongest requirements include evidence under high load. The
        # others apply when few requests are expected before the deadline.
        time_is_short = requirement not in REQUIREMENTS[:2]
        if time_is_short or self._high_load_evidence_suffices():
            return self.share.raise_level(requirement)
        return False

    def expected_requests(self, now_ms: float, remaining_ms: float) -> float:
        """Return how many requests to expect in the remaining time."""
        period_ms = max(now_ms - self._started_ms, MIN_RATE_PERIOD_MS)
        return self.granted / period_ms * remaining_ms

    def needed_requests(self, highest_level: int) -> float:
        """Return how many requests a clean version needs at the least."""
        return self.share.needed_requests(self._weakest_requirement(highest_level))

    def has_too_little_traffic(
        self, now_ms: float, remaining_ms: float, highest_level: int
    ) -> bool:
        """Return whether too few requests are expected for any requirement."""
        if self.share.proven:
            return False
        expected = self.expected_requests(now_ms, remaining_ms)
        return expected < self.needed_requests(highest_level)

    def _requirement(
        self, now_ms: float, remaining_ms: float, highest_level: int
    ) -> EvidenceRequirement:
        expected = self.expected_requests(now_ms, remaining_ms)
        for requirement in REQUIREMENTS:
            if self.share.is_reachable(requirement, expected):
                return requirement
        return self._weakest_requirement(highest_level)

    def _weakest_requirement(self, highest_level: int) -> EvidenceRequirement:
        return (
            FOLLOWER_REQUIREMENT
            if highest_level > self.share.level
            else REQUIREMENTS[-1]
        )

    def _high_load_evidence_suffices(self) -> bool:
        if self._old_high_load_results < MIN_HIGH_LOAD_RESULTS:
            return True
        e_value = fault_rate_e_value(
            self._new_high_load_clean, self._new_high_load_faulty, HIGH_LOAD_FAULT_RATE
        )
        return e_value >= HIGH_LOAD_MIN_E_VALUE
