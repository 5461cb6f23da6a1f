"""Decide which requests are refused while room is short, and when they return."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramfall.gateway.servers.demand import LATE_RANK_PENALTY, Demand
from marjoramfall.gateway.servers.overload import OverloadError
from marjoramfall.gateway.servers.promised_returns import PromisedReturns
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.wait_estimate import Room, WaitEstimate
from marjoramfall.gateway.servers.waiting_order import (
    PeerOrder,
    SortKey,
    WorkAhead,
    sort_key_of,
)

# Callers honour a Retry-After up to this part of the time that they have left.
HONOURED_SHARE = 1 / 3
# Part of the time to its target after which a waiting request may count as late.
MAX_RESPONSE_SHARE = 0.5
# Bounds the cost of means over servers.
MAX_SAMPLED_SERVERS = 8
# Longest delay of a request behind others of its team, as a part of its wait.
MAX_TEAM_DELAY_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Expectation:
    """Hold how long a request is expected to wait, and at which rank."""

    wait_ms: float = 0.0
    rank: float = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold a request until it is assigned to a server or rejected."""

    demand: Demand
    on_assigned: Callable[[object], None]
    on_reject: Callable[[OverloadError], None]
    expected: Expectation = Expectation()
    slot_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Shortage:
    """Hold what a decision on a request depends on: the room, and who waits for it."""

    room: Room
    waiters: list[Waiter]
    peers: PeerOrder
    entry_count: int
    now_ms: float

    @property
    def rate(self) -> float:
        """Return the slot-time per time that comes free for this entry's callers."""
        return max(1, self.room.slots) / self.entry_count

    def ahead(self, sort_key: SortKey, *, is_newest: bool) -> WorkAhead:
        """Return the work that goes before a key."""
        own = [
            waiter.slot_ms
            for waiter in self.waiters
            if sort_key_of(waiter.demand, self.now_ms) <= sort_key
        ]
        peers = self.peers.before(sort_key, is_newest=is_newest)
        return WorkAhead(len(own), sum(own)) + peers


class Shedder:
    """Refuse requests that are not served in time among those that wait."""

    def __init__(self, estimate: WaitEstimate) -> None:
        self._estimate = estimate
        self._returns = PromisedReturns()

    def enter(self, waiter: Waiter, usable: list[ServerLoad], short: Shortage) -> None:
        """Let a request wait; raises `OverloadError` if it waits too long."""
        demand = waiter.demand
        if not self.expect(demand, short, is_newest=True).wait_ms:
            return
        sample = usable[:: math.ceil(len(usable) / MAX_SAMPLED_SERVERS)]
        waiter.slot_ms = self._estimate.expected_slot_ms(demand, sample)
        if demand.has_run:
            return
        demand.first_response_ms = _first_response_ms(demand, sample)
        demand.team_delay_ms = _team_delay_ms(demand, short)
        waiter.expected = self.expect(demand, short, is_newest=True)
        wait_ms = waiter.expected.wait_ms
        first_response_ms = min(load.first_response_ms(demand) for load in usable)
        if short.now_ms + wait_ms + first_response_ms > demand.give_up_ms:
            raise self.refusal(waiter, 'no place in time', wait_ms, short)

    def will_expire(self, demand: Demand, short: Shortage) -> bool:
        """Return whether no slot is expected to become free before `give_up_ms`."""
        wait_ms = self.expect(demand, short, is_newest=False).wait_ms
        return wait_ms > 0 and short.now_ms + wait_ms > demand.give_up_ms

    def expect(
        self, demand: Demand, short: Shortage, *, is_newest: bool
    ) -> Expectation:
        """Return the expected wait of a request.

        One that becomes late meanwhile waits behind all that are late already.
        """
        now_ms = short.now_ms
        rank, turn_ms = sort_key_of(demand, now_ms)
        wait_ms = self._wait_ms((rank, turn_ms), short, is_newest=is_newest)
        start_by_ms = demand.target_ms - demand.first_response_ms
        if rank == demand.priority and now_ms + wait_ms > start_by_ms:
            rank += LATE_RANK_PENALTY
            wait_ms = self._wait_ms((rank, turn_ms), short, is_newest=is_newest)
        return Expectation(wait_ms, rank)

    def refusal(
        self, waiter: Waiter, reason: str, wait_ms: float, short: Shortage
    ) -> OverloadError:
        """Return a refusal that tells the caller when to come back."""
        demand = waiter.demand
        retry_after_ms = self._returns.promise(
            demand.priority,
            now_ms=short.now_ms,
            wait_ms=wait_ms,
            slot_ms=waiter.slot_ms or self._estimate.service_time_ms,
            rate=short.rate,
            longest_ms=(demand.deadline_ms - short.now_ms) * HONOURED_SHARE,
        )
        return OverloadError(
            reason, retry_after_ms=retry_after_ms, expected_wait_ms=wait_ms
        )

    def on_waited(self, waiter: Waiter, now_ms: float) -> None:
        """Learn from a request that got a place, or waited as long as its caller."""
        self._estimate.on_waited(
            waiter.expected.rank,
            waiter.expected.wait_ms,
            now_ms - waiter.demand.arrived_ms,
            now_ms,
        )

    def _wait_ms(self, key: SortKey, short: Shortage, *, is_newest: bool) -> float:
        ahead = short.ahead(key, is_newest=is_newest)
        return self._estimate.expected_wait_ms(key[0], ahead, short.room, short.now_ms)


def _first_response_ms(demand: Demand, usable: list[ServerLoad]) -> float:
    """Return the least time to the first response, a part of the target at most.

    With the mean of uneven servers, requests of a high priority would count as late
    while a fast server still serves them on time.
    """
    least_ms = min(load.first_response_ms(demand) for load in usable)
    longest_ms = MAX_RESPONSE_SHARE * (demand.target_ms - demand.arrived_ms)
    return max(0, min(least_ms, longest_ms))


def _team_delay_ms(demand: Demand, short: Shortage) -> float:
    """Return by how much a request goes behind others that its team has waiting.

    Each team has its requests spread over time as if the entry served only them, so
    that one that sends many does not delay those that send few.
    """
    waiting_ms = _sum_of_team(short.waiters, demand)
    longest_ms = MAX_TEAM_DELAY_SHARE * (demand.give_up_ms - demand.arrived_ms)
    return min(waiting_ms / short.rate, longest_ms)


def _sum_of_team(waiters: Iterable[Waiter], demand: Demand) -> float:
    return sum(
        waiter.slot_ms
        for waiter in waiters
        if waiter.demand.team == demand.team
        and waiter.demand.priority == demand.priority
    )
