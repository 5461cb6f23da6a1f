"""Control the share of a route's traffic that goes to a new version."""

from bisect import bisect_right
from dataclasses import dataclass
from functools import lru_cache

from marjoramfall.model import MoveGuard
from marjoramfall.version.betting import fault_rate_e_value

# Unused credit is capped at this many requests, so that a version whose backend
# servers were full does not get a burst of requests later.
MAX_CREDIT_REQUESTS = 2
# At this fault score, reached by faults in close succession, the share falls
# back to the initial one until the score is below one. The evidence for a
# withdrawal takes longer to collect.
MAX_FAULT_SCORE = 3
CLEAN_RESULTS_PER_FAULT = 5
LATER_SHARES = (0.1, 0.25, 0.5, 0.9)


@dataclass(frozen=True, slots=True)
class EvidenceRequirement:
    """Define the evidence that is needed to raise the share.

    The fault rate of the current level has to be ruled out with `min_e_value`;
    a result is faulty if it failed or was slow. `min_failure_e_value` applies
    to failures alone, at `FAILURE_RATE_RATIO` times the guard's error rate.
    `levels_per_step` is the number of levels by which the share then rises.
    """

    fault_rates: tuple[float, ...]
    min_e_value: float
    levels_per_step: int = 1
    min_failure_e_value: float = 0

    def needed_clean_results(self, level: int, faulty: int = 0) -> int:
        """Return how many clean results suffice at a level beside `faulty` ones."""
        return _needed_clean_results(self.fault_rate(level), self.min_e_value, faulty)

    def fault_rate(self, level: int) -> float:
        """Return the fault rate to rule out at a level."""
        return self.fault_rates[min(level, len(self.fault_rates) - 1)]


@lru_cache(maxsize=4096)
def _needed_clean_results(fault_rate: float, min_e_value: float, faulty: int) -> int:
    count = 1
    while fault_rate_e_value(count, faulty, fault_rate) < min_e_value:
        count += 1
    return count


# Ordered from much traffic to little. With little traffic, the results until the
# deadline can only rule out that a version is grossly faulty.
REQUIREMENTS = (
    EvidenceRequirement(
        (0.15, 0.1, 0.08, 0.08, 0.08), 1_000_000, min_failure_e_value=20
    ),
    EvidenceRequirement((0.2, 0.15, 0.1, 0.08, 0.08), 100, min_failure_e_value=3),
    EvidenceRequirement((0.25, 0.2, 0.15, 0.12, 0.12), 20),
    EvidenceRequirement((0.4,), 4, levels_per_step=2),
)
# For a route with too little traffic of its own, once another route has reached
# a higher level.
FOLLOWER_REQUIREMENT = EvidenceRequirement((0.5,), 2, levels_per_step=2)
# The expected traffic must be this multiple of the needed traffic, because
# arrival rates vary and results arrive late.
TRAFFIC_MARGIN_FACTOR = 2
MIN_CLEAN_RESULTS = 2
FAILURE_RATE_RATIO = 2.2


