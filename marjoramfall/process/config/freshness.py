"""Decide whether an entry may serve with the configuration it has applied."""

from collections.abc import Iterable

from marjoramfall.identifiers import vm_of
from marjoramfall.process.config.peers import LEASE_MS, PeerView, PeerViews

# Above this size a member cannot probe a majority directly within a lease;
# members that membership does not suspect count as reachable instead.
MAX_DIRECTLY_PROBED_MEMBERS = 32


class FreshnessLease:
    """Track how long ago the applied revision was known to be the latest.

    The head is the last revision of the log. News of the head extends the
    lease; while no member reaches the store, answers of a majority do. Times
    are monotonic milliseconds of this process.
    """

    def __init__(self, peers: PeerViews) -> None:
        self._peers = peers
        self._head_known_ms: float | None = None
        self._majority_confirmed_ms = float('-inf')
        self._quorum_vms = {vm_of(peers.own_id)}
        self._suspect_ids: frozenset[str] = frozenset()
        self.store_reachable = False

    def head_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the head was last known, None if never."""
        return None if self._head_known_ms is None else now_ms - self._head_known_ms

    def has_recent_head(self, now_ms: float) -> bool:
        """Return whether the head was known within the last `LEASE_MS`."""
        age_ms = self.head_age_ms(now_ms)
        return age_ms is not None and age_ms <= LEASE_MS

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the lease holds, so that the entry may serve."""
        return (
            self.has_recent_head(now_ms)
            or now_ms - self._majority_confirmed_ms <= LEASE_MS
        )

    def record_head(self, known_ms: float) -> None:
        """Record that no later revision existed at that time."""
        if self._head_known_ms is None or known_ms > self._head_known_ms:
            self._head_known_ms = known_ms

    def set_members(
        self, member_ids: Iterable[str], suspect_ids: Iterable[str]
    ) -> None:
        """Add the VMs of new members to those of which a majority is needed."""
        self._suspect_ids = frozenset(suspect_ids)
        self._quorum_vms.update(vm_of(member_id) for member_id in member_ids)

    def remove_member(self, peer_id: str) -> None:
        """Stop counting the VM of a member that announced its stop."""
        self._quorum_vms.discard(vm_of(peer_id))

    def renew(self, applied_revision: int, now_ms: float) -> None:
        """Extend the lease if nobody can have written a change.

        While the head is known, the current list of members replaces the one
        of which a majority is needed. Without the head, members that left
        the list still count, since the list itself may be wrong.
        """
        if self.has_recent_head(now_ms):
            self._quorum_vms = {vm_of(peer_id) for peer_id, _ in self._peers}
            self._quorum_vms.add(vm_of(self._peers.own_id))
            return
        if self.store_reachable or self._head_known_ms is None:
            return
        reachable = [
            (vm_of(peer_id), view)
            for peer_id, view in self._peers
            if self._is_reachable(peer_id, view, now_ms)
        ]
        if any(
            self._may_know_later_revision(view, applied_revision, now_ms)
            for _, view in reachable
        ):
            return
        ages_by_vm = {
            vm: self._answer_age_ms(view, now_ms)
            for vm, view in reachable
            if vm in self._quorum_vms
        }
        # With this entry itself, these answers are a majority.
        needed_answers = len(self._quorum_vms) // 2
        if len(ages_by_vm) >= needed_answers:
            needed_ages_ms = sorted(ages_by_vm.values())[:needed_answers]
            self._majority_confirmed_ms = now_ms - max(needed_ages_ms, default=0)

    @property
    def _probes_directly(self) -> bool:
        return len(self._quorum_vms) <= MAX_DIRECTLY_PROBED_MEMBERS

    def _may_know_later_revision(
        self, view: PeerView, applied_revision: int, now_ms: float
    ) -> bool:
        answered = (
            view.last_answered_probe_ms is not None
            and now_ms - view.last_answered_probe_ms <= LEASE_MS
        )
        return view.revision > applied_revision or (answered and view.store_reachable)

    def _is_reachable(self, peer_id: str, view: PeerView, now_ms: float) -> bool:
        if not self._probes_directly:
            return peer_id not in self._suspect_ids
        return (
            view.last_answered_probe_ms is not None
            and now_ms - view.last_answered_probe_ms <= LEASE_MS
        )

    def _answer_age_ms(self, view: PeerView, now_ms: float) -> float:
        if not self._probes_directly or view.last_answered_probe_ms is None:
            return 0
        return now_ms - view.last_answered_probe_ms
