"""Exchange state with the other entries by datagrams and snapshots."""

import random
from abc import abstractmethod
from collections.abc import Iterable, Iterator

import msgspec
from gevent import socket
from gevent.event import Event
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.peers.group_digest import (
    DIGEST_MARK,
    GroupDigest,
    UnknownFormError,
)
from marjoramfall.gateway.peers.group_relay import (
    FULL_STATE_INTERVAL_MS,
    DigestListener,
    GroupRelay,
)
from marjoramfall.gateway.peers.outside_groups import digest_interval_ms
from marjoramfall.gateway.peers.peer_state import PeerState, decode_state, encode_state
from marjoramfall.gateway.peers.peer_table import HEARTBEAT_MS, PeerTable
from marjoramfall.gateway.peers.snapshot_client import fetch_snapshot
from marjoramfall.gateway.registry import Registry
from marjoramfall.gateway.servers.backend_connection import (
    BrokenExchangeError,
    NotReachedError,
    split_address,
)
from marjoramfall.gateway.tasks import start_task
from marjoramfall.listening import binding

# Changes within this time are sent in one datagram.
COALESCE_MS = 4
LARGE_SYSTEM_COALESCE_MS = 15
MAX_DATAGRAM_BYTES = 65000
# The watch of the store pauses after each change, so that a shorter lag is
# normal; after a longer one a snapshot is fetched from a peer.
CATCH_UP_DELAY_MS = 1000
CHECK_INTERVAL_MS = 100
# A new entry tells its whole data centre where it listens, as it may change the
# division into groups.
INTRODUCTIONS = 3

Advertisement = PeerState | GroupDigest


class PeerListener(DigestListener):
    """Provide the state of this entry and process that of peers."""

    @abstractmethod
    def own_state(self, *, with_speeds: bool, with_all_limits: bool) -> PeerState:
        """Return the state to send to peers."""

    @abstractmethod
    def on_peer_state(self, state: PeerState) -> None:
        """Process a new state of a peer."""

    @abstractmethod
    def follows_store(self) -> bool:
        """Return whether this entry follows the store itself."""

    @abstractmethod
    def on_stale_watch(self) -> None:
        """React to a store watch that is behind the state of peers."""


