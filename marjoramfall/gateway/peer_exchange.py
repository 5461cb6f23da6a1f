"""Exchange state with the other entries by datagrams and snapshots."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from contextlib import closing

import msgspec
from gevent import socket, spawn
from gevent.event import Event
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    NotReachedError,
    split_address,
)
from marjoramfall.gateway.http_messages import ResponseBounds
from marjoramfall.gateway.peer_state import PeerState, decode_state, encode_state
from marjoramfall.gateway.peer_table import Peer, PeerTable
from marjoramfall.gateway.registry import Registry, Snapshot

# Changes within this time are sent in one datagram.
COALESCE_MS = 4
LARGE_SYSTEM_COALESCE_MS = 15
# Speeds and the use of all teams change slowly and are large, so that they are
# sent less often.
FULL_STATE_INTERVAL_MS = 500
MAX_DATAGRAM_BYTES = 65000
# The watch of the store pauses after each change, so that a shorter lag is
# normal; after a longer one a snapshot is fetched from a peer.
CATCH_UP_DELAY_MS = 1000
CHECK_INTERVAL_MS = 100
FETCH_TIMEOUT_MS = 700
SNAPSHOT_PATH = '/snapshot'
SNAPSHOT_BOUNDS = ResponseBounds(body_bytes=4_194_304)


class PeerListener(ABC):
    """Provide the state of this entry and process that of peers."""

    @abstractmethod
    def own_state(self, *, with_speeds: bool, with_all_teams: bool) -> PeerState:
        """Return the state to send to peers."""

    @abstractmethod
    def on_peer_state(self, state: PeerState, previous: PeerState | None) -> None:
        """Process a new state of a peer; `previous` is None for a new peer."""

    @abstractmethod
    def on_stale_watch(self) -> None:
        """React to a store watch that is behind the state of peers."""


class PeerExchange:
    """Send the state of this entry in a datagram at each change and heartbeat.

    Each datagram replaces the one before, so that a lost one is not resent.
    """

    def __init__(
        self,
        address: str,
        peers: PeerTable,
        registry: Registry,
        listener: PeerListener,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._registry = registry
        self._listener = listener
        self._clock = clock
        self._changed = Event()
        self._behind_since_ms: float | None = None
        self._sent_heartbeat_ms = clock.monotonic_ms()
        self._sent_full_ms = self._sent_heartbeat_ms
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(split_address(address))

    def start(self) -> None:
        """Start the greenlets that send, receive and catch up."""
        spawn(self._send_loop)
        spawn(self._receive_loop)
        spawn(self._catch_up_loop)

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
                    self._peers.near_addresses(),
                    with_speeds=False,
                    with_all_teams=not self._peers.is_large,
                )
            if self._clock.monotonic_ms() >= self._next_heartbeat_ms:
                self._send_heartbeat()

    @property
    def _coalesce_ms(self) -> int:
        return LARGE_SYSTEM_COALESCE_MS if self._peers.is_large else COALESCE_MS

    @property
    def _next_heartbeat_ms(self) -> float:
        return self._sent_heartbeat_ms + self._peers.heartbeat_ms

    def _send_heartbeat(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self._sent_heartbeat_ms = now_ms
        near = self._peers.near_addresses()
        distant = set(self._peers.address_by_vm.values()).difference(near)
        is_full = now_ms - self._sent_full_ms >= FULL_STATE_INTERVAL_MS
        if is_full:
            self._sent_full_ms = now_ms
        self._send_state(near, with_speeds=is_full, with_all_teams=is_full)
        # Entries outside the near group rarely use the servers measured here.
        self._send_state(distant, with_speeds=False, with_all_teams=is_full)

    def _send_state(
        self, addresses: Iterable[str], *, with_speeds: bool, with_all_teams: bool
    ) -> None:
        state = self._listener.own_state(
            with_speeds=with_speeds, with_all_teams=with_all_teams
        )
        datagram = encode_state(state)
        for address in addresses:
            try:
                self._socket.sendto(datagram, split_address(address))
            except OSError as error:
                logger.bind(peer=address, details=str(error)).debug(
                    'sending a datagram to a peer failed'
                )

    def _receive_loop(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
                state = decode_state(datagram)
            except (OSError, msgspec.DecodeError) as error:
                logger.bind(details=str(error)).warning(
                    'receiving or decoding a datagram failed'
                )
                continue
            is_known = state.vm in self._peers.address_by_vm
            previous = self._peers.update(state)
            if not is_known:
                logger.bind(peer=state.vm, address=state.address).info(
                    'peer discovered'
                )
                self.schedule_datagram()
            if previous is not state:
                self._listener.on_peer_state(state, previous)

    def _catch_up_loop(self) -> None:
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            for vm in self._peers.drop_expired_peers():
                logger.bind(peer=vm).info('expired peer removed')
            newer = max(
                filter(self._is_ahead, self._peers.live_peers()),
                key=_revisions,
                default=None,
            )
            now_ms = self._clock.monotonic_ms()
            if newer is None:
                self._behind_since_ms = None
            elif self._behind_since_ms is None:
                self._behind_since_ms = now_ms
            elif now_ms - self._behind_since_ms >= CATCH_UP_DELAY_MS:
                self._behind_since_ms = None
                self._fetch_and_merge(newer.state)
                self._listener.on_stale_watch()

    def _is_ahead(self, peer: Peer) -> bool:
        registry = self._registry
        version = 0 if registry.config is None else registry.config.version
        return (
            peer.state.config_version > version
            or peer.state.servers_revision > registry.servers_state.as_of
            or peer.state.config_revision > registry.config_state.as_of
        )

    def _fetch_and_merge(self, state: PeerState) -> None:
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


def _revisions(peer: Peer) -> tuple[int, int, int]:
    """Return what orders peers by how much they know.

    A peer that was cut off may still hold a withdrawn key or a server that has left.
    """
    state = peer.state
    return state.config_version, state.servers_revision, state.config_revision


def fetch_snapshot(address: str) -> Snapshot:
    """Fetch the configuration and servers known to the entry at an address.

    Raises `NotReachedError`, `BrokenExchangeError` or `msgspec.DecodeError`.
    """
    opened = BackendConnection(
        address, connect_timeout_ms=FETCH_TIMEOUT_MS, bounds=SNAPSHOT_BOUNDS
    )
    with closing(opened) as connection:
        connection.send(
            f'GET {SNAPSHOT_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n'.encode()
        )
        response = connection.read_response(FETCH_TIMEOUT_MS)
        body = connection.read_all(response, FETCH_TIMEOUT_MS)
    return msgspec.msgpack.decode(body, type=Snapshot)
