"""Bound the bytes of large request bodies that an entry holds at once."""

from collections import deque

from gevent.event import Event
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND

# A body is held up to three times while it is encoded for a server, on a VM with
# 200 MB.
MAX_HELD_BYTES = 33_554_432
# Of the memory of a VM that has less.
MAX_HELD_SHARE = 1 / 6
BYTES_PER_MB = 1_000_000
# Smaller bodies are not counted: those of all connections fit in beside.
SMALL_BODY_BYTES = 65_536
# A caller is told to come again rather than left without an answer.
MAX_WAIT_MS = 2000.0


def max_held_bytes(memory_mb: float) -> int:
    """Return how many bytes of bodies a VM may hold; 0 MB is no stated memory."""
    if not memory_mb:
        return MAX_HELD_BYTES
    return min(MAX_HELD_BYTES, int(MAX_HELD_SHARE * memory_mb * BYTES_PER_MB))


class BodyBudgetError(Exception):
    """Indicate that there was no room for a body in time."""


class BodyReservation:
    """Hold room for one body, or the wait for it, until it is released."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.granted = Event()


class BodyBudget:
    """Grant room for large bodies in the order in which they are announced."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._waiting: deque[BodyReservation] = deque()

    def reserve(self, size: int) -> BodyReservation:
        """Ask for room for a body of `size` bytes.

        A body that exceeds the whole budget gets room while no other has any.
        """
        reservation = BodyReservation(size)
        self._waiting.append(reservation)
        self._grant()
        return reservation

    def wait(self, reservation: BodyReservation) -> None:
        """Wait until the room is granted; raises `BodyBudgetError`."""
        if reservation.granted.wait(MAX_WAIT_MS / MS_PER_SECOND):
            return
        logger.bind(
            size=reservation.size,
            held_bytes=self._held_bytes,
            waiting=len(self._waiting),
        ).warning('request refused: no room for its body')
        raise BodyBudgetError('no room for the body')

    def shrink(self, reservation: BodyReservation, size: int) -> None:
        """Give back what a body of unknown length did not need after all."""
        if reservation.granted.is_set():
            self._held_bytes -= reservation.size - size
            reservation.size = size
            self._grant()

    def release(self, reservation: BodyReservation) -> None:
        """Give the room back, or end the wait for it, once."""
        if reservation.granted.is_set():
            self._held_bytes -= reservation.size
        else:
            self._waiting.remove(reservation)
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].size):
            reservation = self._waiting.popleft()
            self._held_bytes += reservation.size
            reservation.granted.set()

    def _has_room(self, size: int) -> bool:
        return not self._held_bytes or self._held_bytes + size <= self._max_bytes
