"""Keep the last state received from each peer."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.peers.outside_groups import OutsideGroups
from marjoramfall.gateway.peers.peer_groups import PeerGroups, rendezvous_weight
from marjoramfall.gateway.peers.peer_state import PeerState

HEARTBEAT_MS = 250.0
# A peer is silent only after three lost heartbeats in a row, as single ones may
# be lost by chance.
SILENCE_TIMEOUT_MS = 3.6 * HEARTBEAT_MS
# A partitioned peer may still be serving and using its share of the limits
# before it is connected again.
PEER_EXPIRY_MS = 20_000
MIN_DUTY_UPTIME_MS = 3000


@dataclass(slots=True)
class Peer:
    """Hold the last state of a peer and its arrival in monotonic milliseconds."""

    state: PeerState
    received_ms: float


class MemberReading(Enum):
    """State how far the members have been read from the store."""

    NOT_TRIED = auto()
    FAILED = auto()
    DONE = auto()


@dataclass(frozen=True, slots=True)
class Member:
    """Hold where a known entry of the system listens for datagrams."""

    address: str
    data_centre: str


@dataclass(frozen=True, slots=True, order=True)
class Candidate:
    """Hold a live entry that may take a duty for its group; ordered by precedence.

    Those that just started come last, as they have not heard from all yet.
    """

    is_young: bool
    vm: str
    is_store_reachable: bool


@dataclass(frozen=True, slots=True)
class UnknownSender:
    """Name a sender of digests, and its group, of which one is not known here."""

    vm: str
    group: str


class PeerTable:
    """Keep the members of the system and the newest state of those in the own group.

    The entries of other groups are known by digests only.
    """

    def __init__(self, clock: Clock, *, own_vm: str, data_centre: str) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self._data_centre = data_centre
        self._started_ms = clock.monotonic_ms()
        self._peer_by_vm: dict[str, Peer] = {}
        self.member_by_vm: dict[str, Member] = {}
        self._groups = PeerGroups(own_vm, data_centre)
        self._has_new_members = False
        # Set once entries or groups are heard of that are not known here.
        self.is_incomplete = False
        self.reading = MemberReading.NOT_TRIED
        self._has_heard_any = False
        self._unknown_senders: set[UnknownSender] = set()
        self.outside = OutsideGroups(clock)

    @property
    def is_known(self) -> bool:
        """Return whether the members were read from the store, or some were heard.

        The latter is enough only if reading has failed.
        """
        if self.reading is MemberReading.FAILED:
            # Those that were heard may have expired since.
            return self._has_heard_any
        return self.reading is MemberReading.DONE

    def add_member(self, vm: str, member: Member) -> None:
        """Add an entry, or change where it listens."""
        if vm == self._own_vm or self.member_by_vm.get(vm) == member:
            return
        known = self.member_by_vm.get(vm)
        self._has_heard_any = True
        self.member_by_vm[vm] = member
        if known is None or known.data_centre != member.data_centre:
            self._has_new_members = True

    def check_sender(self, vm: str, group: str) -> None:
        """Note that members are missing here if a sender or its group is unknown.

        Each sender is noted once, as it may be unknown to the store as well.
        """
        if vm in self.member_by_vm and group in self.groups.names:
            return
        sender = UnknownSender(vm, group)
        if vm == self._own_vm or sender in self._unknown_senders:
            return
        self._unknown_senders.add(sender)
        self.is_incomplete = True
        logger.bind(
            peer=vm,
            group=group,
            own_group=self.groups.own_group,
            members=len(self.member_by_vm),
        ).info('digest of an unknown entry or group')

    @property
    def groups(self) -> PeerGroups:
        """Return the division of all known entries into groups."""
        if self._has_new_members:
            self._has_new_members = False
            self._update_groups()
        return self._groups

    def update(self, state: PeerState) -> PeerState | None:
        """Store a newer state and return the one it replaces, None for a new peer.

        An outdated state, or one of another group, is not stored and is returned
        itself.
        """
        self.add_member(state.vm, Member(state.address, state.data_centre))
        if not self.groups.has_member(state.vm):
            return state
        known = self._peer_by_vm.get(state.vm)
        now_ms = self._clock.monotonic_ms()
        if known is None:
            self._peer_by_vm[state.vm] = Peer(state, now_ms)
            return None
        previous = known.state
        is_same_incarnation = state.incarnation == previous.incarnation
        if is_same_incarnation and state.sequence <= previous.sequence:
            return state
        known.state = state
        known.received_ms = now_ms
        return previous

    @property
    def is_large(self) -> bool:
        """Return whether the entries are divided into several groups."""
        return not self.groups.is_single

    def group_addresses(self, group: str | None = None) -> list[str]:
        """Return the addresses of the other members of a group, the own by default."""
        name = group or self.groups.own_group
        return [
            member.address
            for vm, member in self.member_by_vm.items()
            if self.groups.group_by_vm[vm] == name
        ]

    def data_centre_addresses(self) -> list[str]:
        """Return the addresses of the other entries of the own data centre."""
        return [
            member.address
            for member in self.member_by_vm.values()
            if member.data_centre == self._data_centre
        ]

    def relay_vm(self, uptime_ms: int) -> str:
        """Return the VM of the live entry that speaks for the own group.

        `uptime_ms` is the uptime of this entry.
        """
        return self.candidates(uptime_ms)[0].vm

    def candidates(
        self, uptime_ms: int, *, is_store_reachable: bool = True
    ) -> list[Candidate]:
        """Return the live entries of the group that do not leave, by precedence.

        Takes the uptime of this entry and whether it reaches the store.
        """
        is_young = uptime_ms < MIN_DUTY_UPTIME_MS
        own = Candidate(is_young, self._own_vm, is_store_reachable)
        peers = [
            Candidate(
                peer.state.uptime_ms < MIN_DUTY_UPTIME_MS,
                peer.state.vm,
                not peer.state.is_store_unreachable,
            )
            for peer in self.live_peers()
            if not peer.state.is_leaving
        ]
        return sorted((own, *peers))

    def is_user_of(self, server: BackendServer) -> bool:
        """Return whether this is the one entry that uses a server alone.

        Entries that hear less than half of their group can't tell, nor can those that
        have just started.
        """
        groups = self.groups
        group = groups.preferred_group(server)
        if group != groups.own_group:
            return False
        live = [peer.state for peer in self.live_peers()]
        members = sum(map(groups.has_member, self.member_by_vm)) + 1
        uptime_ms = self._clock.monotonic_ms() - self._started_ms
        if 2 * (len(live) + 1) < members or uptime_ms < MIN_DUTY_UPTIME_MS:
            return False
        weight = rendezvous_weight(server.server_id, self._own_vm)
        return all(
            rendezvous_weight(server.server_id, state.vm) < weight
            for state in live
            if state.uptime_ms >= MIN_DUTY_UPTIME_MS and not state.is_leaving
        )

    def live_peers(self) -> Iterator[Peer]:
        """Yield the peers that sent a state within the silence timeout."""
        oldest_ms = self._clock.monotonic_ms() - SILENCE_TIMEOUT_MS
        for peer in self._peer_by_vm.values():
            if peer.received_ms >= oldest_ms:
                yield peer

    def is_unheard(self, vm: str) -> bool:
        """Return whether a member of the own group has sent no state lately."""
        if vm == self._own_vm or not self.groups.has_member(vm):
            return False
        peer = self._peer_by_vm.get(vm)
        oldest_ms = self._clock.monotonic_ms() - SILENCE_TIMEOUT_MS
        return peer is None or peer.received_ms < oldest_ms

    def is_first_of_group(self, uptime_ms: int) -> bool:
        """Return whether this entry is the first of the live ones of its group."""
        return self.relay_vm(uptime_ms) == self._own_vm

    def is_in_touch(self) -> bool:
        """Return whether a peer was heard lately, or none is known.

        After a pause of this process it is false until a datagram was read.
        """
        return not self._peer_by_vm or next(self.live_peers(), None) is not None

    def unresponsive_share(self) -> float:
        """Return the share of entries whose use of the limits is not known here.

        They may be serving, but this entry receives no state from them: silent
        peers, except those that announced their stop, and shortly after the
        start of this entry also members that have not sent a state yet.
        """
        undiscovered = self._undiscovered_count()
        silent = self.silent_count() + self.outside.silent_count()
        return (silent + undiscovered) / (self.entry_count() + undiscovered)

    def entry_count(self) -> int:
        """Return the number of unexpired entries, including this one."""
        return self.group_entry_count() + self.outside.entry_count()

    def expected_entry_count(self) -> int:
        """Return the number of entries with those not heard since a recent start."""
        return self.entry_count() + self._undiscovered_count()

    def group_entry_count(self) -> int:
        """Return the number of unexpired entries of the own group."""
        oldest_ms = self._clock.monotonic_ms() - PEER_EXPIRY_MS
        unexpired = sum(
            peer.received_ms >= oldest_ms for peer in self._peer_by_vm.values()
        )
        return unexpired + 1

    def silent_count(self) -> int:
        """Return how many entries of the own group fell silent without a stop."""
        now_ms = self._clock.monotonic_ms()
        return sum(
            SILENCE_TIMEOUT_MS < now_ms - peer.received_ms < PEER_EXPIRY_MS
            and not peer.state.is_leaving
            for peer in self._peer_by_vm.values()
        )

    def drop_expired_peers(self) -> list[str]:
        """Remove the state of expired peers and return their VMs."""
        oldest_ms = self._clock.monotonic_ms() - PEER_EXPIRY_MS
        expired = [
            vm for vm, peer in self._peer_by_vm.items() if peer.received_ms < oldest_ms
        ]
        for vm in expired:
            self._peer_by_vm.pop(vm)
            if self.groups.is_single:
                self.member_by_vm.pop(vm, None)
        return expired

    def _update_groups(self) -> None:
        self._groups.update(
            {vm: member.data_centre for vm, member in self.member_by_vm.items()}
        )
        for vm in tuple(self._peer_by_vm):
            if not self._groups.has_member(vm):
                self._peer_by_vm.pop(vm)

    def _undiscovered_count(self) -> int:
        if self._clock.monotonic_ms() - self._started_ms >= PEER_EXPIRY_MS:
            return 0
        group = self.groups
        undiscovered = self.member_by_vm.keys() - self._peer_by_vm.keys()
        in_group = sum(map(group.has_member, undiscovered))
        if self.outside.is_known:
            return in_group
        return len(undiscovered)
