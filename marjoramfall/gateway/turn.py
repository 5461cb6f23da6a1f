"""Keep a greenlet whose socket always has bytes from running alone."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from gevent import sleep

# A read that takes longer has let other greenlets run.
MIN_BLOCKED_S = 0.001
MAX_TURN_S = 0.005
# A sender without pauses gets a tenth of the processor at most, so that several of
# them leave enough to others.
IDLE_PER_WORK = 9
MAX_IDLE_S = 0.1


class Turn:
    """Measure the work of a greenlet between reads that wait, and end its turn in time.

    A socket with bytes at hand is read without a switch to other greenlets.
    """

    def __init__(self) -> None:
        self._worked_s = 0.0
        self._resumed_s: float | None = None

    def reset(self) -> None:
        """Begin anew, as the greenlet or the connection has paused."""
        self._worked_s = 0
        self._resumed_s = None

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Let others run first if the turn has been long; the block is a read."""
        if self._resumed_s is not None:
            # Processor time: a process that waits for its processor does no work.
            self._worked_s += time.thread_time() - self._resumed_s
        if self._worked_s >= MAX_TURN_S:
            sleep(min(MAX_IDLE_S, IDLE_PER_WORK * self._worked_s))
            self._worked_s = 0
        begun_s = time.monotonic()
        yield
        self._resumed_s = time.thread_time()
        if time.monotonic() - begun_s >= MIN_BLOCKED_S:
            self._worked_s = 0
