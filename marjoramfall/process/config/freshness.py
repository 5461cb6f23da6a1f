"""Decide whether an entry may serve with the configuration it has."""

from collections.abc import Iterable

from marjoramfall.identifiers import vm_of
from marjoramfall.process.config.peers import LEASE_MS, PeerView, PeerViews

# Above this size a member cannot probe a majority directly within a lease;
# membership's own failure detection counts instead.
MAX_DIRECTLY_PROBED_MEMBERS = 32


class FreshnessLease:
    """Hold the latest time at which no later revision than the applied existed.

    Times are monotonic milliseconds of this process.
    """

    def __init__(self, peers: PeerViews) -> None:
        self._peers = peers
        self._head_ms: float | None = None
        self._majority_ms = float('-inf')
        self._known_vms = {vm_of(peers.own_id)}
        self._suspect_ids: frozenset[str] = frozenset()
        self.store_reachable = False

    def head_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the head was known, None if never."""
        return None if self._head_ms is None else now_ms - self._head_ms

    def has_head(self, now_ms: float) -> bool:
        """Return whether the head was known within the lease."""
        age_ms = self.head_age_ms(now_ms)
        return age_ms is not None and age_ms <= LEASE_MS

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the entry may serve."""
        return self.has_head(now_ms) or now_ms - self._majority_ms <= LEASE_MS

    def note_head(self, known_ms: float) -> None:
        """Record that no later revision existed at that time."""
        if self._head_ms is None or known_ms > self._head_ms:
            self._head_ms = known_ms

    def set_members(
        self, member_ids: Iterable[str], suspect_ids: Iterable[str]
    ) -> None:
        """Add new members to those of which a majority is needed."""
        self._suspect_ids = frozenset(suspect_ids)
        self._known_vms.update(vm_of(member_id) for member_id in member_ids)

    def note_left(self, peer_id: str) -> None:
        """Take a member that announced its stop out of the majority."""
        self._known_vms.discard(vm_of(peer_id))

    def review(self, applied: int, now_ms: float) -> None:
        """Extend the lease if nobody can have written a change.

        While the head is known, the current list of members replaces the one
        of which a majority is needed. Without the head, members that left
        the list still count, since the list may be wrong as well.
        """
        if self.has_head(now_ms):
            self._known_vms = {vm_of(peer_id) for peer_id, _ in self._peers}
            self._known_vms.add(vm_of(self._peers.own_id))
            return
        if self.store_reachable or self._head_ms is None:
            return
        reached = [
            (vm_of(peer_id), view)
            for peer_id, view in self._peers
            if self._is_reached(peer_id, view, now_ms)
        ]
        if any(self._may_know_more(view, applied, now_ms) for _, view in reached):
            return
        ages_by_vm = {
            vm: self._answer_age_ms(view, now_ms)
            for vm, view in reached
            if vm in self._known_vms
        }
        needed = len(self._known_vms) // 2
        if len(ages_by_vm) >= needed:
            completing = sorted(ages_by_vm.values())[:needed]
            self._majority_ms = now_ms - max(completing, default=0)

    @property
    def _is_direct(self) -> bool:
        return len(self._known_vms) <= MAX_DIRECTLY_PROBED_MEMBERS

    def _may_know_more(self, view: PeerView, applied: int, now_ms: float) -> bool:
        answered = view.reached_ms is not None and now_ms - view.reached_ms <= LEASE_MS
        return view.revision > applied or (answered and view.store_reachable)

    def _is_reached(self, peer_id: str, view: PeerView, now_ms: float) -> bool:
        if not self._is_direct:
            return peer_id not in self._suspect_ids
        return view.reached_ms is not None and now_ms - view.reached_ms <= LEASE_MS

    def _answer_age_ms(self, view: PeerView, now_ms: float) -> float:
        if not self._is_direct or view.reached_ms is None:
            return 0
        return now_ms - view.reached_ms
