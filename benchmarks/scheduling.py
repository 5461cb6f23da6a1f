"""Compare ways of scheduling on the same seeded traces."""

import copy
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from benchmarks.policies import (
    ExchangedCreditsPolicy,
    LeastOutstandingPolicy,
    LocalQueuesPolicy,
    RoundRobinPolicy,
)
from benchmarks.shared_dispatcher import (
    LocalDispatchersPolicy,
    SharedDispatcherPolicy,
)
from benchmarks.simulation import Policy, Simulation
from benchmarks.table_writer import TableWriter
from benchmarks.traces import BLOCK_TOKENS, DEADLINES_MS, Job, Scenario, TraceMaker
from benchmarks.upper_bound import FluidBound

SEED = 20261204
# Scenarios run side by side, as they take a minute each.
WORKERS = 4
SLICE_MS = 60_000
WINDOW_MS = (30_000, 210_000)
SHARED = 'shared dispatcher'
TOP_TIER = 0.999
OF_BOUND = 0.95
PREFILL = 1.1
BOUND = 'offline bound'
STRICT = 'bound, strict order'
TIERS = tuple(range(len(DEADLINES_MS)))
POLICIES: dict[str, Callable[[], Policy]] = {
    SHARED: SharedDispatcherPolicy,
    'dispatcher per entry': LocalDispatchersPolicy,
    'round robin': RoundRobinPolicy,
    'least outstanding': LeastOutstandingPolicy,
    'queue per entry': LocalQueuesPolicy,
    'exchanged credits': ExchangedCreditsPolicy,
}
FAULT_MS = (90_000, 150_000)
SCENARIOS = (
    Scenario(name='steady 0.75x', load=lambda _: 0.75),
    Scenario(name='overload 1.5x', load=lambda _: 1.5),
    Scenario(name='overload 3x', load=lambda _: 3),
    Scenario(
        name='one-entry burst 4x for 20 s over 0.6x',
        load=lambda now_ms: 4 if 100_000 <= now_ms < 120_000 else 0.6,
        burst_entry_share=0.85,
        burst_ms=(100_000, 120_000),
    ),
    Scenario(
        name='fastest engine at a fifth for 60 s, 0.75x',
        load=lambda _: 0.75,
        slow_engine=0,
        slow_ms=FAULT_MS,
    ),
    Scenario(
        name='half of load reports lost, 1.2x', load=lambda _: 1.2, report_loss=0.5
    ),
    Scenario(
        name='store outage for 60 s, 1.2x, 60% at one entry',
        load=lambda _: 1.2,
        burst_entry_share=0.6,
        burst_ms=FAULT_MS,
        store_outage_ms=FAULT_MS,
    ),
)
COLUMNS = (
    'way',
    'tier 0',
    'tier 1',
    'tier 2',
    'tier 3',
    'of bound',
    'inversions',
    'overtaken',
    'prefill',
    'late prefill',
)


def run(table_writer: TableWriter) -> None:
    """Run every scenario with every policy."""
    with ProcessPoolExecutor(WORKERS) as pool:
        measured = pool.map(measure_scenario, range(len(SCENARIOS)))
        for scenario, rows in zip(SCENARIOS, measured, strict=True):
            report(scenario, rows, table_writer)


def measure_scenario(number: int) -> dict[str, list[object]]:
    """Return the row of each policy and bound in one scenario."""
    scenario = SCENARIOS[number]
    return ScenarioRun(scenario, TraceMaker(scenario, SEED).make()).measure()


def report(
    scenario: Scenario, rows: dict[str, list[object]], table_writer: TableWriter
) -> None:
    """Write the table of a scenario and check the targets."""
    table = [(name, *row) for name, row in rows.items()]
    table_writer.write(scenario.name, COLUMNS, table)
    shared = rows[SHARED]
    checks = (
        ('goodput of the top tier', shared[0], TOP_TIER, shared[0] >= TOP_TIER),
        ('goodput of the bound', shared[4], OF_BOUND, shared[4] >= OF_BOUND),
        ('priority inversions', shared[5], 0, not shared[5]),
        ('prefill over the least', shared[7], PREFILL, shared[7] <= PREFILL),
    )
    for name, measured, bound, met in checks:
        table_writer.target(f'{scenario.name}: {name}', measured, bound, met=met)


