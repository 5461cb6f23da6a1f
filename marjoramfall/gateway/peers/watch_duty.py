"""Decide which entries follow the store on behalf of the others."""

from collections.abc import Callable

from loguru import logger

from marjoramfall.gateway.peers.peer_table import Candidate, PeerTable

# Two follow the store for a group that holds all entries, so that a failed one is
# noticed by no caller; with several groups, each has one and hears of the others.
WATCHERS_OF_SINGLE_GROUP = 2
WATCHERS_OF_GROUP = 1
# Time in which an entry that just started hears of those that follow the store.
START_DELAY_MS = 500
# How long an entry that the store has refused leaves the duty to others.
REFUSAL_MEMORY_MS = 3000


class WatchDuty:
    """Tell whether this entry has to follow the store now.

    The entries of a group take the duty in the order of their names. Those that
    the store refuses are passed over, but the first ones keep trying. A restarted
    entry reads the store at once, as it cannot serve before it knows anything.
    """

    def __init__(
        self,
        peers: PeerTable,
        *,
        own_vm: str,
        uptime_ms: Callable[[], int],
        on_change: Callable[[], None],
        needs_state: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._own_vm = own_vm
        self._uptime_ms = uptime_ms
        self._on_change = on_change
        self._needs_state = needs_state
        self._was_due = False
        self._refused_ms = 0
        self.is_store_reachable = True

    def is_due(self) -> bool:
        """Return whether this entry has to follow the store, and log changes."""
        due = self._is_due()
        if due != self._was_due:
            self._was_due = due
            logger.bind(
                due=due,
                group=self._peers.groups.own_group,
                peers_heard=self._peers.group_entry_count() - 1,
                store_reachable=self.is_store_reachable,
            ).info('duty to follow the store changed')
        if not due and self._uptime_ms() - self._refused_ms >= REFUSAL_MEMORY_MS:
            self.set_store_reachable(is_reachable=True)
        return due

    def is_reserve(self) -> bool:
        """Return whether this entry follows the store only as the first ones fail."""
        first = self._candidates()[: self._watcher_count()]
        return all(candidate.vm != self._own_vm for candidate in first)

    def rank(self) -> int:
        """Return the position of this entry among all that follow the store."""
        groups = self._peers.groups
        if not groups.is_single:
            return groups.names.index(groups.own_group)
        vms = [candidate.vm for candidate in self._healthy()]
        return vms.index(self._own_vm) if self._own_vm in vms else len(vms)

    def set_store_reachable(self, *, is_reachable: bool) -> None:
        """Record whether the store answers, and tell the peers of a change."""
        if not is_reachable:
            self._refused_ms = self._uptime_ms()
        if is_reachable != self.is_store_reachable:
            self.is_store_reachable = is_reachable
            self._on_change()

    def _is_due(self) -> bool:
        if self._needs_state():
            return True
        if self._uptime_ms() < START_DELAY_MS:
            return False
        count = self._watcher_count()
        healthy = self._healthy()
        if not healthy:
            return True
        due = healthy[:count] + self._candidates()[:count]
        return any(candidate.vm == self._own_vm for candidate in due)

    def _watcher_count(self) -> int:
        is_single = self._peers.groups.is_single
        return WATCHERS_OF_SINGLE_GROUP if is_single else WATCHERS_OF_GROUP

    def _candidates(self) -> list[Candidate]:
        return self._peers.candidates(
            self._uptime_ms(), is_store_reachable=self.is_store_reachable
        )

    def _healthy(self) -> list[Candidate]:
        return [found for found in self._candidates() if found.is_store_reachable]
