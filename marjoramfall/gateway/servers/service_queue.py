"""Order the waiting requests of a service and assign them to backend servers."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.servers.data_centre_exit import DataCentreExit
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.fast_slots import FastSlots
from marjoramfall.gateway.servers.overload import NoServerError, OverloadError
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.server_load import RunningRequest, ServerLoad
from marjoramfall.gateway.servers.shedding import Shedder, Shortage, Waiter
from marjoramfall.gateway.servers.usable_servers import (
    healthy_loads,
    returnable_loads,
)
from marjoramfall.gateway.servers.wait_estimate import Room, WaitEstimate
from marjoramfall.gateway.servers.waiting_order import (
    PeerOrders,
    sort_key_of,
)
from marjoramfall.gateway.versions.version_moves import ANY_VERSION

MIN_ASSIGN_DELAY_MS = 5.0
# Between two estimates of whether the late requests can still be served.
LATE_CHECK_INTERVAL_MS = 25.0


def _ignore_delay(_delay_ms: float) -> None:
    """Leave it to other events to assign waiting requests."""


def _only_entry() -> int:
    return 1


@dataclass(frozen=True, slots=True)
class Assignment:
    """Pair a request with its server, whose load includes it until it ends."""

    load: ServerLoad
    request: RunningRequest


@dataclass(frozen=True, slots=True)
class PeersAhead:
    """Count the requests of peers that go first, in the own group and anywhere."""

    in_group: int
    anywhere: int


class ServiceQueue:
    """Assign the requests of one service to its servers.

    Every entry knows the running and waiting requests of all entries. Each one
    computes the same order and takes only the slots that fall to its own
    requests.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        is_model: bool,
        schedule_assign: Callable[[float], None] = _ignore_delay,
        rules: PlacementRules | None = None,
        entry_count: Callable[[], int] = _only_entry,
        data_centre_exit: DataCentreExit | None = None,
    ) -> None:
        """Create an empty queue.

        `schedule_assign` is to call `assign` after a delay in milliseconds, when the
        limit of a server next allows a request. No server gets a request that one of
        the `rules` excludes. `entry_count` counts the entries of the own group.
        """
        self._clock = clock
        self._is_model = is_model
        self._rules = rules or PlacementRules()
        self._entry_count = entry_count
        self.data_centre_exit = data_centre_exit or DataCentreExit('')
        self._schedule_assign = schedule_assign
        self.estimate = WaitEstimate(is_model=is_model)
        self._shedder = Shedder(self.estimate)
        # Set where load reports arrive late: many entries would otherwise all
        # choose the same server, the one with the lowest cost.
        self.randomizes_choice = False
        self.load_by_id: dict[str, ServerLoad] = {}
        self.fast_slots = FastSlots()
        # The servers that entries of other groups use first.
        self.other_group_server_ids: set[str] = set()
        self.waiters: list[Waiter] = []
        self.peers = PeerOrders()
        self._late_checked_ms = -math.inf

    def submit(self, waiter: Waiter) -> None:
        """Assign the request or queue it.

        Raises `OverloadError` if no server is eligible or the wait is too long.
        """
        now_ms = self._clock.monotonic_ms()
        self._refill_limits(now_ms)
        usable = self.usable_loads(waiter.demand, now_ms)
        is_any_eligible = bool(usable or self.eligible_loads(waiter.demand))
        if not is_any_eligible:
            self._check_rules(waiter.demand, now_ms)
        if usable:
            short = self._shortage(waiter.demand, usable, now_ms)
            self._shedder.enter(waiter, usable, short)
        elif is_any_eligible:
            self._check_pause(waiter.demand, now_ms)
        self.waiters.append(waiter)
        self.assign()

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request if it still waits, as its caller has left."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def finish(self, assignment: Assignment) -> None:
        """Free the slot of an assignment and assign waiting requests."""
        now_ms = self._clock.monotonic_ms()
        request = assignment.request
        took_ms = now_ms - request.started_ms
        self.estimate.on_finished(assignment.load, request.demand, took_ms)
        assignment.load.end(assignment.request)
        self.assign()

    def assign(self) -> None:
        """Reject expired requests and assign free slots to the others in order."""
        if not self.waiters:
            return
        now_ms = self._clock.monotonic_ms()
        self._refill_limits(now_ms)
        self._assign(now_ms)
        if self.waiters:
            self._schedule_next_allowed(now_ms)

    def has_other_server(self, assignment: Assignment) -> bool:
        """Return whether the request could go to another server."""
        now_ms = self._clock.monotonic_ms()
        return any(
            load is not assignment.load and not load.is_ejected(now_ms)
            for load in self._open_loads(assignment.request.demand, now_ms)
        )

    def usable_loads(self, demand: Demand, now_ms: float) -> list[ServerLoad]:
        """Return the servers that take requests and are not ejected.

        Those that have failed the request are among them if it may return and no
        other server takes requests.
        """
        usable = healthy_loads(self._open_loads(demand, now_ms), now_ms)
        if usable or not demand.may_return:
            return usable
        allowed = self._rules.allowed(list(self.load_by_id.values()), demand, now_ms)
        return returnable_loads(allowed, demand, now_ms)

    def eligible_loads(self, demand: Demand) -> list[ServerLoad]:
        """Return the servers that may get a request, busy or not."""
        eligible = _loads_for(demand, self.load_by_id.values())
        return self._rules.allowed(eligible, demand, self._clock.monotonic_ms())

    def occupancy(self) -> float:
        """Return the share of all slots in use, or 1 if there are no slots."""
        slots = sum(load.server.slots for load in self.load_by_id.values())
        running = sum(load.running for load in self.load_by_id.values())
        return running / slots if slots else 1

    def _assign(self, now_ms: float) -> None:
        self._reject_expired(now_ms)
        free_slots = sum(load.free_slots for load in self.load_by_id.values())
        if not free_slots:
            return
        group_slots = sum(
            load.free_slots for load in self._first_used(self.load_by_id.values())
        )
        self.waiters.sort(key=lambda waiter: sort_key_of(waiter.demand, now_ms))
        group = self.peers.of_group(self.estimate.service_time_ms)
        everyone = self.peers.of_all(self.estimate.service_time_ms)
        for waiter in tuple(self.waiters):
            sort_key = sort_key_of(waiter.demand, now_ms)
            ahead = PeersAhead(
                group.count_before(sort_key), everyone.count_before(sort_key)
            )
            if ahead.in_group >= group_slots and ahead.anywhere >= free_slots:
                # Every later request in the order has at least as many ahead.
                return
            assignment = self._try_assign(waiter.demand, ahead, now_ms)
            if assignment is not None:
                free_slots -= 1
                group_slots -= len(self._first_used((assignment.load,)))
                self.waiters.remove(waiter)
                self._shedder.on_waited(waiter, now_ms)
                waiter.on_assigned(assignment)

    def _refill_limits(self, now_ms: float) -> None:
        for load in self.load_by_id.values():
            if load.is_limited:
                load.refill_limit(now_ms)

    def _schedule_next_allowed(self, now_ms: float) -> None:
        delays_ms = [
            load.ms_until_allowed()
            for load in self.load_by_id.values()
            if load.is_limited and load.running < load.server.slots
        ]
        pauses_ms = [load.pause_ms(now_ms) for load in self.load_by_id.values()]
        delays_ms.extend(filter(None, pauses_ms))
        if delays_ms:
            self._schedule_assign(max(MIN_ASSIGN_DELAY_MS, min(delays_ms)))

    def _try_assign(
        self, demand: Demand, ahead: PeersAhead, now_ms: float
    ) -> Assignment | None:
        usable = self.usable_loads(demand, now_ms)
        free_servers = _left_by(ahead.anywhere, usable)
        if not free_servers:
            # Peers of other groups can't take these slots, or know of them too late.
            free_servers = _left_by(ahead.in_group, self._first_used(usable))
        if not free_servers:
            return None
        candidates = self.data_centre_exit.candidates(free_servers, demand, now_ms)
        load = self._choose_server(candidates, demand, now_ms)
        if self.fast_slots.is_fast(load):
            load = self.fast_slots.spare(load, usable, demand, now_ms)
        if self._should_wait_for_faster(demand, load, usable, now_ms):
            return None
        assignment = Assignment(load, load.begin(demand, now_ms))
        self._rules.on_assigned(load, demand, now_ms)
        return assignment

    def _choose_server(
        self, free_servers: list[ServerLoad], demand: Demand, now_ms: float
    ) -> ServerLoad:
        costs = [load.cost(demand, now_ms) for load in free_servers]
        if not self.randomizes_choice:
            return free_servers[costs.index(min(costs))]
        weights = [1 / (cost * cost) for cost in costs]
        return random.choices(free_servers, weights)[0]

    def _should_wait_for_faster(
        self, demand: Demand, load: ServerLoad, usable: list[ServerLoad], now_ms: float
    ) -> bool:
        """Return whether only a server without a free slot meets the deadline.

        A request that would get its first response late for that waits only if it is
        likely to be lost otherwise.
        """
        if load.meets_deadline(demand, now_ms):
            return False
        if now_ms + load.first_response_ms(demand) < demand.target_ms:
            faster = [other for other in usable if other.meets_deadline(demand, now_ms)]
            return _is_only_busy(faster)
        if demand.has_run or _is_likely_in_time(load, demand, now_ms):
            return False
        service_time_ms = self.estimate.service_time_ms
        faster = [
            other
            for other in usable
            if _is_likely_in_time(
                other, demand, now_ms + service_time_ms / other.server.slots
            )
        ]
        return _is_only_busy(faster)

    def _open_loads(self, demand: Demand, now_ms: float) -> list[ServerLoad]:
        """Return the eligible servers that have not asked for a pause."""
        return [
            load for load in self.eligible_loads(demand) if not load.pause_ms(now_ms)
        ]

    def _first_used(self, loads: Iterable[ServerLoad]) -> list[ServerLoad]:
        """Return the servers whose free slots the own group may all take.

        All groups use those of a plain service alike.
        """
        if not self._is_model:
            return []
        others = self.other_group_server_ids
        return [load for load in loads if load.server.server_id not in others]

    def _shortage(
        self, demand: Demand, usable: list[ServerLoad], now_ms: float
    ) -> Shortage:
        first_used = self._first_used(usable) or usable
        service_time_ms = self.estimate.service_time_ms
        free_slots = sum(load.free_slots for load in usable)
        slots = sum(load.usable_slots(service_time_ms) for load in first_used)
        if len(first_used) < len(usable):
            slots += free_slots - sum(load.free_slots for load in first_used)
        order = self.peers.of_group if self._is_model else self.peers.of_all
        return Shortage(
            room=Room(slots, free_slots),
            waiters=self.waiters,
            peers=order(service_time_ms),
            entry_count=max(1, self._entry_count()),
            now_ms=now_ms,
        )

    def _check_rules(self, demand: Demand, now_ms: float) -> None:
        """Raise `NoServerError` unless a server is excluded only briefly."""
        loads = _loads_for(demand, self.load_by_id.values())
        reason = self._rules.refusal(loads, demand, now_ms)
        if reason is not None:
            raise NoServerError(reason, retry_after_ms=self.estimate.service_time_ms)

    def _check_pause(self, demand: Demand, now_ms: float) -> None:
        """Raise `OverloadError` if all servers want nothing for too long."""
        if demand.has_run:
            return
        pause_ms = min(load.pause_ms(now_ms) for load in self.eligible_loads(demand))
        if pause_ms and now_ms + pause_ms > demand.give_up_ms:
            raise OverloadError('no server takes requests yet', retry_after_ms=pause_ms)

    def _reject_expired(self, now_ms: float) -> None:
        is_due = now_ms - self._late_checked_ms >= LATE_CHECK_INTERVAL_MS
        if is_due:
            self._late_checked_ms = now_ms
        for waiter in tuple(self.waiters):
            demand = waiter.demand
            if now_ms >= demand.give_up_ms:
                self._reject(waiter, 'no place came free', now_ms)
            elif (
                is_due
                and now_ms >= demand.target_ms
                and self._will_expire(demand, now_ms)
            ):
                self._reject(waiter, 'no place in time', now_ms)

    def _will_expire(self, demand: Demand, now_ms: float) -> bool:
        """Return whether no slot is expected to become free before `give_up_ms`."""
        if demand.has_run:
            return False
        usable = self.usable_loads(demand, now_ms)
        if not usable:
            return False
        return self._shedder.will_expire(demand, self._shortage(demand, usable, now_ms))

    def _reject(self, waiter: Waiter, reason: str, now_ms: float) -> None:
        self.waiters.remove(waiter)
        usable = self.usable_loads(waiter.demand, now_ms)
        short = self._shortage(waiter.demand, usable, now_ms)
        wait_ms = self._shedder.expect(waiter.demand, short, is_newest=False).wait_ms
        if now_ms >= waiter.demand.give_up_ms:
            # An earlier rejection cuts the wait short, and an estimate of the rest
            # would confirm itself.
            self._shedder.on_waited(waiter, now_ms)
        waiter.on_reject(self._shedder.refusal(waiter, reason, wait_ms, short))


def _left_by(ahead: int, loads: list[ServerLoad]) -> list[ServerLoad]:
    """Return the servers with free slots if those ahead don't take all of these."""
    free_servers = [load for load in loads if load.free_slots]
    # Each of these servers has at least one free slot; the sum is computed only if
    # their number does not suffice.
    if ahead < len(free_servers):
        return free_servers
    free_slots = sum(load.free_slots for load in free_servers)
    return free_servers if ahead < free_slots else []


def _loads_for(demand: Demand, loads: Iterable[ServerLoad]) -> list[ServerLoad]:
    """Return the servers that the request itself does not exclude."""
    staying = [load for load in loads if not load.is_leaving]
    if demand.version is not ANY_VERSION or demand.excluded_server_ids:
        staying = [load for load in staying if demand.allows(load.server)]
    return staying


def _is_only_busy(loads: list[ServerLoad]) -> bool:
    """Return whether there are servers, and none of them has a free slot."""
    return bool(loads) and not any(load.free_slots for load in loads)


def _is_likely_in_time(load: ServerLoad, demand: Demand, now_ms: float) -> bool:
    end_ms = now_ms + load.response_ms(demand, demand.output_tokens)
    return end_ms <= demand.deadline_ms
