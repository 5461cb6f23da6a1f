"""Hold what an entry last heard of its peers."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.peer_state import PeerState

HEARTBEAT_MS = 250.0
# Peers hear less often the more there are, so that an entry's traffic stays
# bounded.
HEARTBEAT_MS_PER_MEMBER = 2.0
# Three lost heartbeats are no accident.
SILENCE_TIMEOUT_HEARTBEATS = 3.6
# All entries of a small system hear of each change at once; in a large one
# those of the same data centre do, up to a group of this size.
NEAR_GROUP_SIZE = 20
# A peer that is cut off may come back and still uses its share meanwhile.
PEER_EXPIRY_MS = 20_000


@dataclass(slots=True)
class Peer:
    """Hold the last state of a peer and when it arrived."""

    state: PeerState
    received_ms: float


class PeerTable:
    """Keep the newest state of each peer."""

    def __init__(self, clock: Clock, *, own_vm: str, data_centre: str) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self._data_centre = data_centre
        self._started_ms = clock.monotonic_ms()
        self._peer_by_vm: dict[str, Peer] = {}
        self.address_by_vm: dict[str, str] = {}

    def add_address(self, vm: str, address: str) -> None:
        """Learn where a peer listens before it was heard."""
        if vm != self._own_vm:
            self.address_by_vm[vm] = address

    def update(self, state: PeerState) -> PeerState | None:
        """Store a newer state and return the one it replaces.

        An outdated state is returned itself, so that nothing seems to change.
        """
        known = self._peer_by_vm.get(state.vm)
        now_ms = self._clock.monotonic_ms()
        if known is None:
            self._peer_by_vm[state.vm] = Peer(state, now_ms)
            self.address_by_vm[state.vm] = state.address
            return None
        previous = known.state
        is_same = state.incarnation == previous.incarnation
        if is_same and state.sequence <= previous.sequence:
            return state
        known.state = state
        known.received_ms = now_ms
        self.address_by_vm[state.vm] = state.address
        return previous

    @property
    def heartbeat_ms(self) -> float:
        """Return the longest time between two datagrams to a peer."""
        return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_MEMBER * len(self.address_by_vm))

    @property
    def is_large(self) -> bool:
        """Return whether some peers hear of changes later than others."""
        return len(self.address_by_vm) >= NEAR_GROUP_SIZE

    @property
    def silence_timeout_ms(self) -> float:
        """Return for how long the state of a peer counts."""
        return SILENCE_TIMEOUT_HEARTBEATS * self.heartbeat_ms

    def near_addresses(self) -> list[str]:
        """Return the peers that hear of every change at once."""
        if not self.is_large:
            return list(self.address_by_vm.values())
        neighbours = sorted(
            vm
            for vm, peer in self._peer_by_vm.items()
            if peer.state.data_centre == self._data_centre
        )
        own_index = bisect_left(neighbours, self._own_vm)
        start = own_index // NEAR_GROUP_SIZE * NEAR_GROUP_SIZE
        group = neighbours[start : start + NEAR_GROUP_SIZE]
        return [self.address_by_vm[vm] for vm in group]

    def live_peers(self) -> Iterator[Peer]:
        """Yield the peers heard lately."""
        oldest_ms = self._clock.monotonic_ms() - self.silence_timeout_ms
        for peer in self._peer_by_vm.values():
            if peer.received_ms >= oldest_ms:
                yield peer

    def unresponsive_share(self) -> float:
        """Return the share of the entries that may serve and are not heard.

        Peers that say that they leave do not count. An entry that has just
        started has not heard the others yet, though they may be serving.
        """
        undiscovered = self._undiscovered_count()
        return (self._silent_count() + undiscovered) / (
            self.member_count() + undiscovered
        )

    def member_count(self) -> int:
        """Return how many entries may be serving, this one included."""
        oldest_ms = self._clock.monotonic_ms() - PEER_EXPIRY_MS
        unexpired = sum(
            peer.received_ms >= oldest_ms for peer in self._peer_by_vm.values()
        )
        return unexpired + 1

    def drop_silent_peers(self) -> list[str]:
        """Drop peers that were not heard for long and return their names."""
        oldest_ms = self._clock.monotonic_ms() - PEER_EXPIRY_MS
        expired = [
            vm for vm, peer in self._peer_by_vm.items() if peer.received_ms < oldest_ms
        ]
        for vm in expired:
            self._peer_by_vm.pop(vm)
            self.address_by_vm.pop(vm, None)
        return expired

    def _silent_count(self) -> int:
        now_ms = self._clock.monotonic_ms()
        silence_timeout_ms = self.silence_timeout_ms
        return sum(
            silence_timeout_ms < now_ms - peer.received_ms < PEER_EXPIRY_MS
            and not peer.state.is_leaving
            for peer in self._peer_by_vm.values()
        )

    def _undiscovered_count(self) -> int:
        if self._clock.monotonic_ms() - self._started_ms >= PEER_EXPIRY_MS:
            return 0
        return len(self.address_by_vm.keys() - self._peer_by_vm.keys())
