"""Hold the decisions of one entry process, without sockets or a clock."""

from collections.abc import Iterable, Sequence

from marjoramfall.messages import Message, VersionWithdrawn
from marjoramfall.model import Configuration, VersionState
from marjoramfall.process.actions import Send
from marjoramfall.process.group.exchange import ExchangeAction, GroupExchange
from marjoramfall.request.dispatcher import Dispatcher
from marjoramfall.request.events import ServerInfo
from marjoramfall.version.actions import MoveAction, WithdrawVersion
from marjoramfall.version.service_router import ServiceRouter


class EntryState:
    """Join grants, versions and servers under one configuration."""

    def __init__(self, own_incarnation: str) -> None:
        self.exchange = GroupExchange(own_incarnation, self._make_dispatcher)
        self.configuration = Configuration()
        self._routers_by_service: dict[str, ServiceRouter] = {}
        self._leaving_addresses: frozenset[str] = frozenset()
        self._signalled_server_ids: set[str] = set()
        self._now_ms = float(0)
        self._wall_offset_ms = 0

    def apply(
        self, configuration: Configuration, now_ms: float, wall_ms: int
    ) -> list[ExchangeAction]:
        """Put a later configuration in force."""
        self.configuration = configuration
        self._now_ms = now_ms
        self._wall_offset_ms = wall_ms - int(now_ms)
        for service_id in configuration.services_by_id:
            self._configure(self._router(service_id))
        withdrawn = self.exchange.servers.withdrawn_version_ids
        withdrawn.update(
            version.version_id
            for version in configuration.versions_by_id.values()
            if version.state is VersionState.WITHDRAWN
        )
        return self._refresh_servers(now_ms)

    def on_vm_list(
        self, addresses: Iterable[str], now_ms: float
    ) -> list[ExchangeAction]:
        """Take the addresses that the platform lists as leaving."""
        leaving = frozenset(addresses)
        if leaving == self._leaving_addresses:
            return []
        self._leaving_addresses = leaving
        return self._refresh_servers(now_ms)

    def on_server_signal(
        self, server_id: str, now_ms: float, *, leaving: bool
    ) -> list[ExchangeAction]:
        """Take a server's own word that it is leaving, or is not."""
        if leaving == (server_id in self._signalled_server_ids):
            return []
        if leaving:
            self._signalled_server_ids.add(server_id)
        else:
            self._signalled_server_ids.discard(server_id)
        return self._refresh_servers(now_ms)

    def receive(
        self, sender: str, message: Message, now_ms: float
    ) -> list[ExchangeAction]:
        """Handle a message about grants or versions."""
        if isinstance(message, VersionWithdrawn):
            self.withdraw(message.service_id, message.version_id, message.reason)
            return []
        return self.exchange.receive(sender, message, now_ms)

    def withdraw(self, service_id: str, version_id: str, reason: str) -> None:
        """Send the version no new request, neither waiting nor granted ones."""
        self.exchange.servers.withdrawn_version_ids.add(version_id)
        self._router(service_id).withdraw(version_id, reason)

    def tick(self, now_ms: float) -> tuple[list[ExchangeAction], list[MoveAction]]:
        """Let time pass; return messages and what moves want recorded."""
        self._now_ms = now_ms
        recorded: list[MoveAction] = []
        outgoing: list[ExchangeAction] = []
        for group_id in self.exchange.host.hosted_group_ids:
            for action in self._router(group_id).tick(now_ms):
                recorded.append(action)
                if isinstance(action, WithdrawVersion):
                    outgoing.extend(self._broadcast(action))
        outgoing.extend(self.exchange.tick(now_ms))
        return outgoing, recorded

    def _broadcast(self, action: WithdrawVersion) -> Sequence[Send]:
        self.withdraw(action.service_id, action.version_id, action.reason)
        message = VersionWithdrawn(
            service_id=action.service_id,
            version_id=action.version_id,
            move_id=action.move_id,
            reason=action.reason,
        )
        directory = self.exchange.directory
        others = sorted(directory.live - {directory.own_incarnation})
        return [Send(incarnation, message) for incarnation in others]

    def _refresh_servers(self, now_ms: float) -> list[ExchangeAction]:
        usable = self.exchange.servers
        usable.leaving_server_ids = self._leaving_server_ids()
        usable.address_by_server_id = {
            server.server_id: server.address
            for server in self.configuration.backend_servers_by_id.values()
        }
        groups: dict[str, list[ServerInfo]] = {
            service_id: [] for service_id in self.configuration.services_by_id
        }
        for server in self.configuration.backend_servers_by_id.values():
            version = self.configuration.versions_by_id.get(server.version_id)
            if version is None:
                continue
            info = ServerInfo(
                server_id=server.server_id,
                version_id=server.version_id,
                data_centre=server.data_centre,
                max_concurrency=server.max_concurrency,
                leaving=server.server_id in usable.leaving_server_ids,
            )
            groups[version.service_id].append(info)
        return self.exchange.set_groups(groups, now_ms)

    def _leaving_server_ids(self) -> set[str]:
        listed = {
            server.server_id
            for server in self.configuration.backend_servers_by_id.values()
            if server.address in self._leaving_addresses
        }
        return listed | self._signalled_server_ids

    def _router(self, service_id: str) -> ServiceRouter:
        existing = self._routers_by_service.get(service_id)
        if existing is None:
            existing = ServiceRouter(service_id)
            self._routers_by_service[service_id] = existing
        return existing

    def _make_dispatcher(self, group_id: str) -> Dispatcher:
        router = self._router(group_id)
        router.reset_move()
        self._configure(router)
        return Dispatcher(group_id, router)

    def _configure(self, router: ServiceRouter) -> None:
        wall_ms = int(self._now_ms) + self._wall_offset_ms
        router.configure(self.configuration, self._now_ms, wall_ms)
