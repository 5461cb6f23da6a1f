"""Choose which news of members each message carries."""

import math

from marjoramfall.messages import MemberUpdate

TRANSMISSIONS_PER_DOUBLING = 3


class Gossip:
    """Hold the latest news of each member until it was sent often enough."""

    def __init__(self, max_updates: int) -> None:
        self._max_updates = max_updates
        self._updates: dict[str, MemberUpdate] = {}
        self._left: dict[str, int] = {}

    def add(self, update: MemberUpdate, members: int) -> None:
        """Queue news; it replaces older news of the same member."""
        rounds = math.ceil(math.log2(members + 2))
        self._updates[update.incarnation] = update
        self._left[update.incarnation] = TRANSMISSIONS_PER_DOUBLING * rounds

    def take(self, *first: MemberUpdate) -> list[MemberUpdate]:
        """Return news for one message: the given ones, then the least sent."""
        by_need = sorted(self._left, key=self._left.__getitem__, reverse=True)
        chosen = [self._updates[key] for key in by_need[: self._max_updates]]
        for update in chosen:
            self._count(update.incarnation)
        return [*first, *chosen]

    def _count(self, incarnation: str) -> None:
        self._left[incarnation] -= 1
        if self._left[incarnation] <= 0:
            self._left.pop(incarnation)
            self._updates.pop(incarnation)
