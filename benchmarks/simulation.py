"""Run a trace against fake engines under a paused clock."""

import heapq
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from benchmarks.engine_model import FakeEngine
from benchmarks.traces import DEADLINES_MS, SPEEDS, Job, Scenario
from marjoramfall.clock import PausedClock

HOP_MS = 1
REPORT_PERIOD_MS = 250
REPORT_LAG_MS = 200
CACHE_EVENT_LAG_MS = 300
CACHE_EVENT_LOSS = 0.05
OVERTAKE_GRACE_MS = 10


class Listener:
    """Ignore what most policies do not use."""

    def on_give_up(self, job: Job) -> None:
        """Forget a waiting job whose caller gave up."""

    def on_load_report(self, engine: FakeEngine, measured_ms: float) -> None:
        """Learn an engine's load, late."""

    def on_cache_change(
        self, engine: int, sequence: int, block: int, stored: bool
    ) -> None:
        """Learn of a change of an engine's cache, late."""


class Policy(Listener, ABC):
    """Decide where and when each job of a trace is sent."""

    simulation: 'Simulation'

    def start(self, simulation: 'Simulation') -> None:
        """Prepare for a run."""
        self.simulation = simulation

    @abstractmethod
    def on_arrival(self, job: Job) -> None:
        """Take a job at its entry."""

    @abstractmethod
    def on_finish(self, job: Job) -> None:
        """Learn that a job ended at its engine, done or cancelled."""


class Simulation:
    """Move time forward from event to event."""

    def __init__(self, scenario: Scenario, jobs: list[Job], policy: Policy) -> None:
        self.scenario = scenario
        self.jobs = jobs
        self.engines = [
            FakeEngine(
                number,
                speed,
                on_finish=self._finished,
                on_start=self._started,
                on_cache_change=self._cache_changed,
            )
            for number, speed in enumerate(SPEEDS)
        ]
        self.decision_inversions = 0
        self.start_inversions = 0
        self._undecided_by_tier = [0 for _ in DEADLINES_MS]
        self._unstarted_by_tier: list[deque[Job]] = [deque() for _ in DEADLINES_MS]
        self._policy = policy
        self._clock = PausedClock()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._scheduled = 0
        self._rng = random.Random(5)
        self._cache_sequences = [0 for _ in SPEEDS]

    @property
    def now_ms(self) -> float:
        """Return the paused clock's time."""
        return self._clock.monotonic_ms()

    def run(self) -> None:
        """Run all jobs to their end."""
        self._policy.start(self)
        for job in self.jobs:
            self._at(job.arrived_ms, self._arrive, job)
        end_ms = self.jobs[-1].deadline_ms
        self._at(REPORT_PERIOD_MS, self._report_load, end_ms)
        while self._events:
            time_ms, _, callback, arguments = heapq.heappop(self._events)
            self._clock.advance_ms(time_ms - self.now_ms)
            callback(*arguments)

    def later(self, delay_ms: float, callback: Callable[..., None], *args) -> None:
        """Call a function after a delay in milliseconds."""
        self._at(self.now_ms + delay_ms, callback, *args)

    def note_waiting(self, job: Job) -> None:
        """Count a job that waits for a decision."""
        self._undecided_by_tier[job.tier] += 1

    def send(self, job: Job, engine: int, *, waited: bool = True) -> None:
        """Decide for an engine; the job arrives there one hop later."""
        if waited:
            self._undecided_by_tier[job.tier] -= 1
        self.decision_inversions += any(self._undecided_by_tier[: job.tier])
        job.engine = engine
        job.sent_ms = self.now_ms
        self.later(HOP_MS, self._submit, job)

    def refuse(self, job: Job, reason: str) -> None:
        """Refuse a waiting job."""
        self._undecided_by_tier[job.tier] -= 1
        if reason == 'shed':
            lower = self._undecided_by_tier[job.tier + 1 :]
            self.decision_inversions += any(lower)
        job.refused = reason

    def _at(self, time_ms: float, callback: Callable[..., None], *args) -> None:
        self._scheduled += 1
        heapq.heappush(self._events, (time_ms, self._scheduled, callback, args))

    def _arrive(self, job: Job) -> None:
        self._unstarted_by_tier[job.tier].append(job)
        self._at(job.deadline_ms, self._give_up, job)
        self._policy.on_arrival(job)

    def _give_up(self, job: Job) -> None:
        if job.finished_ms is not None or job.refused:
            return
        if job.engine is None:
            self.refuse(job, 'gave up')
            self._policy.on_give_up(job)
            return
        self.engines[job.engine].cancel(job)
        self._policy.on_finish(job)

    def _submit(self, job: Job) -> None:
        engine = self.engines[job.engine]
        engine.waiting.append(job)
        if not engine.busy:
            self._begin_step(engine)

    def _begin_step(self, engine: FakeEngine) -> None:
        engine.busy = True
        slowdown = self.scenario.slowdown(engine.number, self.now_ms)
        self.later(engine.begin_step(slowdown), self._end_step, engine)

    def _end_step(self, engine: FakeEngine) -> None:
        engine.end_step(self.now_ms)
        engine.busy = False
        if engine.has_work:
            self._begin_step(engine)

    def _started(self, job: Job) -> None:
        job.started_ms = self.now_ms
        for waiting in self._unstarted_by_tier[: job.tier]:
            while waiting and not self._is_unstarted(waiting[0]):
                waiting.popleft()
            if waiting and waiting[0].arrived_ms < self.now_ms - OVERTAKE_GRACE_MS:
                self.start_inversions += 1
                return

    def _is_unstarted(self, job: Job) -> bool:
        return job.started_ms is None and not job.refused and not job.cancelled

    def _finished(self, job: Job) -> None:
        self.later(HOP_MS, self._policy.on_finish, job)

    def _report_load(self, end_ms: float) -> None:
        for engine in self.engines:
            if self._rng.random() >= self.scenario.report_loss:
                self._policy.on_load_report(engine, self.now_ms)
        if self.now_ms < end_ms:
            self.later(REPORT_PERIOD_MS, self._report_load, end_ms)

    def _cache_changed(self, engine: int, block: int, stored: bool) -> None:
        self._cache_sequences[engine] += 1
        if self._rng.random() >= CACHE_EVENT_LOSS:
            sequence = self._cache_sequences[engine]
            self._policy.on_cache_change(engine, sequence, block, stored)
