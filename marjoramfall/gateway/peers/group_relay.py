"""Exchange digests with other groups on behalf of the own group."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.group_digest import (
    GroupDigest,
    Scope,
    decode_digest,
    encode_digest,
    mark_forwarded,
    was_forwarded,
)
from marjoramfall.gateway.peers.peer_table import PeerTable

# Speeds and the use of all teams change slowly and are large, so that they are
# sent less often.
FULL_STATE_INTERVAL_MS = 500

SendDatagram = Callable[[bytes, Iterable[str]], None]


class DigestListener(ABC):
    """Provide the digests of this entry and process those of others."""

    @abstractmethod
    def own_digest(self, scope: Scope, *, with_all_limits: bool) -> GroupDigest:
        """Return the digest to send as the relay of the group."""

    @abstractmethod
    def uptime_ms(self) -> int:
        """Return the time since the start of the process."""

    @abstractmethod
    def on_digest(self, digest: GroupDigest) -> None:
        """Process the digest of another group, or of all others."""

    @abstractmethod
    def on_relay_change(self) -> None:
        """React to another relay of the own group."""


class GroupRelay:
    """Send the sum of the own group to other groups, and theirs to the own one.

    Only one entry of a group, its relay, does so; the others receive the sum of all
    other groups from it.
    """

    def __init__(
        self,
        peers: PeerTable,
        listener: DigestListener,
        clock: Clock,
        *,
        own_vm: str,
        send: SendDatagram,
    ) -> None:
        self._peers = peers
        self._listener = listener
        self._clock = clock
        self._own_vm = own_vm
        self._send = send
        self._relay_vm = ''
        self._sent_full_ms = clock.monotonic_ms()

    @property
    def is_relay(self) -> bool:
        """Return whether this entry speaks for its group."""
        return self._relay_vm == self._own_vm

    def exchange_digests(self) -> None:
        """Find out who is the relay, and send the digests if it is this entry."""
        self._update_relay()
        if self.is_relay:
            self._send_digests()

    def receive(self, datagram: bytes) -> None:
        """Process a digest; raises `msgspec.DecodeError` or `UnknownFormError`."""
        digest = decode_digest(datagram)
        self._peers.check_sender(digest.vm, digest.group)
        is_of_group = digest.scope == Scope.GROUP
        is_own_group = digest.group == self._peers.groups.own_group
        if is_of_group == is_own_group:
            # This entry was in another group when the digest was sent.
            return
        if is_of_group and not self.is_relay:
            self._forward(datagram)
        elif is_of_group == self.is_relay and self._peers.outside.update(digest):
            self._listener.on_digest(digest)

    def _update_relay(self) -> None:
        relay_vm = self._peers.relay_vm(self._listener.uptime_ms())
        if relay_vm == self._relay_vm:
            return
        logger.bind(
            relay=relay_vm,
            previous=self._relay_vm,
            group=self._peers.groups.own_group,
            peers_heard=self._peers.group_entry_count() - 1,
        ).info('relay of the group changed')
        self._relay_vm = relay_vm
        self._peers.outside.forget_role(is_relay=self.is_relay)
        self._listener.on_relay_change()

    def _send_digests(self) -> None:
        now_ms = self._clock.monotonic_ms()
        is_full = now_ms - self._sent_full_ms >= FULL_STATE_INTERVAL_MS
        if is_full:
            self._sent_full_ms = now_ms
        own = self._listener.own_digest(Scope.GROUP, with_all_limits=is_full)
        self._send(encode_digest(own), self._relay_addresses())
        others = self._listener.own_digest(Scope.OTHER_GROUPS, with_all_limits=is_full)
        self._send(encode_digest(others), self._peers.group_addresses())

    def _relay_addresses(self) -> Iterator[str]:
        """Yield where to reach each other group: its relay, or any member.

        A member forwards the digest to the relay, which then makes itself heard.
        """
        groups = self._peers.groups
        for group in groups.names:
            if group != groups.own_group:
                relay = self._peers.outside.relay_address(group)
                yield relay or random.choice(self._peers.group_addresses(group))

    def _forward(self, datagram: bytes) -> None:
        """Pass on a digest whose sender does not know the relay of this group."""
        relay = self._peers.member_by_vm.get(self._relay_vm)
        if relay is not None and not was_forwarded(datagram):
            self._send(mark_forwarded(datagram), (relay.address,))
