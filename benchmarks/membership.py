"""Measure the cost of membership by the number of entries, and its speed."""

import statistics
import time
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from benchmarks.member_model import MemberModel, Node
from benchmarks.table_writer import TableWriter

COUNTS = (9, 30, 90)
# News of 90 entries that start together takes half a minute to be told.
SETTLE_MS = 40_000
MEASURED_S = 10
REMOVAL_MS = 8000
SEED = 3
MAX_BYTES_PER_S = 6000
MAX_REMOVAL_MS_OF_NINE = 1500


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberCost:
    """Hold figures per node and second, and removal times in milliseconds."""

    count: int
    sent_bytes: float
    messages: float
    cpu_ms: float
    removal_ms: list[float]
    false_removals: int


def measure(count: int, *, loss: float) -> MemberCost:
    """Run entries with a share of lost messages, then end one of them.

    The processor time includes the in-memory channel and the codec.
    """
    model = MemberModel(count, seed=SEED, loss=loss)
    model.run(SETTLE_MS)
    before = _totals(model.nodes)
    start = time.process_time()
    model.run(MEASURED_S * 1000)
    cpu_ms = (time.process_time() - start) * 1000
    after = _totals(model.nodes)
    false_removals = sum(len(node.removed) for node in model.nodes)
    dead = model.nodes[0]
    dead.alive = False
    ended_ms = model.now_ms
    model.run(REMOVAL_MS)
    others = model.nodes[1:]
    removals = [
        removed_ms - ended_ms
        for node in others
        for removed_ms, incarnation in node.removed
        if removed_ms > ended_ms and incarnation == dead.incarnation
    ]
    return MemberCost(
        count=count,
        sent_bytes=(after[0] - before[0]) / MEASURED_S / count,
        messages=(after[1] - before[1]) / MEASURED_S / count,
        cpu_ms=cpu_ms / MEASURED_S / count,
        removal_ms=removals,
        false_removals=false_removals,
    )


def _totals(nodes: list[Node]) -> tuple[int, int]:
    sent_bytes = sum(node.sent_bytes for node in nodes)
    return sent_bytes, sum(node.sent_messages for node in nodes)


def run_loss(loss: float) -> list[MemberCost]:
    """Print the costs at one share of lost messages."""
    table = Table(title=f'membership per node and second, {loss:.0%} lost')
    for title in ('entries', 'bytes', 'messages', 'CPU ms', 'removal ms', 'false'):
        table.add_column(title)
    costs = [measure(count, loss=loss) for count in COUNTS]
    for cost in costs:
        spread = f'{statistics.mean(cost.removal_ms):.0f}, {max(cost.removal_ms):.0f}'
        table.add_row(
            str(cost.count),
            f'{cost.sent_bytes:.0f}',
            f'{cost.messages:.1f}',
            f'{cost.cpu_ms:.2f}',
            f'{spread} ({len(cost.removal_ms)}/{cost.count - 1})',
            str(cost.false_removals),
        )
    first, last = costs[0], costs[-1]
    slope = (last.sent_bytes - first.sent_bytes) / (last.count - first.count)
    console = Console()
    console.print(table)
    console.print(f'slope: {slope:.2f} bytes per second and further entry')
    return costs


def run(table_writer: TableWriter) -> None:
    """Measure without and with lost messages and check the bounds."""
    costs = run_loss(0) + run_loss(0.01)
    false_removals = sum(cost.false_removals for cost in costs)
    table_writer.at_most('false removals', false_removals, 0)
    table_writer.at_most(
        'bytes a second', max(cost.sent_bytes for cost in costs), MAX_BYTES_PER_S
    )
    nine = [ms for cost in costs if cost.count == COUNTS[0] for ms in cost.removal_ms]
    table_writer.at_most('removal at 9 entries, ms', max(nine), MAX_REMOVAL_MS_OF_NINE)
