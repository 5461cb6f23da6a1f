"""Bound from above what any scheduler can reach that knows the future."""

import heapq
from collections.abc import Iterable

from benchmarks.traces import SPEEDS, Job, Scenario

STEP_MS = 10


class FluidBound:
    """Share all engines as one, with an unlimited cache, by deadline.

    Serving the earliest deadline first is optimal for the amount of work
    that is done in time, when work can be cut at any point. In strict order,
    higher tiers come first even when their deadlines are far.
    """

    def __init__(
        self, scenario: Scenario, jobs: Iterable[Job], *, strict_order: bool = False
    ) -> None:
        self.done_by_job: dict[int, float] = {}
        self._strict_order = strict_order
        self._scenario = scenario
        self._jobs = sorted(jobs, key=lambda job: job.arrived_ms)

    def run(self, window_ms: tuple[float, float]) -> float:
        """Return the work in ms done in the window, for jobs in time."""
        ready: list[tuple[int, float, int, list[float]]] = []
        end_ms = max(job.deadline_ms for job in self._jobs)
        arrived = 0
        done_in_window = float(0)
        now_ms = float(0)
        while now_ms < end_ms:
            while arrived < len(self._jobs):
                job = self._jobs[arrived]
                if job.arrived_ms > now_ms:
                    break
                rank = job.tier if self._strict_order else 0
                entry = (rank, job.deadline_ms, job.number, [job.ideal_cost_ms])
                heapq.heappush(ready, entry)
                arrived += 1
            done = self._serve(ready, now_ms)
            if window_ms[0] <= now_ms < window_ms[1]:
                done_in_window += done
            now_ms += STEP_MS
        return done_in_window

    def _serve(
        self, ready: list[tuple[int, float, int, list[float]]], now_ms: float
    ) -> float:
        budget = STEP_MS * sum(
            speed / self._scenario.slowdown(engine, now_ms)
            for engine, speed in enumerate(SPEEDS)
        )
        done = float(0)
        while ready and budget > 0:
            _, deadline_ms, number, left = ready[0]
            part = min(left[0], budget) if deadline_ms > now_ms else 0
            left[0] -= part
            budget -= part
            done += part
            self.done_by_job[number] = self.done_by_job.get(number, 0) + part
            if left[0] <= 0 or deadline_ms <= now_ms:
                heapq.heappop(ready)
        return done
