"""Keep the members that may still be serving, reachable or not."""

from collections.abc import Iterable

from marjoramfall.identifiers import vm_of


class MemberRoster:
    """Remember unreachable members until it is certain that they are gone.

    Failure detection removes a member that does not answer, but it may serve
    on the other side of a partition. It stays on the roster until the
    platform drops its VM, it announced its stop, or its VM runs a later
    incarnation.
    """

    def __init__(self) -> None:
        self._incarnation_by_vm: dict[str, str] = {}
        self._leaving: set[str] = set()

    @property
    def incarnations(self) -> list[str]:
        """Return the other members that may be serving."""
        return list(self._incarnation_by_vm.values())

    def add(self, incarnation: str) -> None:
        """Add a member; it replaces an earlier incarnation of its VM."""
        self._incarnation_by_vm[vm_of(incarnation)] = incarnation

    def mark_leaving(self, incarnation: str) -> None:
        """Note that the member stops by itself."""
        self._leaving.add(incarnation)

    def on_removed(self, incarnation: str) -> None:
        """Drop a removed member if it had announced its stop."""
        if incarnation in self._leaving:
            self._leaving.discard(incarnation)
            self._drop(incarnation)

    def retain_vms(self, vms: Iterable[str]) -> None:
        """Take the platform's list of VMs and drop members of other VMs."""
        known = set(vms)
        for vm in list(self._incarnation_by_vm):
            if vm not in known:
                self._incarnation_by_vm.pop(vm)

    def _drop(self, incarnation: str) -> None:
        vm = vm_of(incarnation)
        if self._incarnation_by_vm.get(vm) == incarnation:
            self._incarnation_by_vm.pop(vm)
