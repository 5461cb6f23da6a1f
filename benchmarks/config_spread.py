"""Compare ways to bring a revision into force everywhere.

Prints simulated milliseconds until all entries have applied a change and
until its writer knows, with the configuration messages, their bytes and the
polls of the store in that time. Heartbeats belong to membership and are not
counted.
"""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from benchmarks.config_mesh import ConfigMesh, MeshNode
from benchmarks.table_writer import TableWriter
from marjoramfall.model import Tier
from marjoramfall.process.config.changes import PutTier
from marjoramfall.process.config.log import Submission
from marjoramfall.process.config.polls import READER_POLL_INTERVAL_MS
from marjoramfall.process.config.replication import (
    ReplicationAction,
    SendToPeer,
)
from tests.fakes import FakeTableService, FakeTableStorage

SIZES = (9, 30, 90)
SEEDS = tuple(range(3))
WARM_UP_MS = 2000
STEP_MS = 1
GIVE_UP_MS = 20_000
HEAL_AFTER_MS = 1000
IDLE_MS = 10_000
# Targets of the design page: section 8.
TARGET_MS = 500
TARGET_SIZE = 9
HEALING_TARGET_MS = 3000
# A push and its confirmation, and a few that cross with heartbeats.
MAX_MESSAGES_PER_ENTRY = 3


class PollingMesh(ConfigMesh):
    """Let every entry poll the store; there are no messages."""

    def start_polling(self, node: MeshNode) -> None:
        """Poll at the readers' interval, out of step with the others."""
        self._at(
            self._random.uniform(0, READER_POLL_INTERVAL_MS), lambda: self._repeat(node)
        )

    def _carry_out(self, node: MeshNode, actions: list[ReplicationAction]) -> None:
        """Drop messages and the polls of the strategy under comparison."""

    def _repeat(self, node: MeshNode) -> None:
        self.poll(node, node.state.revision)
        self._at(READER_POLL_INTERVAL_MS, lambda: self._repeat(node))


class AntiEntropyMesh(ConfigMesh):
    """Exchange records on heartbeats only, without pushing."""

    def filter_push(self, actions: list[ReplicationAction]) -> list[ReplicationAction]:
        """Drop the messages that a write, a poll or a tick pushes."""
        return [action for action in actions if not isinstance(action, SendToPeer)]


@dataclass(frozen=True, slots=True)
class SpreadFigures:
    """Hold what one change took; times in simulated milliseconds."""

    applied_ms: float
    confirmed_ms: float | None
    messages: int
    message_bytes: int
    polls: int


class ChangeRun:
    """Follow one change; the severed nodes are cut off for the first second."""

    def __init__(self, mesh: ConfigMesh, severed: int) -> None:
        self.mesh = mesh
        self.nodes = list(mesh.nodes_by_id.values())
        self.severed = self.nodes[len(self.nodes) - severed :]
        self.started_ms = mesh.now_ms

    def measure(self) -> SpreadFigures:
        """Write the change and wait until it is known to be in force."""
        self._set_severed(cut_off=True)
        self.mesh.counts.clear()
        change = PutTier(entity=Tier('gold', 0, 5000))
        submission = Submission(change, 'c1', 'bench', 0)
        revision = self.mesh.submit(self.nodes[0], submission).revision
        applied_ms = self._wait(lambda: self._is_applied(revision))
        confirmed_ms = None
        if not isinstance(self.mesh, PollingMesh):
            confirmed_ms = self._wait(lambda: self._is_confirmed(revision))
        counts = self.mesh.counts
        return SpreadFigures(
            applied_ms or GIVE_UP_MS,
            confirmed_ms,
            counts['messages'],
            counts['bytes'],
            counts['polls'],
        )

    def _wait(self, is_done: Callable[[], bool]) -> float | None:
        """Return the milliseconds since the change, None after giving up."""
        while not is_done():
            elapsed_ms = self.mesh.now_ms - self.started_ms
            if elapsed_ms >= GIVE_UP_MS:
                return None
            if elapsed_ms == HEAL_AFTER_MS:
                self._set_severed(cut_off=False)
            self.mesh.run(STEP_MS)
        return self.mesh.now_ms - self.started_ms

    def _set_severed(self, *, cut_off: bool) -> None:
        self.mesh.heal()
        if cut_off:
            self.mesh.partition(node.node_id for node in self.severed)
        for node in self.severed:
            node.tables.faults.outage = cut_off

    def _is_applied(self, revision: int) -> bool:
        return all(node.state.revision >= revision for node in self.nodes)

    def _is_confirmed(self, revision: int) -> bool:
        writer = self.nodes[0].replicator
        return writer.confirmation(revision, self.mesh.now_ms).in_force_everywhere


def measure_idle(mesh_type: type[ConfigMesh], size: int) -> float:
    """Return the polls of the store per second without any change."""
    mesh = _start(mesh_type, size, 0)
    mesh.counts.clear()
    mesh.run(IDLE_MS)
    return mesh.counts['polls'] * 1000 / IDLE_MS


def run(table_writer: TableWriter) -> None:
    """Print the comparison and check the targets."""
    missed = []
    for mesh_type in (PollingMesh, ConfigMesh, AntiEntropyMesh):
        for size in SIZES:
            print(f'{mesh_type.__name__} {size} entries')
            print(f'  idle: {measure_idle(mesh_type, size):.1f} polls/s')
            for cut in (0, size // 3):
                figures = [
                    ChangeRun(_start(mesh_type, size, seed), cut).measure()
                    for seed in SEEDS
                ]
                print(f'  cut off {cut}: {_summary(figures)}')
                if mesh_type is ConfigMesh:
                    missed += _missed(size, cut, figures)
    table_writer.at_most('missed targets of the configuration', len(missed), 0)


def _start(mesh_type: type[ConfigMesh], size: int, seed: int) -> ConfigMesh:
    mesh = mesh_type(seed=seed)
    storage = FakeTableStorage()
    for number in range(size):
        node = mesh.start(f'vm-{number}.0.a', FakeTableService(storage))
        if isinstance(mesh, PollingMesh):
            mesh.start_polling(node)
    mesh.list_members()
    mesh.run(WARM_UP_MS)
    return mesh


def _summary(figures: list[SpreadFigures]) -> str:
    applied = [figure.applied_ms for figure in figures]
    confirmed = [figure.confirmed_ms or GIVE_UP_MS for figure in figures]
    known = f'after {median(confirmed)}/{max(confirmed)} ms'
    if all(figure.confirmed_ms is None for figure in figures):
        known = f'not within {GIVE_UP_MS} ms'
    return (
        f'applied {median(applied)}/{max(applied)} ms, writer knows {known} '
        f'(median/most), {median(figure.messages for figure in figures)} messages, '
        f'{median(figure.message_bytes for figure in figures)} bytes, '
        f'{median(figure.polls for figure in figures)} polls'
    )


def _missed(size: int, cut: int, figures: list[SpreadFigures]) -> list[str]:
    """Return the targets that the slowest of the seeds missed."""
    slowest = max(figure.confirmed_ms or GIVE_UP_MS for figure in figures)
    if cut and slowest > HEALING_TARGET_MS:
        return [f'{size} entries, healing: {slowest} ms > {HEALING_TARGET_MS} ms']
    if not cut and size == TARGET_SIZE and slowest > TARGET_MS:
        return [f'{size} entries: {slowest} ms > {TARGET_MS} ms']
    messages = max(figure.messages for figure in figures)
    if not cut and messages > MAX_MESSAGES_PER_ENTRY * size:
        return [f'{size} entries: {messages} messages']
    return []
