"""Track the grant requests and open grants of one entry."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from marjoramfall.messages import (
    AsksReceived,
    GrantReply,
    GroupState,
    RequestFinished,
    RequestStarted,
    ShedReply,
    WithdrawRequest,
)
from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.group.directory import MemberDirectory
from marjoramfall.process.group.messages import (
    active_grant,
    finish_message,
    grant_request_message,
    refusal_error,
)
from marjoramfall.request.grants import (
    DeadlineExceededError,
    DispatchResult,
    GrantRequest,
    HeldGrant,
)

ACKNOWLEDGEMENT_TIMEOUT_MS = 150
# From this resend on a request carries `insist`: its receiver then dispatches the
# group even if its own view of the members names another dispatcher.
INSIST_AFTER_RESENDS = 3

ClientAction = Send | ResolveAsk


@dataclass(slots=True)
class PendingGrantRequest:
    """Track a grant request until it is granted, refused or withdrawn."""

    request: GrantRequest
    dispatcher: str
    sent_ms: float
    acknowledged: bool = False
    resends: int = 0


@dataclass(slots=True)
class OpenGrant:
    """Track a grant until its request has finished."""

    grant: HeldGrant
    request: GrantRequest
    dispatcher: str
    started: bool = False


@dataclass(slots=True)
class UsableServers:
    """Hold the known servers, and the servers and versions closed to new requests."""

    address_by_server_id: dict[str, str] = field(default_factory=dict)
    leaving_server_ids: set[str] = field(default_factory=set)
    withdrawn_version_ids: set[str] = field(default_factory=set)

    def admits(self, server_id: str, version_id: str) -> bool:
        """Return whether a new request may go to this server and version."""
        return (
            server_id in self.address_by_server_id
            and server_id not in self.leaving_server_ids
            and version_id not in self.withdrawn_version_ids
        )


class GroupClient:
    """Request, use and return grants; the caller passes the time in."""

    def __init__(self, directory: MemberDirectory, servers: UsableServers) -> None:
        self._directory = directory
        self._servers = servers
        self._pending_by_id: dict[str, PendingGrantRequest] = {}
        self._open_grants_by_id: dict[str, OpenGrant] = {}

    @property
    def open_requests(self) -> int:
        """Return how many requests wait for a grant or hold one."""
        return len(self._pending_by_id) + len(self._open_grants_by_id)

    def request_grant(self, request: GrantRequest, now_ms: float) -> list[ClientAction]:
        """Request a grant from the dispatcher of the request's group."""
        dispatcher = self._directory.dispatcher_of(request.service_id)
        self._pending_by_id[request.request_id] = PendingGrantRequest(
            request, dispatcher, now_ms
        )
        return [Send(dispatcher, grant_request_message(request, now_ms))]

    def withdraw(self, request_id: str) -> list[ClientAction]:
        """Give up waiting for a grant."""
        pending = self._pending_by_id.pop(request_id, None)
        if pending is None:
            return []
        message = WithdrawRequest(
            group_id=pending.request.service_id, request_id=request_id
        )
        return [Send(pending.dispatcher, message)]

    def confirm(self, request_id: str, now_ms: float) -> list[ClientAction] | None:
        """Start using a grant; return None if it must not be used any more."""
        open_grant = self._open_grants_by_id.get(request_id)
        if open_grant is None or now_ms >= open_grant.grant.expires_ms:
            return None
        if not self._servers.admits(
            open_grant.grant.server_id, open_grant.grant.version_id
        ):
            return None
        open_grant.started = True
        message = RequestStarted(
            group_id=open_grant.request.service_id,
            request_id=request_id,
            server_id=open_grant.grant.server_id,
        )
        return [Send(open_grant.dispatcher, message)]

    def finish(self, request_id: str, result: DispatchResult) -> list[ClientAction]:
        """Return a grant with its result to the current dispatcher of the group."""
        open_grant = self._open_grants_by_id.pop(request_id, None)
        if open_grant is None:
            return []
        dispatcher = self._directory.dispatcher_of(open_grant.request.service_id)
        return [
            Send(
                dispatcher, finish_message(open_grant.grant, open_grant.request, result)
            )
        ]

    def on_grant(
        self, sender: str, reply: GrantReply, now_ms: float
    ) -> list[ClientAction]:
        """Resolve the pending request; a grant without one is returned at once."""
        pending = self._pending_by_id.pop(reply.request_id, None)
        if pending is None:
            return self._return_unexpected_grant(sender, reply)
        address = self._servers.address_by_server_id.get(reply.server_id, '')
        grant = HeldGrant(
            request_id=reply.request_id,
            service_id=reply.group_id,
            server_id=reply.server_id,
            version_id=reply.version_id,
            address=address,
            expires_ms=now_ms + reply.valid_ms,
        )
        self._open_grants_by_id[reply.request_id] = OpenGrant(
            grant, pending.request, sender
        )
        return [ResolveAsk(reply.request_id, grant)]

    def on_shed(self, sender: str, reply: ShedReply) -> list[ClientAction]:
        """Accept a refusal only from the dispatcher that was sent the request last."""
        pending = self._pending_by_id.get(reply.request_id)
        if pending is None or pending.dispatcher != sender:
            return []
        self._pending_by_id.pop(reply.request_id)
        return [ResolveAsk(reply.request_id, refusal_error(reply))]

    def on_acknowledged(self, sender: str, message: AsksReceived) -> None:
        """Stop resending requests that the dispatcher has received."""
        for request_id in message.request_ids:
            pending = self._pending_by_id.get(request_id)
            if pending is not None and pending.dispatcher == sender:
                pending.acknowledged = True

    def on_members_changed(
        self,
        group_ids: Iterable[str],
        previous_dispatchers: dict[str, str],
        now_ms: float,
    ) -> list[ClientAction]:
        """Send each new dispatcher this entry's requests and grants in the group.

        `previous_dispatchers` maps groups to the dispatchers before the change.
        """
        actions: list[ClientAction] = []
        for group_id in group_ids:
            dispatcher = self._directory.dispatcher_of(group_id)
            if previous_dispatchers.get(group_id) != dispatcher:
                actions.append(self._send_state(group_id, dispatcher, now_ms))
        return actions

    def tick(self, now_ms: float) -> list[ClientAction]:
        """Resend unacknowledged requests and refuse those past their deadline."""
        actions: list[ClientAction] = []
        for pending in list(self._pending_by_id.values()):
            if now_ms >= pending.request.deadline_ms:
                error = DeadlineExceededError('no grant before the deadline')
                actions.extend(self.withdraw(pending.request.request_id))
                actions.append(ResolveAsk(pending.request.request_id, error))
            elif self._is_overdue(pending, now_ms):
                actions.append(self._resend(pending, now_ms))
        return actions

    def _is_overdue(self, pending: PendingGrantRequest, now_ms: float) -> bool:
        waited_ms = now_ms - pending.sent_ms
        return not pending.acknowledged and waited_ms >= ACKNOWLEDGEMENT_TIMEOUT_MS

    def _resend(self, pending: PendingGrantRequest, now_ms: float) -> Send:
        pending.resends += 1
        pending.sent_ms = now_ms
        pending.dispatcher = self._directory.dispatcher_of(pending.request.service_id)
        message = grant_request_message(pending.request, now_ms)
        message.insist = pending.resends >= INSIST_AFTER_RESENDS
        return Send(pending.dispatcher, message)

    def _send_state(self, group_id: str, dispatcher: str, now_ms: float) -> Send:
        waiting = []
        for pending in self._pending_by_id.values():
            if pending.request.service_id == group_id:
                pending.dispatcher = dispatcher
                pending.sent_ms = now_ms
                pending.acknowledged = False
                waiting.append(grant_request_message(pending.request, now_ms))
        active = [
            active_grant(open_grant.grant, open_grant.request)
            for open_grant in self._open_grants_by_id.values()
            if open_grant.request.service_id == group_id
        ]
        state = GroupState(group_id=group_id, waiting=waiting, active=active)
        return Send(dispatcher, state)

    def _return_unexpected_grant(
        self, sender: str, reply: GrantReply
    ) -> list[ClientAction]:
        # A second reply for the open grant must not release that grant.
        open_grant = self._open_grants_by_id.get(reply.request_id)
        if open_grant is not None and open_grant.grant.server_id == reply.server_id:
            return []
        unused = RequestFinished(
            group_id=reply.group_id,
            request_id=reply.request_id,
            server_id=reply.server_id,
            version_id=reply.version_id,
            route='',
            succeeded=False,
            dispatched=False,
            first_token_ms=None,
            total_ms=0,
            prefill_tokens=0,
            cached_tokens=0,
            decode_tokens=0,
        )
        return [Send(sender, unused)]
