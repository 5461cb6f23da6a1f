"""Divide servers and idle connections among the entries, and weigh distance."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from marjoramfall.gateway.model import Service
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.connection_pool import (
    ConnectionPool,
    max_idle_connections,
)
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import Distance, ServerLoad
from marjoramfall.gateway.servers.service_queue import ServiceQueue

# Additional cost of a server in another data centre.
REMOTE_COST_MS = 5.0
# The load that other groups put on a server is known late. Their servers are used
# only when the own ones are full, and one slot of each is left to its own group.
OTHER_GROUP_COST_MS = 200.0
OTHER_GROUP_RESERVED_SLOTS = 1
# Servers look idle where more of the entries of other groups are not heard.
MAX_SILENT_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class SharingBasis:
    """Hold what the division of servers and connections among entries depends on."""

    entry_count: int
    groups_revision: int
    server_ids: frozenset[str]


def open_to_all(queue: ServiceQueue, now_ms: float) -> list[ServerLoad]:
    """Return the servers that a request without needs of its own could use."""
    any_call = Demand('', 0, now_ms, now_ms, now_ms, now_ms)
    return [
        load
        for load in queue.eligible_loads(any_call)
        if not load.pause_ms(now_ms)
        and not load.is_ejected(now_ms)
        and not load.unreachable_report_count
    ]


class ServerSharing:
    """Tell each server how near it is and which part of it this entry may use."""

    def __init__(
        self,
        peers: PeerTable,
        pool: ConnectionPool,
        *,
        data_centre: str,
        load_by_id: Mapping[str, ServerLoad],
        find_queue: Callable[[str], ServiceQueue],
        find_service: Callable[[str], Service | None],
    ) -> None:
        self._peers = peers
        self._pool = pool
        self._data_centre = data_centre
        self._load_by_id = load_by_id
        self._find_queue = find_queue
        self._find_service = find_service
        self._basis: SharingBasis | None = None
        self.owned_ids: frozenset[str] = frozenset()

    def counter_of(self, service_id: str) -> Callable[[], int]:
        """Return what counts the entries that share the servers of a service."""
        if self._is_model(service_id):
            return self._peers.group_entry_count
        return self._peers.entry_count

    def reset(self) -> None:
        """Divide anew at the next update, after a change of servers or services."""
        self._basis = None

    def update(self) -> bool:
        """Divide anew if anything has changed; return whether it has."""
        entry_count = self._peers.entry_count()
        basis = SharingBasis(
            entry_count, self._peers.groups.revision, frozenset(self._load_by_id)
        )
        if basis == self._basis:
            return False
        self._basis = basis
        self.owned_ids = frozenset(self._find_owned_ids())
        for load in self._load_by_id.values():
            self._apply_locality(load)
            self._set_idle_limit(load, entry_count)
        return True

    def update_exits(self, queues: Mapping[str, ServiceQueue], now_ms: float) -> None:
        """Adapt how many calls of each plain service leave the data centre."""
        outside = self._peers.outside
        silent_share = outside.silent_count() / max(1, outside.entry_count())
        is_informed = outside.is_live and silent_share <= MAX_SILENT_SHARE
        for service_id, queue in queues.items():
            if not self._is_model(service_id):
                queue.data_centre_exit.update(
                    open_to_all(queue, now_ms), is_informed=is_informed
                )

    def _find_owned_ids(self) -> set[str]:
        """Return the servers that the group of this entry uses first.

        A plain service has few servers, which all groups share.
        """
        servers = [load.server for load in self._load_by_id.values()]
        models = [server for server in servers if self._is_model(server.service_id)]
        plain = [server for server in servers if not self._is_model(server.service_id)]
        owned = self._peers.groups.own_servers(models)
        owned.update(server.server_id for server in plain)
        return owned

    def _apply_locality(self, load: ServerLoad) -> None:
        is_owned = load.server.server_id in self.owned_ids
        is_local = load.server.data_centre == self._data_centre
        cost_ms = 0 if is_local else REMOTE_COST_MS
        load.distance = Distance(is_local, cost_ms if is_owned else OTHER_GROUP_COST_MS)
        load.reserve_slots(0 if is_owned else OTHER_GROUP_RESERVED_SLOTS)
        queue = self._find_queue(load.server.service_id)
        if is_owned:
            queue.other_group_server_ids.discard(load.server.server_id)
        else:
            queue.other_group_server_ids.add(load.server.server_id)
        queue.randomizes_choice = self._peers.is_large and not load.is_model
        queue.data_centre_exit.is_active = self._peers.is_large

    def _set_idle_limit(self, load: ServerLoad, entry_count: int) -> None:
        service = self._find_service(load.server.service_id)
        limit = max_idle_connections(
            service.max_connections if service else 0,
            slots=load.server.slots,
            entry_count=entry_count,
        )
        self._pool.set_max_idle(load.server.server_id, limit)

    def _is_model(self, service_id: str) -> bool:
        service = self._find_service(service_id)
        return service is not None and service.is_model
