"""Keep scarce slots of fast servers for the requests that need them."""

from collections.abc import Iterable

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad

# Servers count as uneven if the slowest takes this multiple of the fastest's time.
MIN_UNEVENNESS = 2.0
# Servers up to this multiple of the fastest's time are fast.
FAST_FACTOR = 1.5
# Slots of fast servers are scarce if no more than this share of them is free.
SCARCE_SHARE = 0.3
# A slower server that is to get a request keeps this part of each limit free.
MARGIN_SHARE = 0.5
# One with more errors is left to the choice by cost.
MAX_ERROR_SHARE = 0.05


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
        free_count = 0
        slot_count = 0
        slower: list[ServerLoad] = []
        for load in usable:
            if _is_farther(load, fast):
                continue
            if load.speeds.cautious_event_ms <= self._max_event_ms:
                free_count += load.free_slots
                slot_count += load.server.slots
            elif load.free_slots and _is_reliable(load):
                slower.append(load)
        if not slower or free_count > SCARCE_SHARE * slot_count:
            return fast
        first = min(slower, key=lambda other: other.first_response_ms(demand))
        if not _serves_well(first, demand, now_ms):
            return fast
        self.spared_count += 1
        return first


def _is_farther(load: ServerLoad, other: ServerLoad) -> bool:
    if other.distance.is_local and not load.distance.is_local:
        return True
    return load.distance.cost_ms > other.distance.cost_ms


def _is_reliable(load: ServerLoad) -> bool:
    return not load.unreachable_report_count and load.error_share <= MAX_ERROR_SHARE


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
