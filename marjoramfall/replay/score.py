"""Compute the measures of a replay and check the stated outcomes."""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence

import msgspec

from marjoramfall.replay.outcome import Outcome, OutcomeKind
from marjoramfall.replay.trace import Trace

SHED_CODE = 'shed'
MEDIAN = 0.5
TAIL = 0.99


class Slice(msgspec.Struct, frozen=True):
    """Count a tier's requests that arrived in one slice of time."""

    start_ms: int
    offered: int
    good: int

    @property
    def goodput(self) -> float:
        """Return the good share of the requests."""
        return self.good / self.offered


class TierScore(msgspec.Struct, kw_only=True):
    """Hold the measures of one tier; times are in milliseconds."""

    tier: str
    offered: int
    good: int
    goodput: float
    slowest_slice: Slice
    shed: int
    median_ms: float
    tail_ms: float


class Score(msgspec.Struct, kw_only=True):
    """Hold the measures of a replay and what did not hold."""

    tiers: list[TierScore]
    outcomes: dict[OutcomeKind, int]
    codes: dict[str, int]
    late_prefill_tokens: int
    violations: list[str]


def score_replay(trace: Trace, outcomes: Sequence[Outcome]) -> Score:
    """Return the measures; `outcomes` are in the order of the requests."""
    kinds = Counter(outcome.kind for outcome in outcomes)
    codes = Counter(outcome.code for outcome in outcomes if outcome.code)
    score = Score(
        tiers=[
            _score_tier(trace, outcomes, tier)
            for tier in trace.header.tiers
            if any(request.tier == tier for request in trace.requests)
        ],
        outcomes={kind: kinds[kind] for kind in OutcomeKind},
        codes=dict(codes.most_common()),
        late_prefill_tokens=sum(
            outcome.prefill_tokens
            for outcome in outcomes
            if outcome.kind == OutcomeKind.LATE
        ),
        violations=[],
    )
    score.violations.extend(find_violations(trace, score))
    return score


def find_violations(trace: Trace, score: Score) -> list[str]:
    """Return a line for each stated outcome that does not hold."""
    stated = trace.header.outcomes
    by_tier = {tier.tier: tier for tier in score.tiers}
    found = [
        *_too_low('goodput', stated.min_goodput, by_tier, _whole_goodput),
        *_too_low('slice goodput', stated.min_slice_goodput, by_tier, _slice_goodput),
    ]
    for tier, limit in stated.max_shed.items():
        shed = by_tier[tier].shed if tier in by_tier else 0
        if shed > limit:
            found.append(f'{shed} requests of tier {tier} shed, at most {limit}')
    for kind, most in stated.max_outcomes.items():
        if score.outcomes[kind] > most:
            found.append(f'{score.outcomes[kind]} outcomes {kind}, at most {most}')
    counted = sum(score.outcomes.values())
    if counted != len(trace.requests):
        found.append(f'{counted} outcomes of {len(trace.requests)} requests')
    return found


def _too_low(
    name: str,
    limits: dict[str, float],
    by_tier: dict[str, TierScore],
    measure: Callable[[TierScore], float],
) -> list[str]:
    found = []
    for tier, least in limits.items():
        if tier not in by_tier:
            found.append(f'{name} of tier {tier}: no requests')
        elif measure(by_tier[tier]) < least:
            measured = measure(by_tier[tier])
            found.append(f'{name} of tier {tier}: {measured:.4f}, at least {least}')
    return found


def _whole_goodput(tier: TierScore) -> float:
    return tier.goodput


def _slice_goodput(tier: TierScore) -> float:
    return tier.slowest_slice.goodput


def _score_tier(trace: Trace, outcomes: Sequence[Outcome], tier: str) -> TierScore:
    pairs = zip(trace.requests, outcomes, strict=True)
    own = [pair for pair in pairs if pair[0].tier == tier]
    good = [ended for _, ended in own if ended.kind == OutcomeKind.GOOD]
    times_ms = sorted(ended.total_ms for ended in good)
    slices: dict[int, list[bool]] = defaultdict(list)
    for request, result in own:
        number = request.at_ms // trace.header.outcomes.slice_ms
        slices[number].append(result.kind == OutcomeKind.GOOD)
    return TierScore(
        tier=tier,
        offered=len(own),
        good=len(good),
        goodput=len(good) / len(own),
        slowest_slice=_slowest(slices, trace.header.outcomes.slice_ms),
        shed=sum(ended.code == SHED_CODE for _, ended in own),
        median_ms=_quantile(times_ms, MEDIAN),
        tail_ms=_quantile(times_ms, TAIL),
    )


def _slowest(slices: dict[int, list[bool]], slice_ms: int) -> Slice:
    candidates = [
        Slice(number * slice_ms, len(results), sum(results))
        for number, results in sorted(slices.items())
    ]
    return min(candidates, key=lambda candidate: candidate.goodput)


def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
