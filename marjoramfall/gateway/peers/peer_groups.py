"""Divide entries into groups that share their whole state, and servers among them."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b

from marjoramfall.gateway.model import BackendServer

# Up to this many entries, one group holds all of them.
MAX_SINGLE_GROUP = 24
MEAN_GROUP_SIZE = 10
# Keeps most entries in their group while others come and go.
GROUP_SIZE_SLACK = 1.3
SINGLE_GROUP = 'all'
MAX_CACHED_WEIGHTS = 8192


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def rendezvous_weight(key: str, group: str) -> int:
    """Return the weight of a group for a key; the highest one is chosen."""
    digest = blake2b(f'{group}\0{key}'.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class PeerGroups:
    """Map each entry to a group within its data centre, the same way everywhere.

    Rendezvous hashing keeps most entries in their group as others come and go.
    """

    def __init__(self, own_vm: str, data_centre: str) -> None:
        self._own_vm = own_vm
        self._data_centre = data_centre
        self._groups_by_data_centre: dict[str, list[str]] = {}
        # Counts the changes of the division.
        self.revision = 0
        self.is_single = True
        self.own_group = SINGLE_GROUP
        self.group_by_vm: dict[str, str] = {}
        self.update({})

    @property
    def names(self) -> list[str]:
        """Return the names of all groups in a fixed order."""
        return sorted(set(self.group_by_vm.values()))

    def update(self, data_centre_by_vm: Mapping[str, str]) -> None:
        """Assign all known entries anew; the own entry is added to them."""
        by_vm = {**data_centre_by_vm, self._own_vm: self._data_centre}
        self.revision += 1
        self.is_single = len(by_vm) <= MAX_SINGLE_GROUP
        self._groups_by_data_centre = _name_groups(by_vm.values())
        if self.is_single:
            self.group_by_vm = dict.fromkeys(by_vm, SINGLE_GROUP)
        else:
            self.group_by_vm = self._divide(by_vm)
        self.own_group = self.group_by_vm[self._own_vm]

    def has_member(self, vm: str) -> bool:
        """Return whether an entry is in the group of this one."""
        return self.group_by_vm.get(vm) == self.own_group

    def preferred_group(self, server: BackendServer) -> str:
        """Return one group for a server, whatever other servers are known.

        It is one of the server's data centre, if there is any.
        """
        if self.is_single:
            return SINGLE_GROUP
        groups = self._groups_by_data_centre.get(server.data_centre) or self.names
        return _by_preference(server.server_id, groups)[0]

    def own_servers(self, servers: Iterable[BackendServer]) -> set[str]:
        """Return the ids of the servers that this group uses first.

        The groups of a data centre share its servers evenly; those of a data
        centre without entries are shared by all groups.
        """
        if self.is_single:
            return {server.server_id for server in servers}
        ids_by_data_centre: dict[str, list[str]] = defaultdict(list)
        for server in servers:
            ids_by_data_centre[server.data_centre].append(server.server_id)
        owned: set[str] = set()
        for data_centre, server_ids in ids_by_data_centre.items():
            groups = self._groups_by_data_centre.get(data_centre, self.names)
            owned.update(_share_evenly(server_ids, groups).get(self.own_group, ()))
        return owned

    def _divide(self, data_centre_by_vm: Mapping[str, str]) -> dict[str, str]:
        group_by_vm: dict[str, str] = {}
        for data_centre, groups in self._groups_by_data_centre.items():
            vms = [vm for vm, name in data_centre_by_vm.items() if name == data_centre]
            shared = _share_evenly(vms, groups, slack=GROUP_SIZE_SLACK)
            for group, members in shared.items():
                group_by_vm.update(dict.fromkeys(members, group))
        return group_by_vm


def _name_groups(data_centres: Iterable[str]) -> dict[str, list[str]]:
    counts: dict[str, int] = defaultdict(int)
    for data_centre in data_centres:
        counts[data_centre] += 1
    return {name: _group_names(name, count) for name, count in counts.items()}


def _group_names(data_centre: str, entry_count: int) -> list[str]:
    group_count = max(1, round(entry_count / MEAN_GROUP_SIZE))
    return [f'{data_centre}/{number}' for number in range(group_count)]


def _share_evenly(
    keys: list[str], groups: list[str], *, slack: float = 1
) -> dict[str, list[str]]:
    """Give each key to its preferred group that still has room.

    A group takes up to `slack` times its even share.
    """
    shared: dict[str, list[str]] = defaultdict(list)
    room = math.ceil(slack * len(keys) / max(1, len(groups)))
    for key in sorted(keys):
        for group in _by_preference(key, groups):
            if len(shared[group]) < room:
                shared[group].append(key)
                break
    return shared


def _by_preference(key: str, groups: list[str]) -> list[str]:
    return sorted(groups, key=lambda group: rendezvous_weight(key, group), reverse=True)
