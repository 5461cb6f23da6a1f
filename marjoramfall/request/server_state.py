"""Hold the dispatcher's state of one backend server."""

from marjoramfall.connection.concurrency_limit import ConcurrencyLimit
from marjoramfall.request.active_grants import ActiveGrant
from marjoramfall.request.events import FinishReport, LoadReport, ServerInfo
from marjoramfall.request.prefix_index import PrefixIndex
from marjoramfall.request.speed_estimate import SpeedEstimate

REPORT_VALID_MS = 3000


class ServerState:
    """Count the credits in use on a server and predict its latency."""

    def __init__(self, info: ServerInfo) -> None:
        self.info = info
        self.speed = SpeedEstimate()
        self.limit = ConcurrencyLimit(info.max_concurrency)
        self.prefixes = PrefixIndex()
        self.running = 0
        self.tokens = 0
        # The share is stored because each dispatch reads it for every server, but
        # changes it for only one.
        self._granted_share = float(0)
        self._running_peak = 0
        self._external_running = 0
        self._external_until_ms = float(0)
        self._prefill_idle_from_ms = float(0)
        self._last_grant_ms = float(0)

    def reset(self, info: ServerInfo) -> None:
        """Replace the configuration and reset the credits in use to zero."""
        self.info = info
        self.limit.max_concurrency = info.max_concurrency
        self.running = 0
        self.tokens = 0
        self._update_share()

    def count_active(self, active: ActiveGrant) -> None:
        """Count the credits of an existing grant without updating estimates."""
        self.running += 1
        self.tokens += active.work.total_tokens
        self._update_share()

    def used_share(self, now_ms: float) -> float:
        """Return the used share of the limit; from 1 the server is full."""
        if now_ms >= self._external_until_ms:
            return self._granted_share
        running = self.running + self._external_running
        return max(running / self.info.max_concurrency, self._granted_share)

    def first_token_ms(
        self, prefill_tokens: int, cached_tokens: float, now_ms: float
    ) -> float:
        """Return the expected time until the first token of a new request."""
        queued_ms = max(0, self._prefill_idle_from_ms - now_ms)
        # A new prompt waits for the decode step that is running when it arrives.
        step_ms = self.speed.decode_ms_per_token
        return queued_ms + step_ms + self._prefill_ms(prefill_tokens - cached_tokens)

    def plain_call_ms(self) -> float:
        """Return the expected time of another call of a plain service."""
        used = self.running / self.info.max_concurrency
        return self.speed.mean_call_ms * (1 + used)

    def reserve(self, active: ActiveGrant, now_ms: float) -> None:
        """Reserve the credits of a granted request and queue its prefill."""
        self.running += 1
        self._running_peak = max(self._running_peak, self.running)
        self.tokens += active.work.total_tokens
        self.limit.on_granted(active.work.total_tokens, self.tokens)
        self._update_share()
        self._last_grant_ms = now_ms
        if not active.work.decode_tokens:
            # Calls of plain services run concurrently and queue no prefill.
            return
        uncached = active.work.prefill_tokens - active.expected_cached
        begin_ms = max(now_ms, self._prefill_idle_from_ms)
        self._prefill_idle_from_ms = begin_ms + self._prefill_ms(uncached)

    def release(self, active: ActiveGrant) -> None:
        """Release the credits of a request."""
        self.running -= 1
        self.tokens -= active.work.total_tokens
        self._update_share()

    def on_finished(self, active: ActiveGrant, report: FinishReport) -> None:
        """Update speed, limit and prefix accuracy if the request succeeded."""
        if not report.succeeded:
            return
        if not active.work.decode_tokens:
            ratio = self.speed.on_plain_finish(report.total_ms)
            self._adapt_limit(ratio)
            return
        self.speed.on_finish(report, active.predicted_first_ms)
        self.prefixes.calibrate(active.expected_cached, report.cached_tokens)
        unloaded_ms = (
            max(1, report.work.prefill_tokens - report.cached_tokens)
            * self.speed.prefill_ms_per_token
            + report.decode_tokens * self.speed.unloaded_decode_ms_per_token
        )
        self._adapt_limit(report.total_ms / max(unloaded_ms, 0.001))

    def on_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Update external load and prefill queue from a load report.

        External requests are those that this dispatcher did not grant. The report
        describes an earlier time: requests above the most that were running since
        the last report count as external, and the prefill queue is taken over only
        if no grant was made after the measurement.
        """
        external = report.running + report.waiting - self._running_peak
        self._external_running = max(0, external)
        self._external_until_ms = now_ms + REPORT_VALID_MS
        self._running_peak = self.running
        if report.measured_ms >= self._last_grant_ms:
            queued_ms = self._prefill_ms(report.queued_prefill_tokens)
            self._prefill_idle_from_ms = report.measured_ms + queued_ms

    def _adapt_limit(self, latency_ratio: float) -> None:
        self.limit.on_finished(latency_ratio)
        self._update_share()

    def _update_share(self) -> None:
        if self.info.leaving:
            self._granted_share = float(1)
            return
        by_count = self.running / self.info.max_concurrency
        self._granted_share = max(by_count, self.tokens / self.limit.tokens)

    def _prefill_ms(self, tokens: float) -> float:
        return (
            max(1, tokens)
            * self.speed.prefill_ms_per_token
            * self.speed.first_token_correction
        )
