"""Collect evidence on a new version against the old one, per route and load."""

import math
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.model import MoveGuard
from marjoramfall.request.events import FinishReport
from marjoramfall.version.betting import BettingTest, RelativeTest

# At most one good version in a thousand may be withdrawn by chance.
FALSE_WITHDRAWAL_RATE = 0.001
# Failing more often than the old version is a weaker claim than exceeding the
# guard, which is tested as well. The comparison only has to rule out a failure
# that affects both versions.
FALSE_COMPARISON_RATE = 0.01
SLOW_QUANTILE = 0.9
QUANTILE_STEP = 0.05
BASELINE_SMOOTHING = 0.05
DRIFT_SMOOTHING = 0.1
MIN_BUCKET_RESULTS = 4
MIN_RATE_TOKENS = 4
PREFILL_TOKENS_PER_DECODE_TOKEN = 20
ANY = '*'  # all routes or all loads


class Metric(StrEnum):
    """List the criteria by which a result is evaluated."""

    FAILURE = 'failure'
    FIRST_TOKEN = 'first_token'
    OUTPUT_RATE = 'output_rate'


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe where the new version is worse than the guard allows."""

    metric: Metric
    route: str
    load: str
    e_value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """Describe the result of a request and the conditions of its grant."""

    report: FinishReport
    route: str
    is_new: bool
    high_load: bool
    share: float


class LatencyModel:
    """Predict a latency of the old version from the size of the request.

    Sizes differ by a factor of a hundred, so latencies are compared as the
    logarithm of their ratio to the prediction. The prediction is a baseline
    per size bucket plus a drift common to all buckets, so that rare sizes
    follow a general slowdown.
    """

    def __init__(self) -> None:
        self._baselines_by_bucket: dict[int, float] = {}
        self._counts: Counter[int] = Counter()
        self._slow_threshold = math.log(2)
        self._drift = float(0)

    def is_slow(self, size: int, duration_ms: float, allowance: float) -> bool | None:
        """Return whether a latency is in the slow tail of the old version.

        `allowance` is the logarithm of the ratio that is tolerated. Returns
        None if the old version has too few results of this size.
        """
        bucket = size.bit_length()
        if self._counts[bucket] < MIN_BUCKET_RESULTS:
            return None
        predicted = self._baselines_by_bucket[bucket] + self._drift
        return _log_duration(duration_ms) - predicted - allowance > self._slow_threshold

    def learn(self, size: int, duration_ms: float) -> None:
        """Update the model with a latency of the old version."""
        bucket = size.bit_length()
        latency = _log_duration(duration_ms)
        baseline = self._baselines_by_bucket.setdefault(bucket, latency - self._drift)
        residual = latency - baseline - self._drift
        is_slow = residual > self._slow_threshold
        change = SLOW_QUANTILE if is_slow else SLOW_QUANTILE - 1
        self._slow_threshold += QUANTILE_STEP * change
        self._counts[bucket] += 1
        weight = max(1 / self._counts[bucket], BASELINE_SMOOTHING)
        self._baselines_by_bucket[bucket] += weight * residual
        self._drift += DRIFT_SMOOTHING * residual


class EvidenceSlice:
    """Hold the tests of one route and load, or of all routes or loads."""

    def __init__(self, guard: MoveGuard) -> None:
        self._guard = guard
        self._guard_test = BettingTest()
        self._relative_tests = {metric: RelativeTest() for metric in Metric}

    def observe(self, observation: Observation, slow: dict[Metric, bool]) -> None:
        """Add one result; `slow` tells which of its latencies were slow."""
        failed = not observation.report.succeeded
        if observation.is_new:
            bound = self._guard.max_error_rate
            self._guard_test.observe(happened=failed, probability=bound)
        for metric, happened in ((Metric.FAILURE, failed), *slow.items()):
            self._relative_tests[metric].observe(
                is_new=observation.is_new, happened=happened, share=observation.share
            )

    def strongest_metric(self, pending: int) -> tuple[Metric, float]:
        """Return the metric with the highest e-value and that e-value."""
        relative = self._relative_tests[Metric.FAILURE].e_value()
        weight = FALSE_COMPARISON_RATE / FALSE_WITHDRAWAL_RATE
        e_value_by_metric = {
            metric: test.e_value() for metric, test in self._relative_tests.items()
        }
        # Withdrawal for failures takes evidence against the guard and against the
        # old version; the comparison may have a higher error rate.
        e_value_by_metric[Metric.FAILURE] = min(
            self._guard_test.e_value(pending=pending), relative * weight
        )
        return max(e_value_by_metric.items(), key=lambda pair: pair[1])


class VersionEvidence:
    """Compare a new version with the old one over the same period."""

    def __init__(self, guard: MoveGuard) -> None:
        self._guard = guard
        self._allowance = math.log(guard.max_latency_ratio)
        self._slices: dict[tuple[str, str], EvidenceSlice] = {}
        self._latency_models: dict[tuple[str, Metric, bool], LatencyModel] = {}

    def observe(self, observation: Observation) -> bool:
        """Add the result of a dispatched request; return whether it was clean.

        A clean result succeeded and was not slow.
        """
        slow = self._slow_metrics(observation)
        load = 'high' if observation.high_load else 'low'
        for key in ((observation.route, load), (observation.route, ANY), (ANY, ANY)):
            evidence_slice = self._slices.get(key)
            if evidence_slice is None:
                evidence_slice = EvidenceSlice(self._guard)
                self._slices[key] = evidence_slice
            evidence_slice.observe(observation, slow)
        return observation.report.succeeded and not any(slow.values())

    def finding(self, route: str, pending: int = 0) -> Finding | None:
        """Return the first finding on the route or on all routes together.

        `pending` is the number of the route's requests to the new version that
        have no result yet. The threshold rises with the number of tests.
        """
        threshold = len(self._slices) * len(Metric) / FALSE_WITHDRAWAL_RATE
        for key in ((route, 'high'), (route, 'low'), (route, ANY), (ANY, ANY)):
            evidence_slice = self._slices.get(key)
            if evidence_slice is None:
                continue
            metric, e_value = evidence_slice.strongest_metric(pending)
            if e_value >= threshold:
                return Finding(metric, key[0], key[1], e_value)
        return None

    def _slow_metrics(self, observation: Observation) -> dict[Metric, bool]:
        slow: dict[Metric, bool] = {}
        if not observation.report.succeeded:
            return slow
        for metric, size, duration_ms in _latencies(observation.report):
            model = self._latency_models.setdefault(
                (observation.route, metric, observation.high_load), LatencyModel()
            )
            allowance = self._allowance if observation.is_new else 0
            is_slow = model.is_slow(size, duration_ms, allowance)
            if is_slow is not None:
                slow[metric] = is_slow
            if not observation.is_new:
                model.learn(size, duration_ms)
        return slow


def _latencies(report: FinishReport) -> list[tuple[Metric, int, float]]:
    prefill = max(report.work.prefill_tokens - report.cached_tokens, 0) + 1
    if report.first_token_ms is None:
        size = prefill + PREFILL_TOKENS_PER_DECODE_TOKEN * report.decode_tokens
        return [(Metric.FIRST_TOKEN, size, report.total_ms)]
    latencies = [(Metric.FIRST_TOKEN, prefill, report.first_token_ms)]
    if report.decode_tokens >= MIN_RATE_TOKENS:
        output_ms = report.total_ms - report.first_token_ms
        ms_per_token = output_ms / (report.decode_tokens - 1)
        latencies.append((Metric.OUTPUT_RATE, 1, ms_per_token))
    return latencies


def _log_duration(duration_ms: float) -> float:
    return math.log(max(duration_ms, 0.01))
