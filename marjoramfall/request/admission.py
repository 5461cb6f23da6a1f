"""Predict finish times and choose what to shed or expire."""

import heapq

from marjoramfall.connection.rate_window import RateWindow
from marjoramfall.request.events import WaitingRequest, WorkEstimate
from marjoramfall.request.request_queue import RequestQueue

MAX_WAITING = 20_000
WINDOW_MS = 5000
ARRIVAL_WINDOW_MS = 10_000
# Saturation ends when a server has been free for so long.
SATURATION_END_MS = 2000
# Work is shed while its predicted wait exceeds this share of its slack: the
# rest covers the error of the prediction and the time spent in the engine.
MAX_WAIT_SHARE = 0.5
MIN_SATURATED_MS = 3000
MAX_RETRY_AFTER_MS = 30_000


class Admission:
    """Estimate how long tiers wait, from arrivals and finished work."""

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue
        self._arrivals_by_rank: dict[int, RateWindow] = {}
        self._drained = RateWindow(WINDOW_MS)
        self._saturated_ms = float(0)
        self._saturated_since_ms: float | None = None
        self._overload_since_ms = float(0)
        self._saturated_last_ms = float('-inf')
        self._deadlines: list[tuple[float, str]] = []

    def on_arrival(
        self, waiting: WaitingRequest, last_start_ms: float, now_ms: float
    ) -> None:
        """Count an arrival that expires at a time in milliseconds."""
        rank = waiting.tier_rank
        if rank not in self._arrivals_by_rank:
            self._arrivals_by_rank[rank] = RateWindow(ARRIVAL_WINDOW_MS)
        self._arrivals_by_rank[rank].add(waiting.work.total_tokens, now_ms)
        heapq.heappush(self._deadlines, (last_start_ms, waiting.request_id))

    def on_saturation(self, *, saturated: bool, now_ms: float) -> None:
        """Note whether requests wait because all servers are full."""
        if saturated:
            if now_ms - self._saturated_last_ms > SATURATION_END_MS:
                self._overload_since_ms = now_ms
            self._saturated_last_ms = now_ms
        if saturated and self._saturated_since_ms is None:
            self._saturated_since_ms = now_ms
        elif not saturated and self._saturated_since_ms is not None:
            self._saturated_ms += now_ms - self._saturated_since_ms
            self._saturated_since_ms = None

    def on_drained(self, work: WorkEstimate, now_ms: float) -> None:
        """Count work that finished; only full servers show what they can do."""
        if self._saturated_since_ms is not None:
            self._drained.add(work.total_tokens, self._saturated_time(now_ms))

    def predicted_wait_ms(self, rank: int, now_ms: float) -> float:
        """Return how long the last request of a tier is going to wait.

        An overload is expected to last as long again as it has lasted, so
        that a short burst does not shed work that can wait until it is over.
        """
        saturated_ms = self._saturated_time(now_ms)
        if saturated_ms < MIN_SATURATED_MS:
            return 0
        rate = self._drained.per_ms(saturated_ms)
        if not rate:
            return 0
        left_rate = rate - sum(
            arrivals.per_ms(now_ms)
            for higher, arrivals in self._arrivals_by_rank.items()
            if higher < rank
        )
        tokens = self._queue.tokens_until(rank)
        lasting_ms = now_ms - self._overload_since_ms
        if tokens <= left_rate * lasting_ms:
            return tokens / left_rate
        return lasting_ms + (tokens - left_rate * lasting_ms) / rate

    def next_shed(self, now_ms: float) -> WaitingRequest | None:
        """Return the request to shed now, from the lowest waiting tier.

        If a tier can't be served in time, then neither can those below it.
        """
        ranks = self._queue.waiting_ranks()
        if not ranks:
            return None
        crowded = len(self._queue) > MAX_WAITING
        if crowded or any(self._is_too_late(rank, now_ms) for rank in ranks):
            return self._queue.last_of(ranks[-1])
        return None

    def retry_after_ms(self, rank: int, now_ms: float) -> int:
        """Return when a refused request may try again, in milliseconds."""
        wait_ms = self.predicted_wait_ms(rank, now_ms)
        return int(min(max(wait_ms, 1000), MAX_RETRY_AFTER_MS))

    def pop_expired(self, now_ms: float) -> list[WaitingRequest]:
        """Return waiting requests that can no longer meet their deadline."""
        expired: list[WaitingRequest] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            request_id = heapq.heappop(self._deadlines)[1]
            waiting = self._queue.get(request_id)
            if waiting is not None:
                expired.append(waiting)
        return expired

    def _is_too_late(self, rank: int, now_ms: float) -> bool:
        last = self._queue.last_of(rank)
        slack_ms = self._queue.latest_start_ms(last) - now_ms
        return self.predicted_wait_ms(rank, now_ms) > MAX_WAIT_SHARE * slack_ms

    def _saturated_time(self, now_ms: float) -> float:
        if self._saturated_since_ms is None:
            return self._saturated_ms
        return self._saturated_ms + now_ms - self._saturated_since_ms
