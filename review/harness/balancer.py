"""Stand in for the platform's address of the entries."""

import asyncio
import itertools
import time
from collections import Counter

from harness.entries import EntryProcess
from harness.record import Record

CHECK_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2


class Balancer:
    """Ask each entry once a second whether it is ready, and choose among these.

    Two misses in a row take an entry out of rotation; if fewer than half are left, all
    are used.
    """

    def __init__(self, entries: list[EntryProcess], record: Record) -> None:
        """Take the entries, which may be added to the list until `run`."""
        self._record = record
        self._entries = entries
        self._misses_by_name: Counter[str] = Counter()
        self._turns = itertools.count()

    async def run(self) -> None:
        """Check the entries until the task is cancelled."""
        while True:
            started_s = time.monotonic()
            await asyncio.gather(*map(self._check, self._entries))
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(max(0, CHECK_INTERVAL_S - elapsed_s))

    def choose(self) -> EntryProcess:
        """Return the entry that gets the next connection."""
        in_rotation = [entry for entry in self._entries if self._is_in_rotation(entry)]
        if 2 * len(in_rotation) < len(self._entries):
            in_rotation = self._entries
        return in_rotation[next(self._turns) % len(in_rotation)]

    async def _check(self, entry: EntryProcess) -> None:
        was_in_rotation = self._is_in_rotation(entry)
        if await entry.is_ready():
            self._misses_by_name[entry.name] = 0
        else:
            self._misses_by_name[entry.name] += 1
        if self._is_in_rotation(entry) != was_in_rotation:
            self._record.write(f'{entry.name} in rotation: {not was_in_rotation}')

    def _is_in_rotation(self, entry: EntryProcess) -> bool:
        return self._misses_by_name[entry.name] < MISSES_TO_LEAVE
