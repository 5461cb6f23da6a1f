"""Run the dispatchers of the groups that this process hosts."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from marjoramfall.messages import (
    ActiveGrant,
    AskGrant,
    GroupState,
    RequestFinished,
    RequestStarted,
    WithdrawRequest,
)
from marjoramfall.process.actions import Send
from marjoramfall.process.group.directory import MemberDirectory
from marjoramfall.process.group.dispatcher import GroupDispatcher
from marjoramfall.process.group.messages import (
    acknowledge,
    decision_message,
    finish_report,
    is_decision_on,
    waiting_request,
)
from marjoramfall.request.events import (
    Action,
    CacheEvent,
    LoadReport,
    ServerInfo,
    WaitingRequest,
    WorkEstimate,
)

# A new dispatcher holds requests for at most this time while it waits for the state
# of all live entries.
STATE_COLLECTION_TIMEOUT_MS = 500
# A group that was opened on `insist` is closed after this time without a request.
IDLE_TAKEOVER_TIMEOUT_MS = 5000


@dataclass(slots=True)
class HostedGroup:
    """Hold a dispatcher and the requests kept back while it collects state."""

    dispatcher: GroupDispatcher
    opened_ms: float
    last_request_ms: float
    awaited_entries: set[str]
    held_requests: list[WaitingRequest] = field(default_factory=list)

    def is_collecting(self, now_ms: float) -> bool:
        """Return whether to wait for entries that have not sent their state."""
        return (
            bool(self.awaited_entries)
            and now_ms - self.opened_ms < STATE_COLLECTION_TIMEOUT_MS
        )


class GroupHost:
    """Feed messages to the hosted dispatchers and send their decisions.

    `on_decided` is called with the group id and each decision.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        make_dispatcher: Callable[[str], GroupDispatcher],
    ) -> None:
        self._directory = directory
        self._make_dispatcher = make_dispatcher
        self._groups_by_id: dict[str, HostedGroup] = {}
        self._servers_by_group: Mapping[str, Sequence[ServerInfo]] = {}
        self.on_decided: Callable[[str, Action], None] | None = None

    @property
    def hosted_group_ids(self) -> list[str]:
        """Return the groups open here, including those opened on `insist`."""
        return list(self._groups_by_id)

    def dispatcher(self, group_id: str) -> GroupDispatcher | None:
        """Return the hosted dispatcher of a group, if there is one."""
        group = self._groups_by_id.get(group_id)
        return group.dispatcher if group else None

    def set_servers(
        self, servers_by_group: Mapping[str, Sequence[ServerInfo]], now_ms: float
    ) -> list[Send]:
        """Replace the servers of all groups."""
        self._servers_by_group = servers_by_group
        actions: list[Send] = []
        for group_id, group in self._groups_by_id.items():
            servers = servers_by_group.get(group_id, ())
            decided = group.dispatcher.set_servers(servers, now_ms)
            actions.extend(self._replies(group_id, decided, now_ms))
        return actions

    def on_members_changed(
        self, group_ids: Sequence[str], removed: Sequence[str], now_ms: float
    ) -> list[Send]:
        """Open and close groups, and release the grants of dead entries.

        Entries resend their waiting requests to the new dispatcher, so a
        closed group has nothing to hand over.
        """
        for group_id in list(self._groups_by_id):
            if not self._is_assigned_here(group_id):
                self._groups_by_id.pop(group_id)
        for group_id in group_ids:
            if self._is_assigned_here(group_id):
                self._open(group_id, now_ms)
        actions: list[Send] = []
        for group_id, group in self._groups_by_id.items():
            group.awaited_entries.intersection_update(self._directory.live)
            for incarnation in removed:
                decided = group.dispatcher.release_entry(incarnation, now_ms)
                actions.extend(self._replies(group_id, decided, now_ms))
        return actions

    def on_grant_request(
        self, sender: str, request: AskGrant, now_ms: float
    ) -> list[Send]:
        """Queue a request; ignore one of a group not hosted here.

        Member views differ briefly after a change, and the entry resends an
        ignored request. `insist` marks one resent several times: the group is
        then opened here, as the view of the entry is taken as right.
        """
        if request.insist and request.group_id not in self._groups_by_id:
            self._open(request.group_id, now_ms)
        group = self._groups_by_id.get(request.group_id)
        if group is None:
            return []
        group.last_request_ms = now_ms
        waiting = waiting_request(sender, request, now_ms)
        if group.is_collecting(now_ms):
            group.held_requests.append(waiting)
            return [acknowledge(sender, request)]
        decided = group.dispatcher.enqueue(waiting, now_ms)
        replies = self._replies(request.group_id, decided, now_ms)
        if not any(is_decision_on(reply, request.request_id) for reply in replies):
            replies.append(acknowledge(sender, request))
        return replies

    def on_withdraw(
        self, sender: str, message: WithdrawRequest, now_ms: float
    ) -> list[Send]:
        """Remove a waiting request."""
        group = self._groups_by_id.get(message.group_id)
        if group is None:
            return []
        group.held_requests = [
            waiting
            for waiting in group.held_requests
            if waiting.request_id != message.request_id
        ]
        decided = group.dispatcher.withdraw(message.request_id, now_ms)
        return self._replies(message.group_id, decided, now_ms)

    def on_started(self, message: RequestStarted, now_ms: float) -> list[Send]:
        """Record that a grant is in use."""
        group = self._groups_by_id.get(message.group_id)
        if group is None:
            return []
        decided = group.dispatcher.on_started(message.request_id, now_ms)
        return self._replies(message.group_id, decided, now_ms)

    def on_finished(self, message: RequestFinished, now_ms: float) -> list[Send]:
        """Release a grant and record its result."""
        group = self._groups_by_id.get(message.group_id)
        if group is None:
            return []
        decided = group.dispatcher.on_finished(finish_report(message), now_ms)
        return self._replies(message.group_id, decided, now_ms)

    def on_group_state(
        self, sender: str, state: GroupState, now_ms: float
    ) -> list[Send]:
        """Adopt the open grants and waiting requests of an entry in a group."""
        group = self._groups_by_id.get(state.group_id)
        if group is None:
            return []
        actions: list[Send] = []
        for active in state.active:
            decided = self._adopt(group, sender, active, now_ms)
            actions.extend(self._replies(state.group_id, decided, now_ms))
        group.awaited_entries.discard(sender)
        for request in state.waiting:
            actions.extend(self.on_grant_request(sender, request, now_ms))
        actions.extend(self._enqueue_held_requests(state.group_id, group, now_ms))
        return actions

    def on_load_report(
        self, group_id: str, report: LoadReport, now_ms: float
    ) -> list[Send]:
        """Pass a server's load report to its group's dispatcher."""
        group = self._groups_by_id.get(group_id)
        if group is None:
            return []
        decided = group.dispatcher.on_load_report(report, now_ms)
        return self._replies(group_id, decided, now_ms)

    def on_cache_event(
        self, group_id: str, event: CacheEvent, now_ms: float
    ) -> list[Send]:
        """Pass a server's cache event to its group's dispatcher."""
        group = self._groups_by_id.get(group_id)
        if group is None:
            return []
        decided = group.dispatcher.on_cache_event(event, now_ms)
        return self._replies(group_id, decided, now_ms)

    def tick(self, now_ms: float) -> list[Send]:
        """Run the timeouts of all hosted groups."""
        actions: list[Send] = []
        for group_id, group in list(self._groups_by_id.items()):
            actions.extend(self._enqueue_held_requests(group_id, group, now_ms))
            decided = group.dispatcher.tick(now_ms)
            actions.extend(self._replies(group_id, decided, now_ms))
            idle_ms = now_ms - group.last_request_ms
            if (
                not self._is_assigned_here(group_id)
                and idle_ms > IDLE_TAKEOVER_TIMEOUT_MS
            ):
                self._groups_by_id.pop(group_id)
        return actions

    def _is_assigned_here(self, group_id: str) -> bool:
        dispatcher = self._directory.dispatcher_of(group_id)
        return dispatcher == self._directory.own_incarnation

    def _open(self, group_id: str, now_ms: float) -> None:
        if group_id in self._groups_by_id:
            return
        dispatcher = self._make_dispatcher(group_id)
        dispatcher.set_servers(self._servers_by_group.get(group_id, ()), now_ms)
        self._groups_by_id[group_id] = HostedGroup(
            dispatcher=dispatcher,
            opened_ms=now_ms,
            last_request_ms=now_ms,
            awaited_entries=set(self._directory.live),
        )

    def _enqueue_held_requests(
        self, group_id: str, group: HostedGroup, now_ms: float
    ) -> list[Send]:
        if not group.held_requests or group.is_collecting(now_ms):
            return []
        # Highest tier first, otherwise a lower tier would take the free credits.
        held_requests = sorted(
            group.held_requests, key=lambda waiting: waiting.tier_rank
        )
        group.held_requests.clear()
        actions: list[Send] = []
        for waiting in held_requests:
            decided = group.dispatcher.enqueue(waiting, now_ms)
            actions.extend(self._replies(group_id, decided, now_ms))
        return actions

    def _replies(
        self, group_id: str, decided: Sequence[Action], now_ms: float
    ) -> list[Send]:
        if self.on_decided is not None:
            for decision in decided:
                self.on_decided(group_id, decision)
        return [decision_message(group_id, action, now_ms) for action in decided]

    def _adopt(
        self, group: HostedGroup, sender: str, active: ActiveGrant, now_ms: float
    ) -> list[Action]:
        return group.dispatcher.adopt_active(
            sender,
            active.request_id,
            active.server_id,
            active.version_id,
            WorkEstimate(active.prefill_tokens, active.decode_tokens),
            now_ms,
        )
