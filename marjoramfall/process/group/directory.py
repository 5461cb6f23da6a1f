"""Map groups to the live members that dispatch them."""

from collections.abc import Iterable

from marjoramfall.identifiers import rank_members


class MemberDirectory:
    """Hold one process's view of the live members, itself included."""

    def __init__(self, own_incarnation: str) -> None:
        self.own_incarnation = own_incarnation
        self._live: frozenset[str] = frozenset((own_incarnation,))
        self._leaving: frozenset[str] = frozenset()
        self._dispatcher_by_group: dict[str, str] = {}

    @property
    def live(self) -> frozenset[str]:
        """Return the incarnations of all live members, leaving ones too."""
        return self._live

    def replace(self, live: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Set the live members; the process itself always counts as one."""
        self._live = frozenset(live) | {self.own_incarnation}
        self._leaving = frozenset(leaving)
        self._dispatcher_by_group.clear()

    def dispatcher_of(self, group_id: str) -> str:
        """Return the incarnation that dispatches the group in this view.

        A leaving member dispatches only if all members are leaving.
        """
        cached = self._dispatcher_by_group.get(group_id)
        if cached is None:
            candidates = self._live - self._leaving or self._live
            cached = rank_members(group_id, candidates)[0]
            self._dispatcher_by_group[group_id] = cached
        return cached
