"""Track the members that may still serve, reachable or not."""

from collections.abc import Iterable

from marjoramfall.identifiers import vm_of


class MemberRoster:
    """Keep unreachable members until it is certain that they have stopped.

    Failure detection removes a member that does not answer, but it may serve
    on the other side of a partition. It stays on the roster until the
    platform no longer lists its VM, it is removed after announcing its stop, or
    its VM runs a later incarnation.
    """

    def __init__(self) -> None:
        self._incarnation_by_vm: dict[str, str] = {}
        self._leaving: set[str] = set()

    @property
    def incarnations(self) -> list[str]:
        """Return the members that may still serve."""
        return list(self._incarnation_by_vm.values())

    def add(self, incarnation: str) -> None:
        """Add a member; it replaces an earlier incarnation of its VM."""
        self._incarnation_by_vm[vm_of(incarnation)] = incarnation

    def mark_leaving(self, incarnation: str) -> None:
        """Record that the member announced its stop."""
        self._leaving.add(incarnation)

    def on_removed(self, incarnation: str) -> None:
        """Drop a removed member if it had announced its stop."""
        if incarnation in self._leaving:
            self._leaving.discard(incarnation)
            self._drop(incarnation)

    def retain_vms(self, vms: Iterable[str]) -> None:
        """Drop the members whose VM the platform does not list."""
        known = set(vms)
        for vm in list(self._incarnation_by_vm):
            if vm not in known:
                self._incarnation_by_vm.pop(vm)

    def _drop(self, incarnation: str) -> None:
        vm = vm_of(incarnation)
        if self._incarnation_by_vm.get(vm) == incarnation:
            self._incarnation_by_vm.pop(vm)
