"""Order the waiting requests of a service, those of this entry and of its peers."""

import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from marjoramfall.gateway.servers.demand import Demand

SortKey = tuple[float, float]


@dataclass(frozen=True, slots=True)
class PeerWaiter:
    """Hold the sort key of a request that waits at a peer.

    `arrived_ms` is when its turn counts from. `expected_ms` is how long it will take
    a slot, 0 if the peer doesn't say.
    """

    rank: float
    arrived_ms: float
    expected_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class UnlistedWork:
    """Hold the work of a rank that waits at a peer behind the requests it lists."""

    rank: float
    count: int
    slot_ms: float


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """Hold what goes before a request: how many, and the slot-time they take."""

    count: int = 0
    slot_ms: float = 0.0

    def __add__(self, other: 'WorkAhead') -> 'WorkAhead':
        """Return the work of both."""
        return WorkAhead(self.count + other.count, self.slot_ms + other.slot_ms)


class PeerOrder:
    """Find how much of the work that waits at some peers goes before a request."""

    def __init__(
        self,
        waiters: Iterable[PeerWaiter],
        unlisted: Iterable[UnlistedWork],
        default_ms: float,
    ) -> None:
        """Sort the work; requests of unknown length take `default_ms`."""
        ordered = sorted(waiters, key=_peer_key)
        lengths_ms = (waiter.expected_ms or default_ms for waiter in ordered)
        self._keys = [_peer_key(waiter) for waiter in ordered]
        self._slot_ms = tuple(accumulate(lengths_ms, initial=0.0))
        self._unlisted = tuple(unlisted)

    def count_before(self, sort_key: SortKey) -> int:
        """Return how many of the listed requests go before a key."""
        return bisect_left(self._keys, sort_key)

    def before(self, sort_key: SortKey, *, is_newest: bool) -> WorkAhead:
        """Return the work that goes before a key, with that which is not listed.

        The unlisted work of its own rank is older than the newest request, and taken
        for newer than others.
        """
        count = self.count_before(sort_key)
        ahead = WorkAhead(count, self._slot_ms[count])
        rank = sort_key[0]
        for work in self._unlisted:
            if work.rank < rank or (is_newest and work.rank == rank):
                ahead += WorkAhead(work.count, work.slot_ms)
        return ahead


class PeerOrders:
    """Keep what waits at the entries of the own group, and at all others."""

    def __init__(self) -> None:
        self.group_waiters_by_source: dict[str, list[PeerWaiter]] = {}
        self.outside_waiters_by_source: dict[str, list[PeerWaiter]] = {}
        self.unlisted_by_source: dict[str, list[UnlistedWork]] = {}
        self._group: PeerOrder | None = None
        self._everyone: PeerOrder | None = None

    @property
    def listed_count(self) -> int:
        """Return how many requests of peers are known one by one."""
        group = sum(map(len, self.group_waiters_by_source.values()))
        return group + sum(map(len, self.outside_waiters_by_source.values()))

    def add(self, source: str, waiter: PeerWaiter, *, is_outside: bool) -> None:
        """Add a request that waits at a peer, or at a group of them."""
        waiters_by_source = self.group_waiters_by_source
        if is_outside:
            waiters_by_source = self.outside_waiters_by_source
        waiters_by_source.setdefault(source, []).append(waiter)
        self._forget_order()

    def add_unlisted(self, source: str, work: UnlistedWork) -> None:
        """Add work that waits at a peer behind the requests it lists."""
        self.unlisted_by_source.setdefault(source, []).append(work)
        self._forget_order()

    def drop(self, source: str) -> None:
        """Remove what waits at a peer or group."""
        self.group_waiters_by_source.pop(source, None)
        self.outside_waiters_by_source.pop(source, None)
        self.unlisted_by_source.pop(source, None)
        self._forget_order()

    def of_group(self, default_ms: float) -> PeerOrder:
        """Return the order of the own group, which its entries know exactly."""
        if self._group is None:
            waiters = _joined(self.group_waiters_by_source)
            self._group = PeerOrder(
                waiters, _joined(self.unlisted_by_source), default_ms
            )
        return self._group

    def of_all(self, default_ms: float) -> PeerOrder:
        """Return the order of all entries, as late as the digests of other groups."""
        if not self.outside_waiters_by_source:
            return self.of_group(default_ms)
        if self._everyone is None:
            waiters = _joined(self.group_waiters_by_source)
            waiters += _joined(self.outside_waiters_by_source)
            self._everyone = PeerOrder(
                waiters, _joined(self.unlisted_by_source), default_ms
            )
        return self._everyone

    def _forget_order(self) -> None:
        self._group = None
        self._everyone = None


def sort_key_of(demand: Demand, now_ms: float) -> SortKey:
    """Return what orders a request among those that wait."""
    return demand.rank(now_ms), demand.turn_ms


def rank_class(rank: float) -> int:
    """Return the rank without the lead of begun streams."""
    return math.ceil(rank)


def _joined(by_source: dict[str, list]) -> list:
    return [element for elements in by_source.values() for element in elements]


def _peer_key(waiter: PeerWaiter) -> SortKey:
    return waiter.rank, waiter.arrived_ms
