"""Know which members live and which of them dispatches a group."""

from collections.abc import Iterable

from marjoramfall.identifiers import rank_members


class MemberDirectory:
    """Hold one process's view of the live members, itself included."""

    def __init__(self, own_incarnation: str) -> None:
        self.own_incarnation = own_incarnation
        self._live: frozenset[str] = frozenset((own_incarnation,))
        self._dispatcher_by_group: dict[str, str] = {}

    @property
    def live(self) -> frozenset[str]:
        """Return the incarnations of all live members."""
        return self._live

    def replace(self, live: Iterable[str]) -> None:
        """Set the live members; the process itself always counts as one."""
        self._live = frozenset(live) | {self.own_incarnation}
        self._dispatcher_by_group.clear()

    def dispatcher_of(self, group_id: str) -> str:
        """Return the incarnation that dispatches the group in this view."""
        cached = self._dispatcher_by_group.get(group_id)
        if cached is None:
            cached = rank_members(group_id, self._live)[0]
            self._dispatcher_by_group[group_id] = cached
        return cached
