"""Cache prompt prefixes and publish what was stored and evicted."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheRecord:
    """Record that a block was stored or evicted."""

    sequence: int
    prefix_hash: int
    stored: bool
    occurred_ms: float


class CacheEventLog:
    """Publish records late, and leave out every `gap_every`-th one."""

    def __init__(self, *, delay_ms: float, gap_every: int) -> None:
        self._delay_ms = delay_ms
        self._gap_every = gap_every
        self._sequence = 0
        self._records: deque[CacheRecord] = deque(maxlen=MAX_EVENTS)

    def append(self, prefix_hash: int, *, stored: bool, now_ms: float) -> None:
        """Record a change of the cache."""
        self._sequence += 1
        if self._gap_every and self._sequence % self._gap_every == 0:
            return
        record = CacheRecord(
            sequence=self._sequence,
            prefix_hash=prefix_hash,
            stored=stored,
            occurred_ms=now_ms,
        )
        self._records.append(record)

    def published(self, after: int, limit: int, now_ms: float) -> list[CacheRecord]:
        """Return records after a sequence number that are old enough."""
        latest_ms = now_ms - self._delay_ms
        shown = (
            record
            for record in self._records
            if record.sequence > after and record.occurred_ms <= latest_ms
        )
        return [record for record, _ in zip(shown, range(limit), strict=False)]


class PrefixCache:
    """Keep the most recently used blocks, at most `capacity`."""

    def __init__(self, *, capacity: int, log: CacheEventLog) -> None:
        self._capacity = capacity
        self._log = log
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def match(self, blocks: Iterable[int]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        found = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            found += 1
        return found

    def store(self, blocks: Sequence[int], now_ms: float) -> None:
        """Add blocks; the least recently used ones are evicted.

        Blocks are added last first, so that the end of a prefix, which is
        useless without its start, is evicted before the start.
        """
        for block in reversed(blocks):
            if block not in self._blocks:
                self._log.append(block, stored=True, now_ms=now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._log.append(evicted, stored=False, now_ms=now_ms)
