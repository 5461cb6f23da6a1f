"""Estimate the prefill and decode speed of a backend server."""

from marjoramfall.request.events import FinishReport, WorkEstimate

SMOOTHING = 0.1
# The unloaded speed is a running minimum. It rises by this factor per sample,
# so that it adapts to a server that became permanently slower.
MIN_DRIFT_FACTOR = 1.002
INITIAL_PREFILL_MS_PER_TOKEN = 0.1
# A server without samples counts as fast; otherwise it would never be chosen.
INITIAL_DECODE_MS_PER_TOKEN = 0
# Calls of plain services differ by route and have no tokens to normalise by, so
# they are compared with a moving average that one sample barely changes.
CALL_SMOOTHING = 0.005
MAX_SAMPLE_RATIO = 4
FIRST_TOKEN_CORRECTION_BOUNDS = (0.25, 8)


class SpeedEstimate:
    """Estimate speeds in milliseconds per token from finished requests.

    Load reports are not used, because they lag. For a plain service,
    `prefill_ms_per_token` is the least duration of a call.
    """

    def __init__(self) -> None:
        self.prefill_ms_per_token = float(INITIAL_PREFILL_MS_PER_TOKEN)
        self.decode_ms_per_token = float(INITIAL_DECODE_MS_PER_TOKEN)
        self.unloaded_decode_ms_per_token = float(INITIAL_DECODE_MS_PER_TOKEN)
        self.first_token_correction = float(1)
        self.mean_call_ms = float(0)
        # Ratio of actual to estimated decode tokens; the callers' limits on the
        # response length overstate it.
        self.decode_length_ratio = float(1)
        self.finished_count = 0
        self._decode_samples = 0

    def on_finish(self, report: FinishReport, predicted_first_ms: float) -> None:
        """Update the speeds from a finished request and its predicted first token."""
        first_ms = report.first_token_ms
        if first_ms is None:
            first_ms = report.total_ms
        uncached = max(1, report.work.prefill_tokens - report.cached_tokens)
        self._update_prefill(first_ms / uncached)
        if predicted_first_ms > 0:
            least, most = FIRST_TOKEN_CORRECTION_BOUNDS
            observed = self.first_token_correction * first_ms / predicted_first_ms
            observed = min(max(observed, least), most)
            self.first_token_correction += SMOOTHING * (
                observed - self.first_token_correction
            )
        if report.decode_tokens:
            spent_ms = report.total_ms - first_ms
            self._update_decode(spent_ms / report.decode_tokens)
            estimated = max(1, report.work.decode_tokens)
            observed_share = min(1, report.decode_tokens / estimated)
            self.decode_length_ratio += SMOOTHING * (
                observed_share - self.decode_length_ratio
            )
        self.finished_count += 1

    def on_plain_finish(self, total_ms: float) -> float:
        """Update the mean from a plain call; return its ratio to the old mean."""
        total_ms = max(total_ms, 0.001)
        if not self.mean_call_ms:
            self.mean_call_ms = total_ms
            self.prefill_ms_per_token = total_ms
        ratio = total_ms / self.mean_call_ms
        weight = max(CALL_SMOOTHING, 1 / (self.finished_count + 1))
        growth = min(ratio, MAX_SAMPLE_RATIO) - 1
        self.mean_call_ms += weight * growth * self.mean_call_ms
        self.prefill_ms_per_token = min(
            self.prefill_ms_per_token * MIN_DRIFT_FACTOR, total_ms
        )
        self.finished_count += 1
        return ratio

    def unloaded_ms(self, work: WorkEstimate) -> float:
        """Return the time of a request on an idle server with its prompt cached."""
        decode_tokens = work.decode_tokens * self.decode_length_ratio
        return (
            self.prefill_ms_per_token
            + decode_tokens * self.unloaded_decode_ms_per_token
        )

    def _update_prefill(self, sample_ms: float) -> None:
        if not self.finished_count:
            self.prefill_ms_per_token = sample_ms
        self.prefill_ms_per_token = min(
            self.prefill_ms_per_token * MIN_DRIFT_FACTOR, sample_ms
        )

    def _update_decode(self, sample_ms: float) -> None:
        if not self._decode_samples:
            self.decode_ms_per_token = sample_ms
            self.unloaded_decode_ms_per_token = sample_ms
        self._decode_samples += 1
        self.decode_ms_per_token += SMOOTHING * (sample_ms - self.decode_ms_per_token)
        drifted = self.unloaded_decode_ms_per_token * MIN_DRIFT_FACTOR
        self.unloaded_decode_ms_per_token = min(drifted, sample_ms)
