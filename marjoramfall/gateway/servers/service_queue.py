"""Order the waiting requests of a service and assign them to backend servers."""

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.servers.data_centre_exit import DataCentreExit
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.fast_slots import FastSlots
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.server_load import RunningRequest, ServerLoad
from marjoramfall.gateway.servers.usable_servers import (
    healthy_loads,
    returnable_loads,
)
from marjoramfall.gateway.versions.version_moves import ANY_VERSION

# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.05
INITIAL_MODEL_SERVICE_TIME_MS = 500.0
INITIAL_PLAIN_SERVICE_TIME_MS = 40.0
MIN_RETRY_AFTER_MS = 100.0
# Weight of a new sample in the moving average of the wait ratio, and the bounds
# of a sample. The ratio is that of the actual to the expected wait of a priority.
WAIT_SMOOTHING = 0.2
MIN_WAIT_RATIO = 0.25
MAX_WAIT_RATIO = 10.0
MIN_ASSIGN_DELAY_MS = 5.0


def _ignore_delay(_delay_ms: float) -> None:
    """Leave it to other events to assign waiting requests."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """Pair a request with its server, whose load includes it until it ends."""

    load: ServerLoad
    request: RunningRequest


class OverloadError(Exception):
    """Raised when no slot is expected to become free in time."""

    def __init__(self, reason: str, *, retry_after_ms: float) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms


class NoServerError(OverloadError):
    """Raised when this entry knows no server that may get the request."""


class PathLostError(OverloadError):
    """Raised when this entry no longer reaches the servers of the service."""


@dataclass(frozen=True, slots=True)
class PeerWaiter:
    """Hold the sort key of a request that waits at a peer."""

    rank: float
    arrived_ms: float


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold a request until it is assigned to a server or rejected."""

    demand: Demand
    on_assigned: Callable[[Assignment], None]
    on_reject: Callable[[OverloadError], None]
    expected_wait_ms: float = 0.0


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
        data_centre_exit: DataCentreExit | None = None,
    ) -> None:
        """Create an empty queue.

        `schedule_assign` is to call `assign` after a delay in milliseconds, when the
        limit of a server next allows a request. No server gets a request that one of
        the `rules` excludes.
        """
        self._clock = clock
        self._rules = rules or PlacementRules()
        self.data_centre_exit = data_centre_exit or DataCentreExit('')
        self._schedule_assign = schedule_assign
        self._service_time_ms = (
            INITIAL_MODEL_SERVICE_TIME_MS if is_model else INITIAL_PLAIN_SERVICE_TIME_MS
        )
        self._wait_ratio_by_priority: dict[int, float] = {}
        # Set where load reports arrive late: many entries would otherwise all
        # choose the same server, the one with the lowest cost.
        self.randomizes_choice = False
        self.load_by_id: dict[str, ServerLoad] = {}
        self.fast_slots = FastSlots()
        self.waiters: list[Waiter] = []
        self.peer_waiters_by_source: dict[str, list[PeerWaiter]] = {}

    def submit(self, waiter: Waiter) -> None:
        """Assign the request or queue it.

        Raises `OverloadError` if no server is eligible or the wait is too long.
        """
        now_ms = self._clock.monotonic_ms()
        self._refill_limits(now_ms)
        usable = self.usable_loads(waiter.demand, now_ms)
        is_any_eligible = bool(usable or self.eligible_loads(waiter.demand))
        if not is_any_eligible:
            loads = _loads_for(waiter.demand, self.load_by_id.values())
            reason = self._rules.refusal(loads, waiter.demand, now_ms)
            if reason is not None:
                raise NoServerError(reason, retry_after_ms=self._service_time_ms)
        if usable:
            wait_ms = self._expected_wait_ms(waiter.demand, usable, now_ms)
            waiter.expected_wait_ms = wait_ms
            self._check_wait(waiter.demand, wait_ms, usable, now_ms)
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
        service_time_ms = now_ms - assignment.request.started_ms
        self._service_time_ms += SERVICE_TIME_SMOOTHING * (
            service_time_ms - self._service_time_ms
        )
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
        eligible = [load for load in self.load_by_id.values() if not load.is_leaving]
        if demand.version is not ANY_VERSION or demand.excluded_server_ids:
            eligible = [load for load in eligible if demand.allows(load.server)]
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
        self.waiters.sort(key=lambda waiter: _sort_key(waiter.demand, now_ms))
        peer_keys = self._peer_sort_keys()
        for waiter in tuple(self.waiters):
            peers_ahead = bisect_left(peer_keys, _sort_key(waiter.demand, now_ms))
            if peers_ahead >= free_slots:
                # Every later request in the order has at least as many ahead.
                return
            assignment = self._try_assign(waiter.demand, peers_ahead, now_ms)
            if assignment is not None:
                free_slots -= 1
                self.waiters.remove(waiter)
                self._update_wait_ratio(waiter, now_ms)
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
        self, demand: Demand, peers_ahead: int, now_ms: float
    ) -> Assignment | None:
        usable = self.usable_loads(demand, now_ms)
        free_servers = [load for load in usable if load.free_slots]
        # Each of these servers has at least one free slot; the sum is computed
        # only if their number does not suffice.
        if peers_ahead >= len(free_servers) and peers_ahead >= sum(
            load.free_slots for load in free_servers
        ):
            return None
        if not free_servers:
            return None
        candidates = self.data_centre_exit.candidates(free_servers, demand, now_ms)
        load = self._choose_server(candidates, demand, now_ms)
        if self.fast_slots.is_fast(load):
            load = self.fast_slots.spare(load, candidates, demand, now_ms)
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
            return any(other.meets_deadline(demand, now_ms) for other in usable)
        if demand.has_run or _is_likely_in_time(load, demand, now_ms):
            return False
        return any(_is_likely_in_time(other, demand, now_ms) for other in usable)

    def _open_loads(self, demand: Demand, now_ms: float) -> list[ServerLoad]:
        """Return the eligible servers that have not asked for a pause."""
        return [
            load for load in self.eligible_loads(demand) if not load.pause_ms(now_ms)
        ]

    def _peer_sort_keys(self) -> list[tuple[float, float]]:
        return sorted(
            (waiter.rank, waiter.arrived_ms)
            for waiters in self.peer_waiters_by_source.values()
            for waiter in waiters
        )

    def _expected_wait_ms(
        self, demand: Demand, usable: list[ServerLoad], now_ms: float
    ) -> float:
        sort_key = _sort_key(demand, now_ms)
        ahead = bisect_left(self._peer_sort_keys(), sort_key)
        ahead += sum(
            _sort_key(waiter.demand, now_ms) <= sort_key for waiter in self.waiters
        )
        free_slots = sum(load.free_slots for load in usable)
        if ahead < free_slots:
            return 0
        slots = sum(load.usable_slots(self._service_time_ms) for load in usable)
        ratio = self._wait_ratio_by_priority.get(demand.priority, 1)
        return (ahead + 1 - free_slots) * self._service_time_ms / max(1, slots) * ratio

    def _check_pause(self, demand: Demand, now_ms: float) -> None:
        """Raise `OverloadError` if all servers want nothing for too long."""
        if demand.has_run:
            return
        pause_ms = min(load.pause_ms(now_ms) for load in self.eligible_loads(demand))
        if pause_ms and now_ms + pause_ms > demand.give_up_ms:
            raise OverloadError('no server takes requests yet', retry_after_ms=pause_ms)

    def _check_wait(
        self, demand: Demand, wait_ms: float, usable: list[ServerLoad], now_ms: float
    ) -> None:
        if not wait_ms or demand.has_run:
            return
        first_response_ms = min(load.first_response_ms(demand) for load in usable)
        if now_ms + wait_ms + first_response_ms > demand.give_up_ms:
            raise OverloadError(
                'no place in time', retry_after_ms=_retry_after(wait_ms)
            )

    def _reject_expired(self, now_ms: float) -> None:
        for waiter in tuple(self.waiters):
            demand = waiter.demand
            if now_ms >= demand.give_up_ms:
                self._reject(waiter, 'no place came free', now_ms)
            elif now_ms >= demand.target_ms and self._will_expire(demand, now_ms):
                self._reject(waiter, 'no place in time', now_ms)

    def _will_expire(self, demand: Demand, now_ms: float) -> bool:
        """Return whether no slot is expected to become free before `give_up_ms`."""
        if demand.has_run:
            return False
        usable = self.usable_loads(demand, now_ms)
        if not usable:
            return False
        wait_ms = self._expected_wait_ms(demand, usable, now_ms)
        return wait_ms > 0 and now_ms + wait_ms > demand.give_up_ms

    def _reject(self, waiter: Waiter, reason: str, now_ms: float) -> None:
        self.waiters.remove(waiter)
        if now_ms >= waiter.demand.give_up_ms:
            # An earlier rejection cuts the wait short, and its length would
            # underestimate the full wait.
            self._update_wait_ratio(waiter, now_ms)
        usable = self.usable_loads(waiter.demand, now_ms)
        wait_ms = self._expected_wait_ms(waiter.demand, usable, now_ms)
        retry_after_ms = _retry_after(wait_ms)
        waiter.on_reject(OverloadError(reason, retry_after_ms=retry_after_ms))

    def _update_wait_ratio(self, waiter: Waiter, now_ms: float) -> None:
        """Update the ratio of actual to expected wait of a priority.

        Requests of a higher priority that arrive later are served first, so that
        lower priorities wait longer than the queue ahead suggests.
        """
        if waiter.expected_wait_ms <= 0:
            return
        priority = waiter.demand.priority
        current = self._wait_ratio_by_priority.get(priority, 1)
        waited_ms = now_ms - waiter.demand.arrived_ms
        observed = current * waited_ms / waiter.expected_wait_ms
        observed = min(max(observed, MIN_WAIT_RATIO), MAX_WAIT_RATIO)
        updated = current + WAIT_SMOOTHING * (observed - current)
        self._wait_ratio_by_priority[priority] = updated


def _loads_for(demand: Demand, loads: Iterable[ServerLoad]) -> list[ServerLoad]:
    """Return the servers that the request itself does not exclude."""
    staying = [load for load in loads if not load.is_leaving]
    if demand.version is not ANY_VERSION or demand.excluded_server_ids:
        staying = [load for load in staying if demand.allows(load.server)]
    return staying


def _retry_after(wait_ms: float) -> float:
    return max(MIN_RETRY_AFTER_MS, wait_ms)


def _is_likely_in_time(load: ServerLoad, demand: Demand, now_ms: float) -> bool:
    end_ms = now_ms + load.response_ms(demand, demand.output_tokens)
    return end_ms <= demand.deadline_ms


def _sort_key(demand: Demand, now_ms: float) -> tuple[float, float]:
    return demand.rank(now_ms), demand.arrived_ms
