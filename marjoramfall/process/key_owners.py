"""Exchange claims of issued idempotency keys with other entries."""

from collections.abc import Callable
from contextlib import ExitStack

import gevent
from gevent.event import AsyncResult

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.messages import ClaimKey, ClaimReply, Message, ReleaseKey
from marjoramfall.request.key_claim import KeyOwnerUnavailableError
from marjoramfall.request.key_claims import KeyOwnerClient
from marjoramfall.request.key_registry import KeyRegistry

CLAIM_TIMEOUT_MS = 2000


class KeyOwners(KeyOwnerClient):
    """Ask owners of keys, and answer for the keys of this incarnation.

    `send` takes an incarnation and a message and returns False if the
    incarnation is no known member.
    """

    def __init__(
        self,
        registry: KeyRegistry,
        clock: Clock,
        *,
        send: Callable[[str, Message], bool],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._send = send
        self._replies_by_claim: dict[str, AsyncResult] = {}

    def claim(self, owner: str, message: ClaimKey) -> ClaimReply:
        """Return the owner's reply; raises `KeyOwnerUnavailableError`."""
        reply = AsyncResult()
        self._replies_by_claim[message.claim_id] = reply
        with ExitStack() as cleanup:
            cleanup.callback(self._replies_by_claim.pop, message.claim_id, None)
            if not self._send(owner, message):
                raise KeyOwnerUnavailableError('the owner of the key is gone')
            try:
                return reply.get(timeout=CLAIM_TIMEOUT_MS / MS_PER_SECOND)
            except gevent.Timeout as error:
                raise KeyOwnerUnavailableError(
                    'the owner of the key does not answer'
                ) from error

    def release(self, owner: str, message: ReleaseKey) -> None:
        """Tell the owner how a claim ended; may be lost, never raises."""
        self._send(owner, message)

    def receive(self, sender: str, message: Message) -> bool:
        """Handle a message about keys; return whether it was one."""
        if isinstance(message, ClaimKey):
            claimed = self._registry.claim(message, self._clock.wall_ms())
            self._send(sender, claimed)
        elif isinstance(message, ReleaseKey):
            self._registry.release(message)
        elif isinstance(message, ClaimReply):
            reply = self._replies_by_claim.get(message.claim_id)
            if reply is not None:
                reply.set(message)
        else:
            return False
        return True
