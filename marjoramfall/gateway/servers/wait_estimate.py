"""Estimate in slot-time how long a request waits for a place."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.waiting_order import WorkAhead, rank_class

# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.05
INITIAL_MODEL_SERVICE_TIME_MS = 500.0
INITIAL_PLAIN_SERVICE_TIME_MS = 40.0
# Bounds of the size of one request against the mean.
MIN_RELATIVE_SIZE = 0.1
MAX_RELATIVE_SIZE = 10.0
# Weight of a new sample in the moving average of the wait ratio, and the bounds
# of a sample. The ratio is that of the actual to the expected wait of a rank.
WAIT_SMOOTHING = 0.2
MIN_WAIT_RATIO = 0.25
MAX_WAIT_RATIO = 10.0
# A ratio learnt in a burst fades after it, when nothing waits that would correct it.
WAIT_RATIO_FADE_MS = 2000.0


@dataclass(frozen=True, slots=True)
class Room:
    """Hold the slots that a request may use: all of them, and the free ones."""

    slots: float
    free_slots: int


@dataclass(slots=True)
class WaitRatio:
    """Hold the ratio of actual to expected wait that was learnt for a rank."""

    value: float = 1.0
    learnt_ms: float = 0.0

    def at(self, now_ms: float) -> float:
        """Return the ratio, nearer to 1 the longer ago it was learnt."""
        age_ms = max(0.0, now_ms - self.learnt_ms)
        return 1 + (self.value - 1) * math.exp(-age_ms / WAIT_RATIO_FADE_MS)


class WaitEstimate:
    """Predict waits from the work ahead, and learn from those that ended."""

    def __init__(self, *, is_model: bool) -> None:
        self.service_time_ms = (
            INITIAL_MODEL_SERVICE_TIME_MS if is_model else INITIAL_PLAIN_SERVICE_TIME_MS
        )
        # Mean of the predicted times of the requests in `service_time_ms`.
        self._mean_size_ms = 0.0
        self._ratio_by_rank: dict[int, WaitRatio] = {}

    def expected_slot_ms(self, demand: Demand, loads: Iterable[ServerLoad]) -> float:
        """Return how long a request will take a slot of the servers."""
        sizes_ms = [_alone_ms(load, demand) for load in loads]
        if not sizes_ms or not self._mean_size_ms:
            return self.service_time_ms
        relative = sum(sizes_ms) / len(sizes_ms) / self._mean_size_ms
        relative = min(max(relative, MIN_RELATIVE_SIZE), MAX_RELATIVE_SIZE)
        return self.service_time_ms * relative

    def expected_wait_ms(
        self, rank: float, ahead: WorkAhead, room: Room, now_ms: float
    ) -> float:
        """Return how long a request waits behind the work ahead of it."""
        if ahead.count < room.free_slots:
            return 0
        # The free slots take requests at once; the next one ends after its time.
        waiting_ms = ahead.slot_ms + self.service_time_ms * (1 - room.free_slots)
        ratio = self._ratio(rank).at(now_ms)
        return max(self.service_time_ms, waiting_ms) / max(1, room.slots) * ratio

    def on_finished(self, load: ServerLoad, demand: Demand, took_ms: float) -> None:
        """Learn how long a request took its slot."""
        weight = SERVICE_TIME_SMOOTHING
        self.service_time_ms += weight * (took_ms - self.service_time_ms)
        size_ms = _alone_ms(load, demand)
        known_ms = self._mean_size_ms or size_ms
        self._mean_size_ms = known_ms + weight * (size_ms - known_ms)

    def on_waited(
        self, rank: float, expected_ms: float, waited_ms: float, now_ms: float
    ) -> None:
        """Learn the ratio of actual to expected wait of a rank.

        Requests of a higher priority that arrive later are served first, so that
        lower priorities wait longer than the queue ahead suggests.
        """
        if expected_ms <= 0:
            return
        ratio = self._ratio(rank)
        current = ratio.at(now_ms)
        observed = current * waited_ms / expected_ms
        observed = min(max(observed, MIN_WAIT_RATIO), MAX_WAIT_RATIO)
        ratio.value = current + WAIT_SMOOTHING * (observed - current)
        ratio.learnt_ms = now_ms

    def _ratio(self, rank: float) -> WaitRatio:
        return self._ratio_by_rank.setdefault(rank_class(rank), WaitRatio())


def _alone_ms(load: ServerLoad, demand: Demand) -> float:
    """Return how long a request would take a server if there were no other."""
    speeds = load.speeds
    if not load.is_model:
        return speeds.event_ms
    output_ms = demand.output_tokens * load.events_per_token * speeds.event_ms
    return demand.prompt_tokens * speeds.token_ms + output_ms
