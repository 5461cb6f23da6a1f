"""Control which share of a route's traffic a new version gets."""

from bisect import bisect_right
from dataclasses import dataclass
from functools import cache

from marjoramfall.version.betting import clean_evidence

# Credit that was not used lapses beyond this many requests, so that a version
# whose servers were full gets no burst later.
MAX_CREDIT_REQUESTS = 2
LATER_SHARES = (0.1, 0.25, 0.5, 0.9)


@dataclass(frozen=True, slots=True)
class Rigour:
    """Set how much evidence a step needs: fault rates ruled out, and odds.

    `stride` is how many steps of the share the evidence is good for.
    """

    fault_rates: tuple[float, ...]
    odds: float
    stride: int = 1

    def clean_needed(self, level: int) -> int:
        """Return how many results without a fault suffice at a level."""
        return _clean_needed(self.fault_rate(level), self.odds)

    def fault_rate(self, level: int) -> float:
        """Return the fault rate to rule out at a level."""
        return self.fault_rates[min(level, len(self.fault_rates) - 1)]


@cache
def _clean_needed(fault_rate: float, odds: float) -> int:
    count = 1
    while clean_evidence(count, 0, fault_rate) < odds:
        count += 1
    return count


# From much traffic to little: with little traffic a version can only be shown
# not to be grossly bad before the deadline.
RIGOURS = (
    Rigour((0.15, 0.1, 0.08, 0.08, 0.08), 1_000_000),
    Rigour((0.2, 0.15, 0.1, 0.08, 0.08), 100),
    Rigour((0.25, 0.2, 0.15, 0.12, 0.12), 20),
    Rigour((0.35,), 6, stride=2),
)
# For a route with too little traffic of its own, after others led the way.
FOLLOWING = Rigour((0.35,), 1.7, stride=2)
# A stricter claim that is still unsupported after this many times the results
# it needs is given up for a looser one: a good version has slow results too.
PATIENCE = 1.5


class ShareController:
    """Hold the share of one route and raise it by evidence only."""

    def __init__(self, initial_share: float, *, recorded_share: float = 0) -> None:
        later = [share for share in LATER_SHARES if share > initial_share]
        self._shares = (initial_share, *later)
        self._level = bisect_right(later, recorded_share)
        self._last_level = len(later)
        self._request_credit = float(0)
        self._token_credit = float(0)
        self._largest = 1
        self._clean = 0
        self._faulty = 0
        self.proven = False

    @property
    def share(self) -> float:
        """Return the share that the new version may have now."""
        return self._shares[self._level]

    @property
    def level(self) -> int:
        """Return the index of the current step."""
        return self._level

    def allows(self, tokens: int) -> bool:
        """Return whether the next grant may go to the new version."""
        return (
            self._request_credit + self.share >= 1
            and self._token_credit + self.share * tokens >= tokens
        )

    def on_granted(self, tokens: int, *, is_new: bool) -> None:
        """Count a grant in requests and in tokens."""
        self._largest = max(self._largest, tokens)
        self._request_credit += self.share - is_new
        self._token_credit += self.share * tokens - is_new * tokens
        most_tokens = MAX_CREDIT_REQUESTS * self._largest
        self._request_credit = min(self._request_credit, MAX_CREDIT_REQUESTS)
        self._token_credit = min(self._token_credit, most_tokens)

    def on_result(self, level: int, *, clean: bool) -> None:
        """Count a result of the new version that was granted at a level.

        A fault may depend on the new version's own load, so only results of
        the current level support the next step.
        """
        if level == self._level:
            self._clean += clean
            self._faulty += not clean

    def step(self, rigour: Rigour) -> bool:
        """Raise the share if the evidence suffices; return whether it changed."""
        rate = rigour.fault_rate(self._level)
        if clean_evidence(self._clean, self._faulty, rate) < rigour.odds:
            return False
        if self._level == self._last_level:
            self.proven = True
            return False
        self._level = min(self._level + rigour.stride, self._last_level)
        self._clean = 0
        self._faulty = 0
        self._request_credit = min(self._request_credit, 1)
        return True

    def requests_needed(self, rigour: Rigour) -> float:
        """Return how many requests of the route a good version still needs."""
        if self.proven:
            return 0
        have = min(self._clean, rigour.clean_needed(self._level)) / self.share
        ahead = {*range(self._level, self._last_level, rigour.stride), self._last_level}
        return sum(rigour.clean_needed(at) / self._shares[at] for at in ahead) - have

    def is_exhausted(self, rigour: Rigour) -> bool:
        """Return whether a good version would have met the rigour by now."""
        results = self._clean + self._faulty
        return results > PATIENCE * rigour.clean_needed(self._level)
