"""Keep scarce slots of fast servers for the requests that need them."""

from collections.abc import Iterable

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad

# Servers count as uneven if the slowest takes this multiple of the fastest's time.
MIN_UNEVENNESS = 2.0
# Servers up to this multiple of the fastest's time are fast.
FAST_FACTOR = 1.5
# Slots of fast servers are scarce if no more than this share of them is free.
SCARCE_SHARE = 0.4
# A slower server that is to get a request keeps this part of each limit free.
MARGIN_SHARE = 0.5


class FastSlots:
    """Find requests at a fast server that a slower one serves as well."""

    def __init__(self) -> None:
        # 0 while the servers are even.
        self._max_event_ms = 0.0
        self.spared_count = 0

    def update(self, loads: Iterable[ServerLoad]) -> None:
        """Find out whether the servers are uneven, and which of them are fast."""
        events_ms = [load.speeds.event_ms for load in loads if load.speeds.is_known]
        fastest_ms = min(events_ms, default=0)
        is_uneven = max(events_ms, default=0) >= MIN_UNEVENNESS * fastest_ms
        self._max_event_ms = FAST_FACTOR * fastest_ms if is_uneven else 0.0

    def is_fast(self, load: ServerLoad) -> bool:
        """Return whether a server is known to be faster than others by far."""
        return load.speeds.cautious_event_ms <= self._max_event_ms

    def spare(
        self,
        fast: ServerLoad,
        usable: list[ServerLoad],
        demand: Demand,
        now_ms: float,
    ) -> ServerLoad:
        """Return a slower server that serves the request well, or else the fast one.

        A server that nobody has measured is among them, and is measured so. It is no
        farther than the fast one, which keeps the request while many slots
        like its own are free.
        """
        near = [load for load in usable if load.remote_cost_ms <= fast.remote_cost_ms]
        if not self._is_scarce(near):
            return fast
        slower = [
            load
            for load in near
            if load.free_slots
            and not self.is_fast(load)
            and _serves_well(load, demand, now_ms)
        ]
        if not slower:
            return fast
        self.spared_count += 1
        return min(slower, key=lambda load: load.cost(demand, now_ms))

    def _is_scarce(self, loads: list[ServerLoad]) -> bool:
        fast = [load for load in loads if self.is_fast(load)]
        slots = sum(load.server.slots for load in fast)
        return sum(load.free_slots for load in fast) <= SCARCE_SHARE * slots


def _serves_well(load: ServerLoad, demand: Demand, now_ms: float) -> bool:
    """Return whether a response keeps far from its target, gap and deadline."""
    first_response_ms = load.first_response_ms(demand)
    if first_response_ms > MARGIN_SHARE * (demand.target_ms - now_ms):
        return False
    max_gap_ms = demand.max_gap_ms
    if max_gap_ms and load.speeds.cautious_event_ms > MARGIN_SHARE * max_gap_ms:
        return False
    total_ms = load.response_ms(demand, demand.cautious_output_tokens)
    return total_ms <= MARGIN_SHARE * (demand.deadline_ms - now_ms)
