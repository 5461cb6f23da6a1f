"""Hold the members and decide which updates on them are newer."""

import random
from collections.abc import Iterator

from marjoramfall.messages import MemberUpdate
from marjoramfall.process.membership.member import (
    STATE_ORDER,
    Member,
    MemberState,
    start_order_key,
)

# Limit on the removed incarnations, and on the addresses whose newest incarnation
# is kept; one day of restarts of 390 entries adds 440.
MAX_REMEMBERED = 4096
# Updates that a new member gets with the first reply.
JOIN_REPLY_UPDATES = 64


class MemberTable:
    """Keep at most one incarnation per address, the newest."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._rotation: list[str] = []
        self._members: dict[str, Member] = {}
        self._newest_by_address: dict[str, str] = {}
        self._removed_sequences: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    def get(self, incarnation: str) -> Member | None:
        """Return a member by its incarnation."""
        return self._members.get(incarnation)

    def get_by_address(self, address: str) -> Member | None:
        """Return the member at an address."""
        newest = self._newest_by_address.get(address, '')
        return self._members.get(newest)

    def suspects(self) -> list[Member]:
        """Return the members that are suspected."""
        members = self._members.values()
        return [member for member in members if member.suspected_ms is not None]

    def is_outdated(self, incarnation: str, address: str) -> bool:
        """Return whether a newer incarnation was seen at the address."""
        newest = self._newest_by_address.get(address)
        if newest is None:
            return False
        return start_order_key(incarnation) < start_order_key(newest)

    def add(self, member: Member) -> None:
        """Add a member; its address must be free or of an older incarnation."""
        member.sequence = max(
            member.sequence, self._removed_sequences.pop(member.incarnation, 0)
        )
        self._members[member.incarnation] = member
        # Inserted anew at the end, as `_trim` drops from the start.
        self._newest_by_address.pop(member.address, None)
        self._newest_by_address[member.address] = member.incarnation
        _trim(self._newest_by_address)

    def remove(self, member: Member) -> None:
        """Remove a member and keep its sequence, so that old updates are ignored."""
        self._members.pop(member.incarnation)
        self._removed_sequences[member.incarnation] = member.sequence
        _trim(self._removed_sequences)

    def is_newer(self, update: MemberUpdate) -> bool:
        """Return whether an update is newer than the known state."""
        member = self._members.get(update.incarnation)
        if member is None:
            removed = self._removed_sequences.get(update.incarnation, -1)
            return update.sequence > removed and update.state != MemberState.DEAD
        if update.sequence != member.sequence:
            return update.sequence > member.sequence
        return _state_rank(update.state) > _state_rank(member.state)

    def next_to_probe(self) -> Member | None:
        """Return the next member of a rotation shuffled in each round."""
        while self._members:
            if not self._rotation:
                self._rotation = list(self._members)
                self._random.shuffle(self._rotation)
            member = self._members.get(self._rotation.pop())
            if member is not None:
                return member
        return None

    def sample_helpers(self, incarnation: str, count: int) -> list[Member]:
        """Return random members that are neither suspected nor the given one."""
        others = [
            member
            for member in self._members.values()
            if member.suspected_ms is None and member.incarnation != incarnation
        ]
        return self._random.sample(others, min(count, len(others)))

    def sample_updates(self) -> list[MemberUpdate]:
        """Return updates on a random sample of members for a new member."""
        known = [member.to_update() for member in self._members.values()]
        return self._random.sample(known, min(JOIN_REPLY_UPDATES, len(known)))


def _state_rank(state: str) -> int:
    return STATE_ORDER.index(MemberState(state))


def _trim(remembered: dict) -> None:
    while len(remembered) > MAX_REMEMBERED:
        remembered.pop(next(iter(remembered)))
