"""Model an engine with continuous batching and a limited prefix cache."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable

from benchmarks.traces import (
    BLOCK_TOKENS,
    DECODE_MS_PER_TOKEN,
    PREFILL_MS_PER_TOKEN,
    Job,
)

# A step lasts at least as long as reading the weights once, so that small
# batches waste the engine and batches above about 20 slow each token down.
BASE_STEP_MS = 12
CHUNK_TOKENS = 256
MAX_CONCURRENCY = 32
CACHE_BLOCKS = 8000


class PrefixCache:
    """Keep the most recently used prompt blocks."""

    def __init__(self, on_change: Callable[[int, bool], None]) -> None:
        self._blocks: OrderedDict[int, bool] = OrderedDict()
        self._on_change = on_change

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached, and use them."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: tuple[int, ...]) -> None:
        """Keep the blocks and evict those least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._on_change(block, True)
            self._blocks[block] = True
            self._blocks.move_to_end(block)
        while len(self._blocks) > CACHE_BLOCKS:
            evicted, _ = self._blocks.popitem(last=False)
            self._on_change(evicted, False)


class FakeEngine:
    """Run jobs in steps; admits them in order of arrival, without priority."""

    def __init__(
        self,
        number: int,
        speed: float,
        *,
        on_finish: Callable[[Job], None],
        on_start: Callable[[Job], None],
        on_cache_change: Callable[[int, int, bool], None],
    ) -> None:
        self.number = number
        self.speed = speed
        self.waiting: deque[Job] = deque()
        self.busy = False
        self.spent_prefill = 0
        self._on_finish = on_finish
        self._on_start = on_start
        self._cache = PrefixCache(
            lambda block, stored: on_cache_change(number, block, stored)
        )
        self._prefilling: deque[Job] = deque()
        self._left_by_job: dict[int, int] = {}
        self._decoding: list[tuple[int, int, Job]] = []
        self._decoding_count = 0
        self._step = 0

    @property
    def running_count(self) -> int:
        """Return the jobs in the batch."""
        return self._decoding_count + len(self._left_by_job)

    @property
    def queued_prefill(self) -> int:
        """Return the prefill tokens that are not computed yet."""
        queued = sum(job.prefill for job in self.waiting if not job.cancelled)
        return queued + sum(self._left_by_job.values())

    def cancel(self, job: Job) -> None:
        """Stop a job at the end of the step."""
        job.cancelled = True
        if job.number in self._left_by_job:
            self._left_by_job.pop(job.number)
        elif job.first_token_ms is not None and job.finished_ms is None:
            self._decoding_count -= 1

    def begin_step(self, slowdown: float) -> float:
        """Compute a chunk and one token of each sequence; return its ms."""
        self._admit()
        decoded = self._decoding_count
        chunk = self._prefill_chunk()
        work_ms = decoded * DECODE_MS_PER_TOKEN + chunk * PREFILL_MS_PER_TOKEN
        return max(work_ms, BASE_STEP_MS) * slowdown / self.speed

    def end_step(self, now_ms: float) -> None:
        """Emit the tokens of the step that ends now."""
        self._step += 1
        while self._decoding and self._decoding[0][0] <= self._step:
            job = heapq.heappop(self._decoding)[2]
            if not job.cancelled:
                self._decoding_count -= 1
                job.finished_ms = now_ms
                self._on_finish(job)
        while self._prefilling:
            job = self._prefilling[0]
            if not job.cancelled and self._left_by_job[job.number]:
                break
            self._prefilling.popleft()
            if not job.cancelled:
                self._begin_decoding(job, now_ms)

    @property
    def has_work(self) -> bool:
        """Return whether another step is needed."""
        return bool(self.waiting or self._left_by_job or self._decoding_count)

    def _begin_decoding(self, job: Job, now_ms: float) -> None:
        self._left_by_job.pop(job.number)
        self._cache.store(job.blocks)
        job.first_token_ms = now_ms
        self._decoding_count += 1
        heapq.heappush(self._decoding, (self._step + job.decode, job.number, job))

    def _admit(self) -> None:
        while self.waiting and self.running_count < MAX_CONCURRENCY:
            job = self.waiting.popleft()
            if job.cancelled:
                continue
            self._on_start(job)
            cached = self._cache.match(job.blocks) * BLOCK_TOKENS
            job.cached_tokens = min(cached, job.prefill - 1)
            self._left_by_job[job.number] = job.prefill - job.cached_tokens
            self._prefilling.append(job)

    def _prefill_chunk(self) -> int:
        budget = CHUNK_TOKENS
        for job in self._prefilling:
            if job.cancelled:
                continue
            part = min(budget, self._left_by_job[job.number])
            self._left_by_job[job.number] -= part
            job.computed_prefill += part
            budget -= part
            if not budget:
                break
        self.spent_prefill += CHUNK_TOKENS - budget
        return CHUNK_TOKENS - budget
