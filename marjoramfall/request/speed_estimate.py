"""Estimate how fast a backend server prefills and decodes."""

from marjoramfall.request.events import FinishReport, WorkEstimate

SMOOTHING = 0.1
# The unloaded speed is a running minimum that rises by this factor per report,
# so that a server that became slower for good is measured anew.
MINIMUM_DRIFT = 1.002
INITIAL_PREFILL_MS = 0.1
# Unknown servers count as fast; taken as slow, they would never be tried.
INITIAL_DECODE_MS = 0
# Calls of plain services differ by route and have no tokens to divide by, so
# that they are compared with a slow mean, in which one sample counts little.
USUAL_SMOOTHING = 0.005
MAX_SAMPLE_RATIO = 4
INFLATION_BOUNDS = (0.25, 8)


class SpeedEstimate:
    """Learn speeds in milliseconds per token from finished requests.

    Load reports lag, so they take no part in the speeds.
    """

    def __init__(self) -> None:
        self.prefill_ms = float(INITIAL_PREFILL_MS)
        self.decode_ms = float(INITIAL_DECODE_MS)
        self.unloaded_decode_ms = float(INITIAL_DECODE_MS)
        self.inflation = float(1)
        self.usual_ms = float(0)
        # Callers' limits on the response length overstate it; learned as well.
        self.decode_share = float(1)
        self.finished = 0
        self._decode_samples = 0

    def on_finish(self, report: FinishReport, predicted_first_ms: float) -> None:
        """Learn from a finished request and what was predicted for it."""
        first_ms = report.first_token_ms
        if first_ms is None:
            first_ms = report.total_ms
        uncached = max(1, report.work.prefill_tokens - report.cached_tokens)
        self._learn_prefill(first_ms / uncached)
        if predicted_first_ms > 0:
            least, most = INFLATION_BOUNDS
            observed = self.inflation * first_ms / predicted_first_ms
            observed = min(max(observed, least), most)
            self.inflation += SMOOTHING * (observed - self.inflation)
        if report.decode_tokens:
            spent_ms = report.total_ms - first_ms
            self._learn_decode(spent_ms / report.decode_tokens)
            estimated = max(1, report.work.decode_tokens)
            observed_share = min(1, report.decode_tokens / estimated)
            self.decode_share += SMOOTHING * (observed_share - self.decode_share)
        self.finished += 1

    def on_plain_finish(self, total_ms: float) -> float:
        """Learn from a plain call and return its time against the usual one."""
        total_ms = max(total_ms, 0.001)
        if not self.usual_ms:
            self.usual_ms = total_ms
            self.prefill_ms = total_ms
        ratio = total_ms / self.usual_ms
        weight = max(USUAL_SMOOTHING, 1 / (self.finished + 1))
        growth = min(ratio, MAX_SAMPLE_RATIO) - 1
        self.usual_ms += weight * growth * self.usual_ms
        self.prefill_ms = min(self.prefill_ms * MINIMUM_DRIFT, total_ms)
        self.finished += 1
        return ratio

    def unloaded_ms(self, work: WorkEstimate) -> float:
        """Return the least time of a request, on the idle server, all cached."""
        decode_tokens = work.decode_tokens * self.decode_share
        return self.prefill_ms + decode_tokens * self.unloaded_decode_ms

    def _learn_prefill(self, sample_ms: float) -> None:
        if not self.finished:
            self.prefill_ms = sample_ms
        self.prefill_ms = min(self.prefill_ms * MINIMUM_DRIFT, sample_ms)

    def _learn_decode(self, sample_ms: float) -> None:
        if not self._decode_samples:
            self.decode_ms = sample_ms
            self.unloaded_decode_ms = sample_ms
        self._decode_samples += 1
        self.decode_ms += SMOOTHING * (sample_ms - self.decode_ms)
        drifted = self.unloaded_decode_ms * MINIMUM_DRIFT
        self.unloaded_decode_ms = min(drifted, sample_ms)
