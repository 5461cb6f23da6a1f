"""Block request greenlets until their grants arrive."""

from collections.abc import Callable, Iterable
from contextlib import ExitStack

from gevent.event import AsyncResult

from marjoramfall.clock import Clock
from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.group.exchange import ExchangeAction, GroupExchange
from marjoramfall.request.grants import (
    DispatchResult,
    GrantClient,
    GrantRequest,
    HeldGrant,
)


class GrantGateway(GrantClient):
    """Pass grant requests to the exchange and wake the waiting greenlets.

    The exchange is shared with the process's message task. None of its methods
    blocks, so no other greenlet runs during a call.
    """

    def __init__(
        self,
        exchange: GroupExchange,
        clock: Clock,
        *,
        send: Callable[[Send], None],
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._send = send
        self._waiters_by_id: dict[str, AsyncResult] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a grant."""
        return len(self._waiters_by_id)

    def acquire(self, request: GrantRequest) -> HeldGrant:
        """Wait for a grant; raise a `RefusedError` if it is refused."""
        now_ms = self._clock.monotonic_ms()
        waiter = AsyncResult()
        self._waiters_by_id[request.request_id] = waiter
        with ExitStack() as cleanup:
            cleanup.callback(self._waiters_by_id.pop, request.request_id, None)
            self._deliver(self._exchange.client.request_grant(request, now_ms), now_ms)
            return waiter.get()

    def confirm(self, grant: HeldGrant) -> bool:
        """Return whether the grant may be used now, and mark it as in use."""
        now_ms = self._clock.monotonic_ms()
        actions = self._exchange.client.confirm(grant.request_id, now_ms)
        if actions is None:
            return False
        self._deliver(actions, now_ms)
        return True

    def finish(
        self, grant: HeldGrant, request: GrantRequest, result: DispatchResult
    ) -> None:
        """Return the grant with the result of its dispatch."""
        actions = self._exchange.client.finish(grant.request_id, result)
        self._deliver(actions, self._clock.monotonic_ms())

    def withdraw(self, request: GrantRequest) -> None:
        """Stop waiting; a grant that arrived in the meantime is returned unused."""
        now_ms = self._clock.monotonic_ms()
        unused = DispatchResult(succeeded=False, dispatched=False)
        client = self._exchange.client
        self._deliver(client.withdraw(request.request_id), now_ms)
        self._deliver(client.finish(request.request_id, unused), now_ms)

    def perform(self, actions: Iterable[ExchangeAction]) -> None:
        """Send messages and wake waiting requests."""
        for action in actions:
            if isinstance(action, ResolveAsk):
                self._wake(action)
            else:
                self._send(action)

    def _deliver(self, actions: Iterable[ExchangeAction], now_ms: float) -> None:
        self.perform(self._exchange.deliver_local(actions, now_ms))

    def _wake(self, action: ResolveAsk) -> None:
        waiter = self._waiters_by_id.get(action.request_id)
        if waiter is None:
            return
        if isinstance(action.outcome, HeldGrant):
            waiter.set(action.outcome)
        else:
            waiter.set_exception(action.outcome)