class PeerExchange:
    """Send the state of this entry to its group at each change and heartbeat.

    Each datagram replaces the one before, so that a lost one is not resent. The
    relay of a group exchanges digests with those of the others and passes their
    sum on to its group.
    """

    def __init__(
        self,
        address: str,
        peers: PeerTable,
        registry: Registry,
        listener: PeerListener,
        clock: Clock,
        *,
        own_vm: str,
    ) -> None:
        """Listen at the address; raises `CannotListenError`."""
        self._peers = peers
        self._registry = registry
        self._listener = listener
        self._clock = clock
        self._changed = Event()
        self._behind_since_ms: float | None = None
        self._sent_heartbeat_ms = clock.monotonic_ms()
        self._sent_full_ms = self._sent_heartbeat_ms
        self._introductions_left = INTRODUCTIONS
        self._relay = GroupRelay(peers, listener, clock, own_vm=own_vm, send=self._send)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with binding(address):
            self._socket.bind(split_address(address))

    def start(self) -> None:
        """Start the greenlets that send, receive and catch up."""
        for name, run in (
            ('send states', self._send_loop),
            ('receive states', self._receive_loop),
            ('catch up', self._catch_up_loop),
            ('exchange digests', self._digest_loop),
        ):
            start_task(run, self._clock, name=name)

    def schedule_datagram(self) -> None:
        """Schedule a datagram to the peers after a change of state."""
        self._changed.set()

    def _send_loop(self) -> None:
        while True:
            now_ms = self._clock.monotonic_ms()
            wait_ms = max(1, self._next_heartbeat_ms - now_ms)
            if self._changed.wait(wait_ms / MS_PER_SECOND):
                self._clock.sleep_ms(self._coalesce_ms)
                self._changed.clear()
                self._send_state(
                    self._peers.group_addresses(),
                    with_speeds=False,
                    with_all_limits=not self._peers.is_large,
                )
            if self._clock.monotonic_ms() >= self._next_heartbeat_ms:
                self._send_heartbeat()

    @property
    def _coalesce_ms(self) -> int:
        return LARGE_SYSTEM_COALESCE_MS if self._peers.is_large else COALESCE_MS

    @property
    def _next_heartbeat_ms(self) -> float:
        return self._sent_heartbeat_ms + HEARTBEAT_MS

    def _send_heartbeat(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self._sent_heartbeat_ms = now_ms
        is_full = now_ms - self._sent_full_ms >= FULL_STATE_INTERVAL_MS
        if is_full:
            self._sent_full_ms = now_ms
        addresses = self._peers.group_addresses()
        if self._introductions_left and self._peers.member_by_vm:
            self._introductions_left -= 1
            addresses = {*addresses, *self._peers.data_centre_addresses()}
        self._send_state(addresses, with_speeds=is_full, with_all_limits=is_full)

    def _send_state(
        self, addresses: Iterable[str], *, with_speeds: bool, with_all_limits: bool
    ) -> None:
        state = self._listener.own_state(
            with_speeds=with_speeds, with_all_limits=with_all_limits
        )
        self._send(encode_state(state), addresses)

    def _send(self, datagram: bytes, addresses: Iterable[str]) -> None:
        for address in addresses:
            try:
                self._socket.sendto(datagram, split_address(address))
            except (OSError, ValueError) as error:
                logger.bind(peer=address, details=str(error)).debug(
                    'sending a datagram to a peer failed'
                )

    def _digest_loop(self) -> None:
        while True:
            self._clock.sleep_ms(digest_interval_ms(len(self._peers.groups.names)))
            if self._peers.is_large:
                self._relay.exchange_digests()

    def _receive_loop(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
                self._receive(datagram)
            except (OSError, msgspec.DecodeError, UnknownFormError) as error:
                logger.bind(details=str(error)).warning(
                    'receiving or decoding a datagram failed'
                )

    def _receive(self, datagram: bytes) -> None:
        if datagram.startswith(DIGEST_MARK):
            self._relay.receive(datagram)
            return
        state = decode_state(datagram)
        is_known = state.vm in self._peers.member_by_vm
        previous = self._peers.update(state)
        if not is_known:
            logger.bind(peer=state.vm, address=state.address).info('peer discovered')
            self.schedule_datagram()
        if previous is state:
            return
        if previous is None or previous.incarnation != state.incarnation:
            self._answer_start(state)
        self._listener.on_peer_state(state)

    def _answer_start(self, state: PeerState) -> None:
        """Tell a peer that has started what it knows nothing of, levels of limits."""
        self._send_state((state.address,), with_speeds=True, with_all_limits=True)

    def _catch_up_loop(self) -> None:
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            for vm in self._peers.drop_expired_peers():
                logger.bind(peer=vm).info('expired peer removed')
            newer = max(
                filter(self._is_ahead, self._advertisements()),
                key=_revisions,
                default=None,
            )
            now_ms = self._clock.monotonic_ms()
            if newer is None:
                self._behind_since_ms = None
            elif self._behind_since_ms is None:
                self._behind_since_ms = now_ms
            if newer and now_ms - self._behind_since_ms >= self._catch_up_delay_ms:
                self._behind_since_ms = None
                self._fetch_and_merge(newer)
                self._listener.on_stale_watch()

    @property
    def _catch_up_delay_ms(self) -> float:
        return CATCH_UP_DELAY_MS if self._listener.follows_store() else 0

    def _advertisements(self) -> Iterator[Advertisement]:
        for peer in self._peers.live_peers():
            yield peer.state
        for received in self._peers.outside.live():
            yield received.digest

    def _is_ahead(self, state: Advertisement) -> bool:
        registry = self._registry
        version = 0 if registry.config is None else registry.config.version
        return (
            state.config_version > version
            or state.servers_revision > registry.servers_state.as_of
            or state.config_revision > registry.config_state.as_of
        )

    def _fetch_and_merge(self, state: Advertisement) -> None:
        try:
            snapshot = fetch_snapshot(state.address)
        except (NotReachedError, BrokenExchangeError, msgspec.DecodeError) as error:
            logger.bind(peer=state.vm, details=str(error)).warning(
                'fetching a snapshot from a peer failed'
            )
            return
        logger.bind(peer=state.vm, servers_as_of=snapshot.servers_as_of).info(
            'snapshot fetched from a peer'
        )
        self._registry.merge(snapshot)


def _revisions(state: Advertisement) -> tuple[int, int, int, float]:
    """Return what orders peers by how much they know, and at random if equal.

    A peer that was cut off may still hold a withdrawn key or a server that has left.
    """
    return (
        state.config_version,
        state.servers_revision,
        state.config_revision,
        random.random(),
    )
