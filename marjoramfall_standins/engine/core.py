"""Run the batch of the engine stand-in in real time."""

from collections import OrderedDict, deque
from dataclasses import dataclass

import gevent
from gevent.event import Event

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall_standins.engine.batch import Batch
from marjoramfall_standins.engine.faults import FaultState
from marjoramfall_standins.engine.stream import Stream

LOAD_SAMPLE_MS = 50
MAX_LOAD_SAMPLES = 1000
# Each kept stream holds its prompt, often some ten kilobytes.
MAX_KEPT_STREAMS = 4000


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSample:
    """Hold the load at a monotonic time."""

    sampled_ms: float
    running: int
    waiting: int
    queued_prefill_tokens: int


class EngineCore:
    """Advance the batch in steps and keep streams for later resumption."""

    def __init__(
        self, clock: Clock, batch: Batch, faults: FaultState, *, resume_grace_ms: float
    ) -> None:
        self._clock = clock
        self._batch = batch
        self._faults = faults
        self._resume_grace_ms = resume_grace_ms
        self._streams_by_id: OrderedDict[str, Stream] = OrderedDict()
        self._wake = Event()
        self._samples: deque[LoadSample] = deque(maxlen=MAX_LOAD_SAMPLES)
        self._sample()

    def start(self) -> None:
        """Start the tasks that compute steps and sample the load."""
        gevent.spawn(self._run_steps)
        gevent.spawn(self._run_samples)

    def find(self, request_id: str) -> Stream | None:
        """Return a running or a recently ended stream."""
        return self._streams_by_id.get(request_id)

    def add(self, stream: Stream) -> None:
        """Append a stream to those that wait."""
        self._streams_by_id[stream.request_id] = stream
        self._forget_ended()
        self._batch.add(stream)
        self._wake.set()

    def cancel(self, stream: Stream) -> None:
        """End a stream early."""
        self._batch.cancel(stream)

    def attach(self, stream: Stream) -> None:
        """Count a connection that reads the stream."""
        stream.readers += 1

    def detach(self, stream: Stream) -> None:
        """Forget a connection; cancel unless another one resumes in time."""
        stream.readers -= 1
        if not (stream.ended or stream.readers):
            delay_s = self._resume_grace_ms / MS_PER_SECOND
            gevent.spawn_later(delay_s, self._cancel_unread, stream)

    def load(self, lag_ms: float) -> LoadSample:
        """Return the load as it was `lag_ms` ago."""
        as_of_ms = self._clock.monotonic_ms() - lag_ms
        shown = self._samples[0]
        for sample in self._samples:
            if sample.sampled_ms > as_of_ms:
                break
            shown = sample
        return shown

    def _forget_ended(self) -> None:
        while len(self._streams_by_id) > MAX_KEPT_STREAMS:
            oldest = next(iter(self._streams_by_id.values()))
            if not oldest.ended:
                break
            self._streams_by_id.popitem(last=False)

    def _cancel_unread(self, stream: Stream) -> None:
        if not stream.readers:
            self._batch.cancel(stream)

    def _run_steps(self) -> None:
        while True:
            if self._batch.idle:
                self._wake.clear()
                self._wake.wait()
            self._run_step()

    def _run_step(self) -> None:
        step = self._batch.plan()
        running = self._batch.running
        paths = tuple({stream.path for stream in running})
        factor = self._faults.slow_factor(paths, len(running))
        self._clock.sleep_ms(self._batch.duration_ms(step) * factor)
        self._batch.complete(step, self._clock.monotonic_ms())

    def _run_samples(self) -> None:
        while True:
            self._clock.sleep_ms(LOAD_SAMPLE_MS)
            if not self._faults.faults.load_stale:
                self._sample()

    def _sample(self) -> None:
        sample = LoadSample(
            sampled_ms=self._clock.monotonic_ms(),
            running=len(self._batch.running),
            waiting=len(self._batch.waiting),
            queued_prefill_tokens=self._batch.queued_prefill_tokens,
        )
        self._samples.append(sample)
