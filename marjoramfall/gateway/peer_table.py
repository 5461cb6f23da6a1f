"""Keep the last state received from each peer."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.peer_state import PeerState

HEARTBEAT_MS = 250.0
# Lengthens the heartbeat interval with the number of peers, so that the traffic
# of an entry stays bounded.
HEARTBEAT_MS_PER_PEER = 2.0
# A peer is silent only after three lost heartbeats in a row, as single ones may
# be lost by chance.
SILENCE_TIMEOUT_HEARTBEATS = 3.6
# In a small system each change is sent to all entries immediately; in a large one
# only to those of the same data centre, in groups of at most this size.
NEAR_GROUP_SIZE = 20
# A partitioned peer may still be serving and using its share of the limits
# before it is connected again.
PEER_EXPIRY_MS = 20_000


@dataclass(slots=True)
class Peer:
    """Hold the last state of a peer and its arrival in monotonic milliseconds."""

    state: PeerState
    received_ms: float


class PeerTable:
    """Keep the newest state and the address of each peer."""

    def __init__(self, clock: Clock, *, own_vm: str, data_centre: str) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self._data_centre = data_centre
        self._started_ms = clock.monotonic_ms()
        self._peer_by_vm: dict[str, Peer] = {}
        self.address_by_vm: dict[str, str] = {}

    def add_address(self, vm: str, address: str) -> None:
        """Add the address of a peer that has not sent a state yet."""
        if vm != self._own_vm:
            self.address_by_vm[vm] = address

    def update(self, state: PeerState) -> PeerState | None:
        """Store a newer state and return the one it replaces, None for a new peer.

        An outdated state is not stored and is returned itself.
        """
        known = self._peer_by_vm.get(state.vm)
        now_ms = self._clock.monotonic_ms()
        if known is None:
            self._peer_by_vm[state.vm] = Peer(state, now_ms)
            self.address_by_vm[state.vm] = state.address
            return None
        previous = known.state
        is_same_incarnation = state.incarnation == previous.incarnation
        if is_same_incarnation and state.sequence <= previous.sequence:
            return state
        known.state = state
        known.received_ms = now_ms
        self.address_by_vm[state.vm] = state.address
        return previous

    @property
    def heartbeat_ms(self) -> float:
        """Return the maximum interval between two datagrams to a peer."""
        return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_PEER * len(self.address_by_vm))

    @property
    def is_large(self) -> bool:
        """Return whether there are too many peers to send each change to all."""
        return len(self.address_by_vm) >= NEAR_GROUP_SIZE

    @property
    def silence_timeout_ms(self) -> float:
        """Return the time after which a peer counts as silent."""
        return SILENCE_TIMEOUT_HEARTBEATS * self.heartbeat_ms

    def near_addresses(self) -> list[str]:
        """Return the addresses of the peers that receive every change immediately."""
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
        """Yield the peers that sent a state within the silence timeout."""
        oldest_ms = self._clock.monotonic_ms() - self.silence_timeout_ms
        for peer in self._peer_by_vm.values():
            if peer.received_ms >= oldest_ms:
                yield peer

    def is_in_touch(self) -> bool:
        """Return whether a peer was heard lately, or none is known.

        After a pause of this process it is false until a datagram was read.
        """
        return not self._peer_by_vm or next(self.live_peers(), None) is not None

    def unresponsive_share(self) -> float:
        """Return the share of entries whose use of the limits is not known here.

        They may be serving, but this entry receives no state from them: silent
        peers, except those that announced their stop, and shortly after the
        start of this entry also peers that have a known address but have not
        sent a state yet.
        """
        undiscovered = self._undiscovered_count()
        return (self._silent_count() + undiscovered) / (
            self.entry_count() + undiscovered
        )

    def entry_count(self) -> int:
        """Return the number of unexpired entries, including this one."""
        oldest_ms = self._clock.monotonic_ms() - PEER_EXPIRY_MS
        unexpired = sum(
            peer.received_ms >= oldest_ms for peer in self._peer_by_vm.values()
        )
        return unexpired + 1

    def drop_expired_peers(self) -> list[str]:
        """Remove the expired peers and return their VMs."""
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
