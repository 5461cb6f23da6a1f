"""Bound what an entry spends of a shared rest before the others know of it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

Draw = Callable[[], float]


@dataclass(frozen=True, slots=True)
class RetryContenders:
    """Count the retries that may be asked for in a reporting delay, here and by all."""

    own: float
    known: float

    def own_part(self, spendable: float) -> float:
        """Return the part of a rest that is due to this entry."""
        return spendable * self.own / self.known


@dataclass(frozen=True, slots=True)
class TakenChance:
    """Hold the chance that a retry had, and when."""

    chance: float
    taken_ms: float


class RetryChances:
    """Give retries a chance, and no more in all than the part of this entry.

    That holds for any reporting delay, so that the means of all entries add up to
    the rest at most.
    """

    def __init__(self, draw: Draw) -> None:
        self._draw = draw
        self._taken: deque[TakenChance] = deque()

    def try_take(self, part: float, now_ms: float, delay_ms: float) -> bool:
        """Take a chance, 1 if the part allows it, and return whether it is met."""
        while self._taken and now_ms - self._taken[0].taken_ms >= delay_ms:
            self._taken.popleft()
        chance = min(1, part - sum(taken.chance for taken in self._taken))
        if chance <= 0:
            return False
        self._taken.append(TakenChance(chance, now_ms))
        return self._draw() < chance
