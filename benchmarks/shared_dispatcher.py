"""Drive the product's dispatcher, shared by all entries, in a simulation."""

from benchmarks.engine_model import MAX_CONCURRENCY, FakeEngine
from benchmarks.simulation import (
    CACHE_EVENT_LAG_MS,
    HOP_MS,
    REPORT_LAG_MS,
    Policy,
    Simulation,
)
from benchmarks.traces import ENTRY_COUNT, SPEEDS, Job
from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import (
    Action,
    CacheEvent,
    Expire,
    FinishReport,
    Grant,
    LoadReport,
    ServerInfo,
    Shed,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.version.router import SingleVersionRouter

TICK_MS = 20
VERSION = 'v1'


class SharedDispatcherPolicy(Policy):
    """Ask one dispatcher, one hop away from every entry."""

    dispatcher_count = 1

    def __init__(self) -> None:
        self.dispatchers = [
            Dispatcher('group', SingleVersionRouter(VERSION))
            for _ in range(self.dispatcher_count)
        ]

    def start(self, simulation: Simulation) -> None:
        """Tell the dispatchers their servers."""
        super().start(simulation)
        self._jobs_by_id = {job.request_id: job for job in simulation.jobs}
        for number, dispatcher in enumerate(self.dispatchers):
            servers = [self._server(number, engine) for engine in range(len(SPEEDS))]
            self._apply(dispatcher.set_servers(servers, simulation.now_ms))
        self._tick(simulation.jobs[-1].deadline_ms)

    def on_arrival(self, job: Job) -> None:
        """Ask for a grant."""
        self.simulation.later(HOP_MS, self._enqueue, job)

    def on_finish(self, job: Job) -> None:
        """Report the result."""
        report = FinishReport(
            request_id=job.request_id,
            server_id=f'engine-{job.engine}',
            version_id=VERSION,
            route='/v1/completions',
            succeeded=not job.cancelled,
            dispatched=True,
            first_token_ms=self._since_sent(job, job.first_token_ms),
            total_ms=self.simulation.now_ms - job.sent_ms,
            work=WorkEstimate(job.prefill, job.decode_guess),
            cached_tokens=job.cached_tokens,
            decode_tokens=0 if job.cancelled else job.decode,
        )
        self.simulation.later(HOP_MS, self._finish, job, report)

    def on_give_up(self, job: Job) -> None:
        """Withdraw the ask."""
        now_ms = self.simulation.now_ms
        self._apply(self._of(job).withdraw(job.request_id, now_ms))

    def on_load_report(self, engine: FakeEngine, measured_ms: float) -> None:
        """Pass the report on, late."""
        report = LoadReport(
            server_id=f'engine-{engine.number}',
            running=engine.running_count,
            waiting=len(engine.waiting),
            queued_prefill_tokens=engine.queued_prefill,
            measured_ms=measured_ms,
        )
        self.simulation.later(REPORT_LAG_MS, self._load, report)

    def on_cache_change(
        self, engine: int, sequence: int, block: int, stored: bool
    ) -> None:
        """Pass the event on, late."""
        event = CacheEvent(
            server_id=f'engine-{engine}',
            sequence=sequence,
            prefix_hash=block,
            stored=stored,
        )
        self.simulation.later(CACHE_EVENT_LAG_MS, self._cache, event)

    def _since_sent(self, job: Job, time_ms: float | None) -> float | None:
        return None if time_ms is None else time_ms - job.sent_ms

    def _enqueue(self, job: Job) -> None:
        waiting = WaitingRequest(
            request_id=job.request_id,
            entry_id=f'entry-{job.entry}',
            tier_rank=job.tier,
            team_id=job.team,
            team_weight=1,
            deadline_ms=job.deadline_ms,
            arrived_ms=job.arrived_ms,
            work=WorkEstimate(job.prefill, job.decode_guess),
            prefix_hashes=job.blocks,
            route='/v1/completions',
        )
        self.simulation.note_waiting(job)
        self._apply(self._of(job).enqueue(waiting, self.simulation.now_ms))

    def _finish(self, job: Job, report: FinishReport) -> None:
        self._apply(self._of(job).on_finished(report, self.simulation.now_ms))

    def _load(self, report: LoadReport) -> None:
        for dispatcher in self.dispatchers:
            self._apply(dispatcher.on_load_report(report, self.simulation.now_ms))

    def _cache(self, event: CacheEvent) -> None:
        for dispatcher in self.dispatchers:
            self._apply(dispatcher.on_cache_event(event, self.simulation.now_ms))

    def _tick(self, end_ms: float) -> None:
        for dispatcher in self.dispatchers:
            self._apply(dispatcher.tick(self.simulation.now_ms))
        if self.simulation.now_ms < end_ms:
            self.simulation.later(TICK_MS, self._tick, end_ms)

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            job = self._jobs_by_id[action.request_id]
            if isinstance(action, Grant):
                engine = int(action.server_id.rpartition('-')[2])
                self.simulation.send(job, engine)
                self.simulation.later(HOP_MS, self._start, job)
            elif isinstance(action, Shed):
                self.simulation.refuse(job, 'shed')
            elif isinstance(action, Expire):
                self.simulation.refuse(job, 'expired')

    def _start(self, job: Job) -> None:
        now_ms = self.simulation.now_ms
        self._apply(self._of(job).on_started(job.request_id, now_ms))

    def _of(self, job: Job) -> Dispatcher:
        return self.dispatchers[job.entry % self.dispatcher_count]

    def _server(self, dispatcher: int, engine: int) -> ServerInfo:
        equal, left = divmod(MAX_CONCURRENCY, self.dispatcher_count)
        extra = (dispatcher + engine) % self.dispatcher_count < left
        return ServerInfo(
            server_id=f'engine-{engine}',
            version_id=VERSION,
            data_centre='dc-1',
            max_concurrency=equal + extra,
        )


class LocalDispatchersPolicy(SharedDispatcherPolicy):
    """Run the same dispatcher at every entry, with equal parts of the limits."""

    dispatcher_count = ENTRY_COUNT

    def on_load_report(self, engine: FakeEngine, measured_ms: float) -> None:
        """Ignore reports, as they count the work of all entries."""
