"""Translate between messages and the dispatcher's events and actions."""

from marjoramfall.errors import RefusedError
from marjoramfall.messages import (
    ActiveGrant,
    AskGrant,
    AsksReceived,
    GrantReply,
    RequestFinished,
    ShedReply,
)
from marjoramfall.process.actions import Send
from marjoramfall.request.events import (
    Action,
    Expire,
    FinishReport,
    Grant,
    Shed,
    WaitingRequest,
    WorkEstimate,
)
from marjoramfall.request.grants import (
    DeadlineExceededError,
    DispatchResult,
    GrantRequest,
    HeldGrant,
    NoBackendServerError,
    ShedError,
)


def decision_message(group_id: str, action: Action, now_ms: float) -> Send:
    """Return the message that carries a dispatcher's decision."""
    if isinstance(action, Grant):
        return Send(
            action.entry_id,
            GrantReply(
                group_id=group_id,
                request_id=action.request_id,
                server_id=action.server_id,
                version_id=action.version_id,
                valid_ms=action.expires_ms - now_ms,
            ),
        )
    if isinstance(action, Shed):
        return Send(
            action.entry_id,
            ShedReply(
                group_id=group_id,
                request_id=action.request_id,
                reason=action.reason,
                retry_after_ms=action.retry_after_ms,
            ),
        )
    return _expiry(group_id, action)


def _expiry(group_id: str, action: Expire) -> Send:
    message = ShedReply(
        group_id=group_id,
        request_id=action.request_id,
        reason='deadline',
        retry_after_ms=0,
    )
    return Send(action.entry_id, message)


def acknowledge(sender: str, request: AskGrant) -> Send:
    """Return the acknowledgement that a grant request is queued."""
    message = AsksReceived(group_id=request.group_id, request_ids=[request.request_id])
    return Send(sender, message)


def is_decision_on(reply: Send, request_id: str) -> bool:
    """Return whether a reply decides on this request."""
    message = reply.message
    if isinstance(message, (GrantReply, ShedReply)):
        return message.request_id == request_id
    return False


def waiting_request(sender: str, request: AskGrant, now_ms: float) -> WaitingRequest:
    """Return the dispatcher's event for a grant request.

    The arrival and the deadline are times of the dispatcher's clock.
    """
    return WaitingRequest(
        request_id=request.request_id,
        entry_id=sender,
        tier_rank=request.tier_rank,
        team_id=request.team_id,
        team_weight=request.team_weight,
        deadline_ms=now_ms + request.slack_ms,
        arrived_ms=now_ms,
        work=WorkEstimate(request.prefill_tokens, request.decode_tokens),
        prefix_hashes=tuple(request.prefix_hashes),
        route=request.route,
        excluded_server_ids=frozenset(request.excluded_server_ids),
        idempotent=request.idempotent,
    )


def finish_report(message: RequestFinished) -> FinishReport:
    """Return the dispatcher's event for a finished request."""
    return FinishReport(
        request_id=message.request_id,
        server_id=message.server_id,
        version_id=message.version_id,
        route=message.route,
        succeeded=message.succeeded,
        dispatched=message.dispatched,
        first_token_ms=message.first_token_ms,
        total_ms=message.total_ms,
        work=WorkEstimate(message.prefill_tokens, message.decode_tokens),
        cached_tokens=message.cached_tokens,
        decode_tokens=message.decode_tokens,
    )


def grant_request_message(request: GrantRequest, now_ms: float) -> AskGrant:
    """Return the message for a grant request; its slack counts from `now_ms`."""
    return AskGrant(
        group_id=request.service_id,
        request_id=request.request_id,
        tier_rank=request.tier_rank,
        team_id=request.team_id,
        team_weight=request.team_weight,
        slack_ms=request.deadline_ms - now_ms,
        prefill_tokens=request.prefill_tokens,
        decode_tokens=request.decode_tokens,
        prefix_hashes=list(request.prefix_hashes),
        route=request.route,
        excluded_server_ids=list(request.excluded_server_ids),
        idempotent=request.idempotent,
    )


def active_grant(grant: HeldGrant, request: GrantRequest) -> ActiveGrant:
    """Return the description of an open grant for a new dispatcher."""
    return ActiveGrant(
        request_id=grant.request_id,
        server_id=grant.server_id,
        version_id=grant.version_id,
        prefill_tokens=request.prefill_tokens,
        decode_tokens=request.decode_tokens,
    )


def finish_message(
    grant: HeldGrant, request: GrantRequest, result: DispatchResult
) -> RequestFinished:
    """Return the message that releases a grant."""
    return RequestFinished(
        group_id=request.service_id,
        request_id=grant.request_id,
        server_id=grant.server_id,
        version_id=grant.version_id,
        route=request.route,
        succeeded=result.succeeded,
        dispatched=result.dispatched,
        first_token_ms=result.first_token_ms,
        total_ms=result.total_ms,
        prefill_tokens=request.prefill_tokens,
        cached_tokens=result.cached_tokens,
        decode_tokens=result.decode_tokens,
    )


def refusal_error(reply: ShedReply) -> RefusedError:
    """Return the error that a caller sees for a refusal."""
    if reply.reason == 'deadline':
        return DeadlineExceededError('the deadline can no longer be met')
    if reply.reason == 'no_server':
        return NoBackendServerError(
            'no backend server can take the request',
            retry_after_ms=reply.retry_after_ms,
        )
    return ShedError(
        f'shed under load: {reply.reason}', retry_after_ms=reply.retry_after_ms
    )
