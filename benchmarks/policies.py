"""Send jobs without a dispatcher, in the ways that were weighed against it."""

import heapq
from collections.abc import Sequence

from benchmarks.engine_model import MAX_CONCURRENCY
from benchmarks.simulation import Policy, Simulation
from benchmarks.traces import ENTRY_COUNT, SPEEDS, Job

ENGINES = range(len(SPEEDS))
EXCHANGE_PERIOD_MS = 500


class RoundRobinPolicy(Policy):
    """Let each entry send to one engine after the other."""

    def __init__(self) -> None:
        self._next_by_entry = list(range(ENTRY_COUNT))

    def on_arrival(self, job: Job) -> None:
        """Send the job at once."""
        engine = self._next_by_entry[job.entry] % len(ENGINES)
        self._next_by_entry[job.entry] += 1
        self.simulation.send(job, engine, waited=False)

    def on_finish(self, job: Job) -> None:
        """Ignore the end of a job."""


class LeastOutstandingPolicy(Policy):
    """Let each entry send to the engine with the fewest of its own requests."""

    def __init__(self) -> None:
        self._counts_by_entry = [[0 for _ in ENGINES] for _ in range(ENTRY_COUNT)]

    def on_arrival(self, job: Job) -> None:
        """Send the job at once."""
        counts = self._counts_by_entry[job.entry]
        rotated = [(index + job.number) % len(ENGINES) for index in ENGINES]
        engine = min(rotated, key=counts.__getitem__)
        counts[engine] += 1
        self.simulation.send(job, engine, waited=False)

    def on_finish(self, job: Job) -> None:
        """Count the job as gone."""
        self._counts_by_entry[job.entry][job.engine] -= 1


class LocalQueuesPolicy(Policy):
    """Keep one priority queue per entry and fixed equal credits."""

    def __init__(self) -> None:
        self._queues: list[list[tuple[int, float, int, Job]]] = [
            [] for _ in range(ENTRY_COUNT)
        ]
        self._running = [[0 for _ in ENGINES] for _ in range(ENTRY_COUNT)]
        self._credits = [self._equal_credits(entry) for entry in range(ENTRY_COUNT)]

    def on_arrival(self, job: Job) -> None:
        """Queue the job at its entry."""
        self.simulation.note_waiting(job)
        queue = self._queues[job.entry]
        heapq.heappush(queue, (job.tier, job.deadline_ms, job.number, job))
        self._pump(job.entry)

    def on_finish(self, job: Job) -> None:
        """Return the job's credit to its entry."""
        self._running[job.entry][job.engine] -= 1
        self._pump(job.entry)

    def on_give_up(self, job: Job) -> None:
        """Leave the job in the queue; it is skipped when it is reached."""

    def _equal_credits(self, entry: int) -> list[int]:
        equal, left = divmod(MAX_CONCURRENCY, ENTRY_COUNT)
        return [equal + ((entry + engine) % ENTRY_COUNT < left) for engine in ENGINES]

    def _pump(self, entry: int) -> None:
        queue = self._queues[entry]
        while queue:
            if queue[0][-1].refused:
                heapq.heappop(queue)
                continue
            engine = self._freest_engine(entry)
            if engine is None:
                return
            job = heapq.heappop(queue)[-1]
            self._running[entry][engine] += 1
            self.simulation.send(job, engine)

    def _freest_engine(self, entry: int) -> int | None:
        running = self._running[entry]
        free = [self._credits[entry][engine] - running[engine] for engine in ENGINES]
        best = max(ENGINES, key=free.__getitem__)
        return best if free[best] > 0 else None


class ExchangedCreditsPolicy(LocalQueuesPolicy):
    """Split credits by the demand that entries exchange through the store."""

    def start(self, simulation: Simulation) -> None:
        """Begin to exchange demand."""
        super().start(simulation)
        self._exchange(simulation.jobs[-1].deadline_ms)

    def _exchange(self, end_ms: float) -> None:
        if self.simulation.scenario.store_is_up(self.simulation.now_ms):
            demands = [self._demand(entry) for entry in range(ENTRY_COUNT)]
            # Each entry applies the split one exchange later.
            self.simulation.later(EXCHANGE_PERIOD_MS, self._apply, demands)
        if self.simulation.now_ms < end_ms:
            self.simulation.later(EXCHANGE_PERIOD_MS, self._exchange, end_ms)

    def _demand(self, entry: int) -> float:
        # A factor of 4 per tier moves credits to where higher tiers wait.
        waiting = sum(
            4.0 ** -item[0] for item in self._queues[entry] if not item[-1].refused
        )
        return 1 + waiting + sum(self._running[entry]) / len(ENGINES)

    def _apply(self, demands: Sequence[float]) -> None:
        total = sum(demands)
        for engine in ENGINES:
            given = [int(MAX_CONCURRENCY * demand / total) for demand in demands]
            order = sorted(range(ENTRY_COUNT), key=demands.__getitem__, reverse=True)
            for entry in order[: MAX_CONCURRENCY - sum(given)]:
                given[entry] += 1
            for entry, count in enumerate(given):
                self._credits[entry][engine] = count
        for waiting_entry in range(ENTRY_COUNT):
            self._pump(waiting_entry)
