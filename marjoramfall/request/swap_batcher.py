"""Batch the conditional row writes of one entry process."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from gevent.pool import Pool

from marjoramfall.clock import Clock
from marjoramfall.platform_services import PlatformUnavailableError, TableService
from marjoramfall.request.claim_rows import RowSwap

MAX_BATCH_ROWS = 64
# A recorded response has up to 16 KiB, so rows alone do not bound a transaction.
MAX_BATCH_CHARACTERS = 256 * 1024
MAX_CONCURRENT_BATCHES = 4
MAX_PENDING_SWAPS = 1024
BATCH_DELAY_MS = 3
# A deferred release is not urgent; it is usually sent together with later claims.
DEFERRED_DELAY_MS = 50


@dataclass(slots=True)
class PendingSwap:
    """Hold a queued swap and the result that its submitter waits for."""

    swap: RowSwap
    due_ms: float = 0
    result: AsyncResult = field(default_factory=AsyncResult)


class SwapBatcher:
    """Collect swaps for a few milliseconds and send them as one transaction.

    A transaction fails as a whole, so a failed batch is split in half until
    each swap whose condition does not hold is alone in its batch.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        *,
        delay_ms: float = BATCH_DELAY_MS,
        max_rows: int = MAX_BATCH_ROWS,
        max_pending: int = MAX_PENDING_SWAPS,
    ) -> None:
        self._table = table
        self._clock = clock
        self._delay_ms = delay_ms
        self._max_rows = max_rows
        self._max_pending = max_pending
        self._pending: deque[PendingSwap] = deque()
        self._deferred: deque[PendingSwap] = deque()
        self._pool = Pool(MAX_CONCURRENT_BATCHES)
        self._collector: gevent.Greenlet | None = None

    def swap(self, swap: RowSwap, *, deferred: bool = False) -> bool:
        """Wait for the swap and return whether it was applied.

        A deferred swap is sent with the next batch, or after 50 ms.
        Raises `PlatformUnavailableError`, also when too many swaps wait, or
        `PlatformAnswerLostError`.
        """
        queue = self._deferred if deferred else self._pending
        if len(queue) >= self._max_pending:
            raise PlatformUnavailableError('too many claims wait for the store')
        pending = PendingSwap(swap, self._clock.monotonic_ms() + DEFERRED_DELAY_MS)
        queue.append(pending)
        if self._collector is None:
            self._collector = gevent.spawn(self._collect)
        return pending.result.get()

    def _collect(self) -> None:
        while self._pending or self._deferred:
            self._clock.sleep_ms(self._delay_ms)
            if self._pending or self._is_deferred_due():
                self._pool.spawn(self._send, self._take_batch())
        self._collector = None

    def _is_deferred_due(self) -> bool:
        return self._deferred[0].due_ms <= self._clock.monotonic_ms()

    def _take_batch(self) -> list[PendingSwap]:
        batch: dict[str, PendingSwap] = {}
        for queue in (self._pending, self._deferred):
            conflicting: list[PendingSwap] = []
            while queue and self._has_capacity(batch):
                pending = queue.popleft()
                # Two swaps of the same row in one transaction would both be applied.
                if batch.setdefault(pending.swap.key, pending) is not pending:
                    conflicting.append(pending)
            queue.extendleft(reversed(conflicting))
        return list(batch.values())

    def _has_capacity(self, batch: dict[str, PendingSwap]) -> bool:
        characters = sum(len(pending.swap.text) for pending in batch.values())
        return len(batch) < self._max_rows and characters < MAX_BATCH_CHARACTERS

    def _send(self, batch: list[PendingSwap]) -> None:
        conditions = [pending.swap.condition for pending in batch]
        writes = [pending.swap.write for pending in batch]
        try:
            is_applied = self._table.transact(conditions, writes)
        except Exception as error:
            for pending in batch:
                pending.result.set_exception(error)
            return
        if is_applied or len(batch) == 1:
            for done in batch:
                done.result.set(is_applied)
            return
        for half in _halves(batch):
            self._send(half)


def _halves(batch: list[PendingSwap]) -> Iterator[list[PendingSwap]]:
    middle = len(batch) // 2
    yield batch[:middle]
    yield batch[middle:]
