"""Control which share of a route's traffic a new version gets."""

from bisect import bisect_right
from dataclasses import dataclass
from functools import lru_cache

from marjoramfall.model import MoveGuard
from marjoramfall.version.betting import fault_rate_e_value

# Credit that was not used lapses beyond this many requests, so that a version
# whose servers were full gets no burst later.
MAX_CREDIT_REQUESTS = 2
# Faults that come close together put the share back to the initial one until
# the version looks clean again; the evidence for a withdrawal takes longer.
MAX_FAULT_SCORE = 3
CLEAN_RESULTS_PER_FAULT = 5
LATER_SHARES = (0.1, 0.25, 0.5, 0.9)


@dataclass(frozen=True, slots=True)
class EvidenceRequirement:
    """Set how much evidence a step needs: fault rates ruled out, and odds.

    A result is faulty if it failed or was slow. `stride` is how many steps of
    the share the evidence is good for; `failure_odds` rule out failures alone at
    `FAILURE_RATIO` times the guard's rate.
    """

    fault_rates: tuple[float, ...]
    min_e_value: float
    levels_per_step: int = 1
    min_failure_e_value: float = 0

    def clean_needed(self, level: int, faulty: int = 0) -> int:
        """Return how many results without a fault suffice at a level."""
        return _clean_needed(self.fault_rate(level), self.min_e_value, faulty)

    def fault_rate(self, level: int) -> float:
        """Return the fault rate to rule out at a level."""
        return self.fault_rates[min(level, len(self.fault_rates) - 1)]


@lru_cache(maxsize=4096)
def _clean_needed(fault_rate: float, min_e_value: float, faulty: int) -> int:
    count = 1
    while fault_rate_e_value(count, faulty, fault_rate) < min_e_value:
        count += 1
    return count


# From much traffic to little: with little traffic a version can only be shown
# not to be grossly bad before the deadline.
REQUIREMENTS = (
    EvidenceRequirement(
        (0.15, 0.1, 0.08, 0.08, 0.08), 1_000_000, min_failure_e_value=20
    ),
    EvidenceRequirement((0.2, 0.15, 0.1, 0.08, 0.08), 100, min_failure_e_value=3),
    EvidenceRequirement((0.25, 0.2, 0.15, 0.12, 0.12), 20),
    EvidenceRequirement((0.4,), 4, levels_per_step=2),
)
# For a route with too little traffic of its own, after others led the way.
FOLLOWER_REQUIREMENT = EvidenceRequirement((0.5,), 2, levels_per_step=2)
# Expected traffic has to exceed the needed one by this factor, because arrivals
# vary and results come late.
TRAFFIC_MARGIN_FACTOR = 2
MIN_CLEAN_RESULTS = 2
FAILURE_RATE_RATIO = 2.2


class ShareController:
    """Hold the share of one route and raise it by evidence only."""

    def __init__(self, guard: MoveGuard, *, recorded_share: float = 0) -> None:
        initial_share = guard.max_initial_share
        self._failure_rate = min(guard.max_error_rate * FAILURE_RATE_RATIO, 0.5)
        later = [share for share in LATER_SHARES if share > initial_share]
        self._shares = (initial_share, *later)
        self._level = bisect_right(later, recorded_share)
        self._last_level = len(later)
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
        """Return the share that the new version may have now."""
        return self._shares[self.level]

    @property
    def level(self) -> int:
        """Return the index of the step whose share is in use."""
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
        """Count a result of the new version that was granted at a level.

        A fault may depend on the new version's own load, so only results of
        the current level support the next step.
        """
        self._results_by_clean[clean] += 1
        self._update_fault_score(clean=clean)
        if level == self._level:
            self._clean += clean
            self._faulty += not clean
            self._failed += failed

    def raise_level(self, requirement: EvidenceRequirement) -> bool:
        """Raise the share if the evidence suffices; return whether it changed."""
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

    def requests_needed(self, requirement: EvidenceRequirement) -> float:
        """Return how many requests of the route a good version still needs."""
        if self.proven:
            return 0
        needed = requirement.clean_needed(self._level, self._faulty) - self._clean
        return max(needed, 0) / self.share + self._requests_for_later_levels(
            requirement
        )

    def is_reachable(
        self, requirement: EvidenceRequirement, expected_requests: float
    ) -> bool:
        """Return whether a version without faults could meet a rigour in time.

        Results so far do not count, so that faulty ones loosen the claim only
        when the time runs out.
        """
        needed = requirement.clean_needed(self._level) / self.share
        needed += self._requests_for_later_levels(requirement)
        return needed * TRAFFIC_MARGIN_FACTOR <= expected_requests

    def looks_clean(self) -> bool:
        """Return whether few results without much evidence show no fault."""
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
        later = set(range(self._level, self._last_level, requirement.levels_per_step))
        later.add(self._last_level)
        later.discard(self._level)
        return sum(requirement.clean_needed(at) / self._shares[at] for at in later)
