"""Predict queueing delays and select the requests to shed or expire."""

import heapq

from marjoramfall.connection.rate_window import RateWindow
from marjoramfall.request.drain_rate import DrainRate
from marjoramfall.request.events import WaitingRequest
from marjoramfall.request.request_queue import RequestQueue

MAX_WAITING = 20_000
ARRIVAL_WINDOW_MS = 10_000
# Requests are shed while their predicted wait exceeds this share of their slack.
# The margin covers prediction error. With a share of 0.5, a burst of 20 s sheds a
# third of a tier whose requests could all be served.
MAX_WAIT_SHARE = 0.9
EXPECTED_REMAINING_SHARE = 0.4
MAX_RETRY_AFTER_MS = 30_000


class AdmissionController:
    """Estimate the queueing delay of each tier from arrival and completion rates."""

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue
        self._arrivals_by_rank: dict[int, RateWindow] = {}
        self.drain_rate = DrainRate()
        self._latest_starts: list[tuple[float, str]] = []

    def on_arrival(
        self, waiting: WaitingRequest, latest_start_ms: float, now_ms: float
    ) -> None:
        """Record a request that expires unless it is granted by `latest_start_ms`."""
        rank = waiting.tier_rank
        if rank not in self._arrivals_by_rank:
            self._arrivals_by_rank[rank] = RateWindow(ARRIVAL_WINDOW_MS)
        self._arrivals_by_rank[rank].add(waiting.work.total_tokens, now_ms)
        heapq.heappush(self._latest_starts, (latest_start_ms, waiting.request_id))

    def predicted_wait_ms(self, rank: int, now_ms: float) -> float:
        """Return the predicted wait of the last request in a tier.

        An overload is expected to continue for `EXPECTED_REMAINING_SHARE` of its
        duration so far, so that a burst does not shed requests that can wait until
        it ends. Until then, arrivals of higher tiers use a part of the drain rate.
        """
        rate = self.drain_rate.tokens_per_ms(now_ms)
        tokens = self._queue.tokens_at_or_above(rank)
        if not rate or not tokens:
            return 0
        available_rate = rate - sum(
            arrivals.per_ms(now_ms)
            for arrival_rank, arrivals in self._arrivals_by_rank.items()
            if arrival_rank < rank
        )
        remaining_ms = EXPECTED_REMAINING_SHARE * self.drain_rate.overload_ms(now_ms)
        if tokens <= available_rate * remaining_ms:
            return tokens / available_rate
        return remaining_ms + (tokens - available_rate * remaining_ms) / rate

    def will_miss_deadline(self, rank: int, now_ms: float) -> bool:
        """Return whether the last request of a tier is predicted to start too late."""
        last = self._queue.last_in_tier(rank)
        if last is None:
            return False
        slack_ms = self._queue.latest_start_ms(last) - now_ms
        return self.predicted_wait_ms(rank, now_ms) > MAX_WAIT_SHARE * slack_ms

    def next_to_shed(self, now_ms: float) -> WaitingRequest | None:
        """Return the next request to shed, taken from the lowest waiting tier.

        If one tier cannot be served in time, no lower tier can be either.
        """
        ranks = self._queue.waiting_ranks()
        if not ranks:
            return None
        is_over_capacity = len(self._queue) > MAX_WAITING
        if is_over_capacity or any(
            self.will_miss_deadline(rank, now_ms) for rank in ranks
        ):
            return self._queue.last_in_tier(ranks[-1])
        return None

    def retry_after_ms(self, rank: int, now_ms: float) -> int:
        """Return the delay after which a rejected request may be retried."""
        wait_ms = self.predicted_wait_ms(rank, now_ms)
        return int(min(max(wait_ms, 1000), MAX_RETRY_AFTER_MS))

    def pop_expired(self, now_ms: float) -> list[WaitingRequest]:
        """Return the waiting requests that can no longer meet their deadline.

        They stay in the queue until they are removed.
        """
        expired: list[WaitingRequest] = []
        while self._latest_starts and self._latest_starts[0][0] <= now_ms:
            request_id = heapq.heappop(self._latest_starts)[1]
            waiting = self._queue.get(request_id)
            # Skips the latest start of an earlier grant request with the same id.
            if waiting and self._queue.latest_start_ms(waiting) <= now_ms:
                expired.append(waiting)
        return expired