class ShareController:
    """Hold the share of one route and raise it only on evidence."""

    def __init__(self, guard: MoveGuard, *, recorded_share: float = 0) -> None:
        initial_share = guard.max_initial_share
        self._failure_rate = min(guard.max_error_rate * FAILURE_RATE_RATIO, 0.5)
        later_shares = [share for share in LATER_SHARES if share > initial_share]
        self._shares = (initial_share, *later_shares)
        self._level = bisect_right(later_shares, recorded_share)
        self._last_level = len(later_shares)
        self._request_credit = float(0)
        self._token_credit = float(0)
        self._max_request_tokens = 1
        self._clean = 0
        self._faulty = 0
        self._failed = 0
        self._results_by_clean = {True: 0, False: 0}
        self._fault_score = float(0)
        self._throttled = False
        self.proven = False

    @property
    def share(self) -> float:
        """Return the share of the traffic that the new version may have now."""
        return self._shares[self.level]

    @property
    def level(self) -> int:
        """Return the index of the share in use, 0 while the share is throttled."""
        return 0 if self._throttled else self._level

    def allows(self, tokens: int) -> bool:
        """Return whether the next grant may go to the new version."""
        return (
            self._request_credit + self.share >= 1
            and self._token_credit + self.share * tokens >= tokens
        )

    def on_granted(self, tokens: int, *, is_new: bool) -> None:
        """Count a grant in requests and in tokens."""
        self._max_request_tokens = max(self._max_request_tokens, tokens)
        self._request_credit += self.share - is_new
        self._token_credit += self.share * tokens - is_new * tokens
        max_token_credit = MAX_CREDIT_REQUESTS * self._max_request_tokens
        self._request_credit = min(self._request_credit, MAX_CREDIT_REQUESTS)
        self._token_credit = min(self._token_credit, max_token_credit)

    def on_result(self, level: int, *, clean: bool, failed: bool) -> None:
        """Count a result of the new version; `level` is that of its grant.

        A fault may depend on the new version's own load, so only results of
        the current level are evidence for the next one.
        """
        self._results_by_clean[clean] += 1
        self._update_fault_score(clean=clean)
        if level == self._level:
            self._clean += clean
            self._faulty += not clean
            self._failed += failed

    def raise_level(self, requirement: EvidenceRequirement) -> bool:
        """Raise the level if the evidence suffices; return whether it changed.

        At the last level, sufficient evidence sets `proven` instead.
        """
        if not self._meets(requirement):
            return False
        if self._level == self._last_level:
            self.proven = True
            return False
        self._level = min(self._level + requirement.levels_per_step, self._last_level)
        self._clean = 0
        self._faulty = 0
        self._failed = 0
        self._request_credit = min(self._request_credit, 1)
        return True

    def needed_requests(self, requirement: EvidenceRequirement) -> float:
        """Return how many requests of the route a clean version still needs."""
        if self.proven:
            return 0
        needed = (
            requirement.needed_clean_results(self._level, self._faulty) - self._clean
        )
        return max(needed, 0) / self.share + self._requests_for_later_levels(
            requirement
        )

    def is_reachable(
        self, requirement: EvidenceRequirement, expected_requests: float
    ) -> bool:
        """Return whether a clean version could meet the requirement in time.

        Results so far are not counted, so that faulty ones weaken the
        requirement only when time runs out.
        """
        needed = requirement.needed_clean_results(self._level) / self.share
        needed += self._requests_for_later_levels(requirement)
        return needed * TRAFFIC_MARGIN_FACTOR <= expected_requests

    def looks_clean(self) -> bool:
        """Return whether the results so far are mostly clean.

        This is meant for routes with too few results for evidence.
        """
        clean = self._results_by_clean[True]
        return (
            clean >= MIN_CLEAN_RESULTS
            and clean >= MIN_CLEAN_RESULTS * self._results_by_clean[False]
        )

    def _update_fault_score(self, *, clean: bool) -> None:
        change = -1 / CLEAN_RESULTS_PER_FAULT if clean else 1
        self._fault_score = min(max(self._fault_score + change, 0), MAX_FAULT_SCORE)
        if self._fault_score >= MAX_FAULT_SCORE:
            self._throttled = True
            self._request_credit = min(self._request_credit, 1)
        elif self._fault_score < 1:
            self._throttled = False

    def _meets(self, requirement: EvidenceRequirement) -> bool:
        rate = requirement.fault_rate(self._level)
        if (
            fault_rate_e_value(self._clean, self._faulty, rate)
            < requirement.min_e_value
        ):
            return False
        succeeded = self._clean + self._faulty - self._failed
        failure_e_value = fault_rate_e_value(
            succeeded, self._failed, self._failure_rate
        )
        return failure_e_value >= requirement.min_failure_e_value

    def _requests_for_later_levels(self, requirement: EvidenceRequirement) -> float:
        later_levels = set(
            range(self._level, self._last_level, requirement.levels_per_step)
        )
        later_levels.add(self._last_level)
        later_levels.discard(self._level)
        return sum(
            requirement.needed_clean_results(level) / self._shares[level]
            for level in later_levels
        )
