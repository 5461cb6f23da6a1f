"""Combine the client and host side of the grant protocol in one process."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatchmethod

from marjoramfall.messages import (
    AskGrant,
    AsksReceived,
    GrantReply,
    GroupState,
    Message,
    RequestFinished,
    RequestStarted,
    ShedReply,
    WithdrawRequest,
)
from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.group.client import GroupClient, UsableServers
from marjoramfall.process.group.directory import MemberDirectory
from marjoramfall.process.group.dispatcher import GroupDispatcher
from marjoramfall.process.group.host import GroupHost
from marjoramfall.request.events import ServerInfo

ExchangeAction = Send | ResolveAsk


class GroupExchange:
    """Handle grant messages; those to the process itself bypass the network."""

    def __init__(
        self,
        own_incarnation: str,
        make_dispatcher: Callable[[str], GroupDispatcher],
    ) -> None:
        self.directory = MemberDirectory(own_incarnation)
        self.servers = UsableServers()
        self.client = GroupClient(self.directory, self.servers)
        self.host = GroupHost(self.directory, make_dispatcher)
        self._group_ids: tuple[str, ...] = ()

    @property
    def group_ids(self) -> tuple[str, ...]:
        """Return all groups of the configuration."""
        return self._group_ids

    def set_groups(
        self, servers_by_group: dict[str, Sequence[ServerInfo]], now_ms: float
    ) -> list[ExchangeAction]:
        """Replace the groups and their servers."""
        previous_dispatchers = self._dispatchers()
        self._group_ids = tuple(sorted(servers_by_group))
        host_messages = self.host.on_members_changed(self._group_ids, (), now_ms)
        server_messages = self.host.set_servers(servers_by_group, now_ms)
        state_messages = self.client.on_members_changed(
            self._group_ids, previous_dispatchers, now_ms
        )
        return self.deliver_local(
            [*host_messages, *server_messages, *state_messages], now_ms
        )

    def set_members(
        self, live: Iterable[str], now_ms: float, *, leaving: Iterable[str] = ()
    ) -> list[ExchangeAction]:
        """Replace the live members and those of them that are stopping."""
        previous_dispatchers = self._dispatchers()
        previous_live = self.directory.live
        self.directory.replace(live, leaving)
        removed = sorted(previous_live - self.directory.live)
        host_messages = self.host.on_members_changed(self._group_ids, removed, now_ms)
        state_messages = self.client.on_members_changed(
            self._group_ids, previous_dispatchers, now_ms
        )
        return self.deliver_local([*host_messages, *state_messages], now_ms)

    def tick(self, now_ms: float) -> list[ExchangeAction]:
        """Run the timeouts of the host and the client."""
        return self.deliver_local(
            [*self.host.tick(now_ms), *self.client.tick(now_ms)], now_ms
        )

    def receive(
        self, sender: str, message: Message, now_ms: float
    ) -> list[ExchangeAction]:
        """Handle a message of another member."""
        return self.deliver_local(self._handle(message, sender, now_ms), now_ms)

    def deliver_local(
        self, actions: Iterable[ExchangeAction], now_ms: float
    ) -> list[ExchangeAction]:
        """Handle the messages to the process itself and return the rest."""
        outgoing: list[ExchangeAction] = []
        queue = deque(actions)
        own = self.directory.own_incarnation
        while queue:
            action = queue.popleft()
            if isinstance(action, Send) and action.incarnation == own:
                queue.extend(self._handle(action.message, own, now_ms))
            else:
                outgoing.append(action)
        return outgoing

    def _dispatchers(self) -> dict[str, str]:
        return {
            group_id: self.directory.dispatcher_of(group_id)
            for group_id in self._group_ids
        }

    @singledispatchmethod
    def _handle(
        self, message: Message, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return ()

    @_handle.register
    def _on_grant_request(
        self, message: AskGrant, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.host.on_grant_request(sender, message, now_ms)

    @_handle.register
    def _on_acknowledged(
        self, message: AsksReceived, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        self.client.on_acknowledged(sender, message)
        return ()

    @_handle.register
    def _on_grant(
        self, message: GrantReply, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.client.on_grant(sender, message, now_ms)

    @_handle.register
    def _on_shed(
        self, message: ShedReply, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.client.on_shed(sender, message)

    @_handle.register
    def _on_withdraw(
        self, message: WithdrawRequest, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.host.on_withdraw(sender, message, now_ms)

    @_handle.register
    def _on_started(
        self, message: RequestStarted, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.host.on_started(message, now_ms)

    @_handle.register
    def _on_finished(
        self, message: RequestFinished, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.host.on_finished(message, now_ms)

    @_handle.register
    def _on_group_state(
        self, message: GroupState, sender: str, now_ms: float
    ) -> Sequence[ExchangeAction]:
        return self.host.on_group_state(sender, message, now_ms)
