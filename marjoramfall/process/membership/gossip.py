"""Choose which member updates each message carries."""

import math

from marjoramfall.messages import MemberUpdate

# Sends of each update per doubling of the number of members.
TRANSMISSIONS_PER_DOUBLING = 3


class Gossip:
    """Hold the latest update of each incarnation for a limited number of sends.

    The number grows with the logarithm of the number of members.
    """

    def __init__(self, max_updates: int) -> None:
        self._max_updates = max_updates
        self._updates: dict[str, MemberUpdate] = {}
        self._remaining_sends: dict[str, int] = {}

    def add(self, update: MemberUpdate, members: int) -> None:
        """Queue an update; it replaces a queued one of the same incarnation."""
        doublings = math.ceil(math.log2(members + 2))
        self._updates[update.incarnation] = update
        self._remaining_sends[update.incarnation] = (
            TRANSMISSIONS_PER_DOUBLING * doublings
        )

    def take(self, *first: MemberUpdate) -> list[MemberUpdate]:
        """Return `first` and up to `max_updates` queued updates for one message.

        Queued updates with the most remaining sends are chosen first.
        """
        most_remaining_first = sorted(
            self._remaining_sends, key=self._remaining_sends.__getitem__, reverse=True
        )
        chosen = [
            self._updates[key] for key in most_remaining_first[: self._max_updates]
        ]
        for update in chosen:
            self._count_send(update.incarnation)
        return [*first, *chosen]

    def _count_send(self, incarnation: str) -> None:
        self._remaining_sends[incarnation] -= 1
        if self._remaining_sends[incarnation] <= 0:
            self._remaining_sends.pop(incarnation)
            self._updates.pop(incarnation)