class ScenarioRun:
    """Run one scenario with every policy and compare with the bound."""

    def __init__(self, scenario: Scenario, jobs: list[Job]) -> None:
        self._scenario = scenario
        self._jobs = jobs
        self._bound_ms = FluidBound(scenario, jobs).run(WINDOW_MS)

    def measure(self) -> dict[str, list[object]]:
        """Return the row of each policy and bound."""
        rows = {name: self._measure(policy()) for name, policy in POLICIES.items()}
        rows[STRICT] = self._strict_order_row()
        rows[BOUND] = [*self._bound_by_tier(), 1.0, '-', '-', 1.0, 0]
        return rows

    def _measure(self, policy: Policy) -> list[object]:
        jobs = [copy.copy(job) for job in self._jobs]
        simulation = Simulation(self._scenario, jobs, policy)
        simulation.run()
        in_time = [job for job in jobs if job.in_time]
        in_window = [
            job.ideal_cost_ms
            for job in in_time
            if WINDOW_MS[0] <= job.finished_ms < WINDOW_MS[1]
        ]
        late_prefill = sum(job.computed_prefill for job in jobs if not job.in_time)
        spent = sum(job.computed_prefill for job in jobs)
        return [
            *worst_slices(jobs, {job.number: float(job.in_time) for job in jobs}),
            sum(in_window) / self._bound_ms,
            simulation.decision_inversions,
            simulation.start_inversions,
            spent / max(1, least_prefill(in_time)),
            late_prefill,
        ]

    def _strict_order_row(self) -> list[object]:
        bound = FluidBound(self._scenario, self._jobs, strict_order=True)
        share = bound.run(WINDOW_MS) / self._bound_ms
        shares = {
            job.number: bound.done_by_job.get(job.number, 0) / job.ideal_cost_ms
            for job in self._jobs
        }
        worst = worst_slices(self._jobs, shares)
        return [*worst, share, '-', '-', 1.0, 0]

    def _bound_by_tier(self) -> list[float]:
        # The gain by each tier over the tiers above it, per slice.
        shares: dict[int, float] = {}
        worst: list[float] = []
        for tier in TIERS:
            jobs = [job for job in self._jobs if job.tier <= tier]
            bound = FluidBound(self._scenario, jobs)
            bound.run(WINDOW_MS)
            shares = {
                job.number: bound.done_by_job.get(job.number, 0) / job.ideal_cost_ms
                for job in jobs
            }
            worst.append(worst_slices(self._jobs, shares)[tier])
        return worst


def worst_slices(jobs: list[Job], shares: dict[int, float]) -> list[float]:
    """Return per tier the goodput by arrival in the worst minute."""
    worst: list[float] = []
    for tier in TIERS:
        by_slice: dict[int, list[float]] = {}
        for job in jobs:
            if job.tier == tier and WINDOW_MS[0] <= job.arrived_ms < WINDOW_MS[1]:
                number = int((job.arrived_ms - WINDOW_MS[0]) // SLICE_MS)
                by_slice.setdefault(number, []).append(shares.get(job.number, 0))
        worst.append(min(sum(slice_) / len(slice_) for slice_ in by_slice.values()))
    return worst


def least_prefill(jobs: Iterable[Job]) -> int:
    """Return the prefill tokens of the jobs with an unlimited shared cache."""
    seen: set[int] = set()
    tokens = 0
    for job in jobs:
        cached = sum(block in seen for block in job.blocks)
        seen.update(job.blocks)
        tokens += job.prefill - cached * BLOCK_TOKENS
    return tokens
