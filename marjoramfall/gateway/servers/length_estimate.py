"""Estimate the length of a response from the hint of its caller."""

import math
from collections.abc import Iterator
from typing import TypeVar

# A ratio of actual to hinted tokens falls into one of these classes, each wider than
# the one before by this factor.
RATIO_STEP = 2**0.25
MAX_RATIO_CLASS = 16
CLASS_COUNT = 2 * MAX_RATIO_CLASS + 1
# Counts are halved at this sum, so that a change of callers shows.
MAX_COUNT = 400.0
# What is assumed of hints before responses have ended: right at the median, with this
# standard deviation of the logarithm, and the weight in responses.
PRIOR_DEVIATION = 0.5
PRIOR_COUNT = 10.0
# From this many responses of a team on, its own distribution is used.
MIN_TEAM_SAMPLES = 30
# Bounds the memory that callers of many teams take.
MAX_DISTRIBUTIONS = 1000
LIKELY_QUANTILE = 0.5
CAUTIOUS_QUANTILE = 0.9

Key = TypeVar('Key')


class RatioDistribution:
    """Count ratios of actual to hinted length in classes of bounded number."""

    def __init__(self) -> None:
        self.sample_count = 0
        self.cautious_ratio = 1.0
        self._counts = list(_prior_counts())
        self._update_cautious_ratio()

    def add(self, ratio: float) -> None:
        """Count the ratio of a response that has ended."""
        self.sample_count += 1
        self._counts[_class_of(ratio)] += 1
        if sum(self._counts) > MAX_COUNT:
            self._counts = [count / 2 for count in self._counts]
        self._update_cautious_ratio()

    def quantile(self, share: float, *, above: float = 0.0) -> float:
        """Return a quantile of the ratios, of those above a bound if it is set."""
        first = _class_of(above) if above > 0 else 0
        counts = self._counts[first:]
        left = share * sum(counts)
        for offset, count in enumerate(counts):
            if count >= left:
                ratio = RATIO_STEP ** (first + offset - MAX_RATIO_CLASS)
                return max(ratio, above)
            left -= count
        return max(RATIO_STEP**MAX_RATIO_CLASS, above)

    def _update_cautious_ratio(self) -> None:
        self.cautious_ratio = self.quantile(CAUTIOUS_QUANTILE)


class LengthEstimates:
    """Keep how lengths compare with their hints by route, and by team if known."""

    def __init__(self) -> None:
        self._default = RatioDistribution()
        self._by_route: dict[str, RatioDistribution] = {}
        self._by_team: dict[tuple[str, str], RatioDistribution] = {}

    def record(
        self, route: str, hint: int, actual: float, *, team: str = '', is_whole: bool
    ) -> None:
        """Count a response; one that is not whole was to be longer than `actual`.

        The part of a response tells something only if it exceeds the likely length.
        """
        if hint <= 0 or actual <= 0:
            return
        ratio = actual / hint
        if not is_whole and ratio <= self._find(route, team).quantile(LIKELY_QUANTILE):
            return
        _get_or_add(self._by_route, route).add(ratio)
        if team:
            _get_or_add(self._by_team, (route, team)).add(ratio)

    def cautious_tokens(
        self, route: str, hint: int, maximum: int, *, team: str = ''
    ) -> int:
        """Return a length that few responses exceed, at most the caller's maximum."""
        tokens = math.ceil(hint * self._find(route, team).cautious_ratio)
        return min(tokens, maximum) if maximum else tokens

    def remaining_tokens(
        self,
        route: str,
        hint: int,
        maximum: int,
        generated: float,
        *,
        team: str = '',
        quantile: float = LIKELY_QUANTILE,
    ) -> float:
        """Return how much is yet to come of a response with `generated` tokens."""
        if hint <= 0:
            return max(0, maximum - generated)
        distribution = self._find(route, team)
        total = hint * distribution.quantile(quantile, above=generated / hint)
        if maximum:
            total = min(total, maximum)
        return max(0, total - generated)

    def _find(self, route: str, team: str) -> RatioDistribution:
        of_team = self._by_team.get((route, team)) if team else None
        if of_team is not None and of_team.sample_count >= MIN_TEAM_SAMPLES:
            return of_team
        return self._by_route.get(route, self._default)


def _get_or_add(by_key: dict[Key, RatioDistribution], key: Key) -> RatioDistribution:
    found = by_key.get(key)
    if found is None:
        if len(by_key) >= MAX_DISTRIBUTIONS:
            by_key.pop(next(iter(by_key)))
        found = RatioDistribution()
        by_key[key] = found
    return found


def _class_of(ratio: float) -> int:
    steps = round(math.log(ratio, RATIO_STEP))
    return max(-MAX_RATIO_CLASS, min(MAX_RATIO_CLASS, steps)) + MAX_RATIO_CLASS


def _prior_counts() -> Iterator[float]:
    weights = [
        math.exp(-((math.log(RATIO_STEP) * step / PRIOR_DEVIATION) ** 2) / 2)
        for step in range(-MAX_RATIO_CLASS, MAX_RATIO_CLASS + 1)
    ]
    return (PRIOR_COUNT * weight / sum(weights) for weight in weights)
