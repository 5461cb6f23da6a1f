"""Run the configuration classes of several entries over simulated links."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

from marjoramfall.clock import PausedClock
from marjoramfall.messages import (
    ConfigEntries,
    ConfigRequest,
    Heartbeat,
    Message,
    MessageCodec,
    ProbeReply,
)
from marjoramfall.platform_services import PlatformError, TableService
from marjoramfall.process.config.log import ConfigLog, Submission, WrittenChange
from marjoramfall.process.config.replication import (
    ConfigReplicator,
    PeerReport,
    PollStore,
    ReplicationAction,
    SendToPeer,
)
from marjoramfall.process.config.state import ConfigState

TICK_MS = 50
HEARTBEAT_MS = 200
PROBES_PER_HEARTBEAT = 2
LINK_MS = (0.5, 1.5)
STORE_MS = 5


class MeshNode:
    """Hold one entry; `tables` is its own connection to the store."""

    def __init__(self, node_id: str, tables: TableService) -> None:
        self.node_id = node_id
        self.tables = tables
        self.state = ConfigState()
        self.log = ConfigLog(tables, PausedClock())
        self.replicator = ConfigReplicator(node_id, self.state)
        self.codec = MessageCodec(node_id)


class ConfigMesh:
    """Deliver messages in simulated time and count configuration messages.

    Times are in milliseconds. Heartbeats are part of membership and are not
    counted.
    """

    def __init__(self, *, seed: int, probes: int = PROBES_PER_HEARTBEAT) -> None:
        self.now_ms = float(0)
        self.nodes_by_id: dict[str, MeshNode] = {}
        self.counts: Counter[str] = Counter()
        self._random = Random(seed)
        self._probes = probes
        self._side_by_id: dict[str, int] = {}
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def start(self, node_id: str, tables: TableService) -> MeshNode:
        """Start a node with an empty state."""
        node = MeshNode(node_id, tables)
        self.nodes_by_id[node_id] = node
        self._at(self._random.uniform(0, TICK_MS), lambda: self._tick(node))
        self._at(self._random.uniform(0, HEARTBEAT_MS), lambda: self._heartbeat(node))
        return node

    def stop(self, node_id: str) -> None:
        """Stop a node as if its process had been killed."""
        self.nodes_by_id.pop(node_id)

    def list_members(self) -> None:
        """Tell every node the current members."""
        for node in self.nodes_by_id.values():
            self._carry_out(
                node, node.replicator.on_members(self.nodes_by_id, self.now_ms)
            )

    def partition(self, node_ids: Iterable[str], side: int = 1) -> None:
        """Cut the nodes off from those of other sides."""
        self._side_by_id.update(dict.fromkeys(node_ids, side))

    def heal(self) -> None:
        """Connect all nodes again."""
        self._side_by_id.clear()

    def submit(self, node: MeshNode, submission: Submission) -> WrittenChange:
        """Write a change at a node and push it."""
        written = node.log.submit(submission, node.state)
        actions = node.replicator.on_written(
            written.revision, written.text, self.now_ms
        )
        self._carry_out(node, self.filter_push(actions))
        return written

    def filter_push(self, actions: list[ReplicationAction]) -> list[ReplicationAction]:
        """Return those of the pushing actions that the strategy keeps."""
        return actions

    def run(self, duration_ms: float) -> None:
        """Let the time pass."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2]()
        self.now_ms = end_ms

    def poll(self, node: MeshNode, after_revision: int) -> None:
        """Read the store for a node."""
        started_ms = self.now_ms
        self.counts['polls'] += 1
        self._at(STORE_MS, lambda: self._polled(node, after_revision, started_ms))

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether messages pass between two nodes."""
        return self._side_by_id.get(one, 0) == self._side_by_id.get(other, 0)

    def _at(self, delay_ms: float, deliver: Callable[[], None]) -> None:
        event = (self.now_ms + delay_ms, next(self._order), deliver)
        heapq.heappush(self._events, event)

    def _is_up(self, node: MeshNode) -> bool:
        return self.nodes_by_id.get(node.node_id) is node

    def _tick(self, node: MeshNode) -> None:
        if self._is_up(node):
            actions = node.replicator.tick(self.now_ms)
            self._carry_out(node, self.filter_push(actions))
            self._at(TICK_MS, lambda: self._tick(node))

    def _heartbeat(self, node: MeshNode) -> None:
        if not self._is_up(node):
            return
        others = [node_id for node_id in self.nodes_by_id if node_id != node.node_id]
        probed = min(self._probes, len(others))
        for peer_id in self._random.sample(others, probed):
            self._send(node, peer_id, self._report(node, Heartbeat, self.now_ms))
        self._at(HEARTBEAT_MS, lambda: self._heartbeat(node))

    def _report(
        self, node: MeshNode, kind: type[Heartbeat] | type[ProbeReply], asked_ms: float
    ) -> Heartbeat | ProbeReply:
        """Return a heartbeat; the probe number is the time of the probe in us."""
        return kind(
            address=node.node_id,
            revision=node.state.revision,
            head_age_ms=node.replicator.head_age_ms(self.now_ms),
            store_reachable=node.replicator.store_reachable,
            probe=int(asked_ms * 1000),
        )

    def _send(self, node: MeshNode, peer_id: str, message: Message) -> None:
        frame = node.codec.encode(message)
        if isinstance(message, ConfigEntries | ConfigRequest):
            self.counts['messages'] += 1
            self.counts['bytes'] += len(frame)
        if self.is_connected(node.node_id, peer_id):
            self._at(
                self._random.uniform(*LINK_MS), lambda: self._receive(peer_id, frame)
            )

    def _receive(self, node_id: str, frame: bytes) -> None:
        node = self.nodes_by_id.get(node_id)
        if node is None:
            return
        sender, message = node.codec.decode(frame)
        if isinstance(message, ConfigEntries):
            actions = node.replicator.on_entries(sender, message, self.now_ms)
        elif isinstance(message, ConfigRequest):
            actions = node.replicator.on_request(sender, message, self.now_ms)
        else:
            actions = self._receive_report(node, sender, message)
        self._carry_out(node, actions)

    def _receive_report(
        self, node: MeshNode, sender: str, message: Heartbeat | ProbeReply
    ) -> list[ReplicationAction]:
        asked_ms = message.probe / 1000
        is_answer = isinstance(message, ProbeReply)
        if not is_answer:
            self._send(node, sender, self._report(node, ProbeReply, asked_ms))
        report = PeerReport(
            message.revision,
            message.head_age_ms,
            message.store_reachable,
            asked_ms if is_answer else None,
        )
        return node.replicator.on_heartbeat(sender, report, self.now_ms)

    def _carry_out(self, node: MeshNode, actions: Iterable[ReplicationAction]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send(node, action.peer_id, action.message)
            elif isinstance(action, PollStore):
                self.poll(node, action.after_revision)

    def _polled(self, node: MeshNode, after_revision: int, started_ms: float) -> None:
        if not self._is_up(node):
            return
        try:
            tail = node.log.poll(after_revision)
        except PlatformError:
            self._carry_out(node, node.replicator.on_poll_failed(self.now_ms))
            return
        actions = node.replicator.on_polled(tail, started_ms, self.now_ms)
        self._carry_out(node, self.filter_push(actions))
