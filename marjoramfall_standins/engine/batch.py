"""Decide what each step of a continuously batching engine computes."""

from collections import Counter, deque
from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall_standins.engine.cache import PrefixCache
from marjoramfall_standins.engine.stream import Stream


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpeed:
    """Set how fast an engine is and how much fits into a step."""

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 50
    batch_tokens: int = 512
    max_batch: int = 32


@dataclass(frozen=True, slots=True)
class Step:
    """Name the prompt tokens computed per stream and the streams decoded."""

    prefill: tuple[tuple[Stream, int], ...]
    decode: tuple[Stream, ...]

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens of the whole step."""
        return sum(tokens for _, tokens in self.prefill)


class Batch:
    """Admit streams in arrival order and advance them step by step."""

    def __init__(self, speed: EngineSpeed, cache: PrefixCache) -> None:
        self.waiting: deque[Stream] = deque()
        self.running: list[Stream] = []
        self.counts: Counter[str] = Counter()
        self._speed = speed
        self._cache = cache

    @property
    def idle(self) -> bool:
        """Return whether there is nothing to compute."""
        return not (self.waiting or self.running)

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the prompt tokens that are still to be computed."""
        queued = (stream.remaining_prefill for stream in (*self.waiting, *self.running))
        return sum(queued)

    def add(self, stream: Stream) -> None:
        """Append a stream to those that wait."""
        self.waiting.append(stream)

    def cancel(self, stream: Stream) -> None:
        """Drop a stream; the prompt tokens computed for it are wasted."""
        if stream.ended:
            return
        for streams in (self.waiting, self.running):
            if stream in streams:
                streams.remove(stream)
        self.counts['cancelled'] += 1
        self.counts['prefill_tokens_wasted'] += stream.computed_tokens
        stream.cancel()

    def plan(self) -> Step:
        """Return the next step: decoding first, then prefill as it fits."""
        self._admit()
        decode = tuple(
            stream for stream in self.running if not stream.remaining_prefill
        )
        budget = max(1, self._speed.batch_tokens - len(decode))
        prefill = []
        for stream in self.running:
            tokens = min(stream.remaining_prefill, budget)
            if tokens:
                prefill.append((stream, tokens))
                budget -= tokens
        return Step(tuple(prefill), decode)

    def duration_ms(self, step: Step) -> float:
        """Return how long a step takes at full speed."""
        duration_ms = step.prefill_tokens * MS_PER_SECOND
        duration_ms /= self._speed.prefill_tokens_per_s
        if step.decode:
            duration_ms += MS_PER_SECOND / self._speed.decode_tokens_per_s
        return duration_ms

    def complete(self, step: Step, now_ms: float) -> None:
        """Apply a step to the streams that were not cancelled meanwhile."""
        for stream, tokens in step.prefill:
            self.counts['prefill_tokens'] += tokens
            stream.computed_tokens += tokens
            if not (stream.ended or stream.remaining_prefill):
                self._cache.store(stream.blocks, now_ms)
                stream.emit()
        for decoding in step.decode:
            if not decoding.ended:
                decoding.emit()
        self._remove_done()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self._speed.max_batch:
            stream = self.waiting.popleft()
            stream.start(self._cache.match(stream.blocks))
            self.counts['cached_tokens'] += stream.cached_tokens
            self.running.append(stream)

    def _remove_done(self) -> None:
        still = [stream for stream in self.running if not stream.ended]
        self.counts['completed'] += len(self.running) - len(still)
        self.running = still
