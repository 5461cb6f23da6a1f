"""Connect memberships through in-memory channels on a paused clock."""

import heapq
import random
from dataclasses import dataclass, field

from marjoramfall.messages import MessageCodec
from marjoramfall.platform_services import VmRecord, VmRole, VmState
from marjoramfall.process.membership.member import (
    MemberRemoved,
    MembershipAction,
    SendMessage,
)
from marjoramfall.process.membership.membership import Membership

TICK_MS = 20
DELAY_MS = 1


@dataclass(slots=True)
class Node:
    """Hold one entry of the model."""

    incarnation: str
    address: str
    membership: Membership
    codec: MessageCodec
    alive: bool = True
    paused_until_ms: float = 0
    side: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0
    removed: list[tuple[float, str]] = field(default_factory=list)

    @property
    def view(self) -> set[str]:
        """Return the incarnations that this node has as members."""
        return {member.incarnation for member in self.membership.members}


class MemberModel:
    """Run entries whose messages may be lost or cut off by a partition."""

    def __init__(self, count: int, *, seed: int, loss: float = 0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.cut: set[str] = set()
        self.now_ms = float(0)
        self.nodes: list[Node] = []
        self._flying: list[tuple[float, int, str, bytes]] = []
        self._sent = 0
        for index in range(count):
            self.start(index)

    def start(self, index: int) -> Node:
        """Start a process on the VM of this index, in place of an earlier one."""
        address = f'10.0.{index // 250}.{index % 250}:7000'
        started = int(self.now_ms) + 1_700_000_000_000
        incarnation = f'vm-{index}.{started:012x}.{self.random.randrange(9999):04x}'
        for earlier in self.nodes:
            if earlier.address == address:
                earlier.alive = False
        seed = self.random.randrange(1 << 30)
        membership = Membership(incarnation, address, seed=seed)
        node = Node(incarnation, address, membership, MessageCodec(incarnation))
        self.nodes.append(node)
        listed = self.listed()
        for other in self.alive():
            self._perform(other, other.membership.on_vm_list(listed, self.now_ms))
        return node

    def alive(self) -> list[Node]:
        """Return the nodes whose processes run."""
        return [node for node in self.nodes if node.alive]

    def listed(self) -> list[VmRecord]:
        """Return the VM list, which still shows dead VMs."""
        addresses = {node.address: node.incarnation for node in self.nodes}
        return [
            VmRecord(name.partition('.')[0], address, VmRole.ENTRY, VmState.LIVE, 'a')
            for address, name in addresses.items()
        ]

    def run(self, duration_ms: float) -> None:
        """Advance the time and deliver, tick by tick."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._deliver()
            for node in self.alive():
                if node.paused_until_ms <= self.now_ms:
                    self._perform(node, node.membership.tick(self.now_ms))

    def _perform(self, node: Node, actions: list[MembershipAction]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(node, action)
            elif isinstance(action, MemberRemoved):
                node.removed.append((self.now_ms, action.incarnation))

    def _send(self, node: Node, action: SendMessage) -> None:
        frame = node.codec.encode(action.message)
        node.sent_bytes += len(frame)
        node.sent_messages += 1
        self._sent += 1
        if self.random.random() >= self.loss and self._connected(node, action.address):
            flight = (self.now_ms + DELAY_MS, self._sent, action.address, frame)
            heapq.heappush(self._flying, flight)

    def _connected(self, node: Node, address: str) -> bool:
        if {node.address, address} == self.cut:
            return False
        other = self._node_at(address)
        return other is None or other.side == node.side

    def _node_at(self, address: str) -> Node | None:
        for node in reversed(self.nodes):
            if node.address == address:
                return node if node.alive else None
        return None

    def _deliver(self) -> None:
        held = []
        while self._flying and self._flying[0][0] <= self.now_ms:
            flight = heapq.heappop(self._flying)
            node = self._node_at(flight[2])
            if node is None:
                continue
            if node.paused_until_ms > self.now_ms:
                held.append(flight)
                continue
            node.received_messages += 1
            sender, message = node.codec.decode(flight[3])
            actions = node.membership.on_message(sender, message, self.now_ms)
            self._perform(node, actions)
        for flight in held:
            heapq.heappush(self._flying, flight)
