"""Claim idempotency keys in the table service or at the entry that issued them."""

from abc import ABC, abstractmethod

import gevent
from gevent.pool import Pool

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.errors import PlatformError
from marjoramfall.messages import ClaimKey, ClaimReply, ReleaseKey
from marjoramfall.platform_services import TableService
from marjoramfall.request.claim_rows import (
    CLAIM_TABLE,
    RowRead,
    RowSwap,
    TableClaim,
    claim_steps,
    run_steps,
)
from marjoramfall.request.issued_key import is_issued_key, parse_issued_key
from marjoramfall.request.key_claim import (
    ClaimOutcome,
    ClaimVerdict,
    InvalidKeyError,
    KeyClaims,
    KeyOwnerUnavailableError,
    KeyStoreUnavailableError,
    ScopedKey,
    refused_claim_error,
)
from marjoramfall.request.key_registry import KeyRegistry
from marjoramfall.request.swap_batcher import SwapBatcher

# A release that cannot be recorded leaves the key claimed, which is safe.
MAX_PENDING_RELEASES = 2000
RELEASE_RETRY_MS = 500
MAX_RELEASE_ATTEMPTS = 240
# Limits the latency that a slow table service adds to a run-once request.
URGENT_RELEASE_WAIT_MS = 1000

NOT_DISPATCHED = ClaimOutcome(dispatched=False)


class KeyOwnerClient(ABC):
    """Send claims and releases to the owner of a key: the entry that issued it.

    Entry processes implement it with peer messages.
    """

    @abstractmethod
    def claim(self, owner: str, message: ClaimKey) -> ClaimReply:
        """Return the reply of the owner; raises `KeyOwnerUnavailableError`."""

    @abstractmethod
    def release(self, owner: str, message: ReleaseKey) -> None:
        """Send a release to the owner; it may get lost. Never raises."""


class TableKeyClaims(KeyClaims):
    """Claim caller-made keys by conditional writes to the table service."""

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        incarnation: str,
        *,
        batcher: SwapBatcher | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._batcher = batcher or SwapBatcher(table, clock)
        self._claims_by_id: dict[str, TableClaim] = {}
        self._pending_releases = Pool()

    def claim(self, scoped_key: ScopedKey, claim_id: str) -> None:
        """Insert a claim, or replace one that was released without a dispatch."""
        claim = TableClaim(
            scoped_key=scoped_key,
            incarnation=self._incarnation,
            claim_id=claim_id,
            wall_ms=self._clock.wall_ms(),
        )
        try:
            result = run_steps(claim_steps(claim), self._execute_call)
        except KeyStoreUnavailableError:
            # The table service may have applied the insertion or may still do so.
            self._start_release(claim, NOT_DISPATCHED)
            raise
        if result.verdict is not ClaimVerdict.GRANTED:
            raise refused_claim_error(result.verdict, result.outcome)
        self._claims_by_id[claim_id] = claim

    def release(
        self, scoped_key: ScopedKey, claim_id: str, outcome: ClaimOutcome
    ) -> None:
        """Record the outcome; waits up to 1 s if a repeated key may need it at once."""
        claim = self._claims_by_id.pop(claim_id, None)
        if claim is None:
            return
        pending_release = self._start_release(claim, outcome)
        if pending_release is not None and _is_urgent(outcome):
            pending_release.join(timeout=URGENT_RELEASE_WAIT_MS / MS_PER_SECOND)

    def drain(self, timeout_ms: float) -> bool:
        """Wait until pending releases have ended; return whether all did in time."""
        return self._pending_releases.join(timeout=timeout_ms / MS_PER_SECOND)

    def _execute_call(self, call: RowRead | RowSwap) -> str | bool | None:
        if isinstance(call, RowRead):
            return self._table.read(CLAIM_TABLE, call.key)
        return self._batcher.swap(call)

    def _start_release(
        self, claim: TableClaim, outcome: ClaimOutcome
    ) -> gevent.Greenlet | None:
        if len(self._pending_releases) >= MAX_PENDING_RELEASES:
            return None
        deferred = not _is_urgent(outcome)
        return self._pending_releases.spawn(
            self._write_release, claim.release_swap(outcome), deferred
        )

    def _write_release(self, release_swap: RowSwap, deferred: bool) -> None:
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                self._batcher.swap(release_swap, deferred=deferred)
            except PlatformError:
                self._clock.sleep_ms(RELEASE_RETRY_MS)
                continue
            return


class IssuedKeyClaims(KeyClaims):
    """Claim entry-issued keys at their owner: the incarnation that issued them."""

    def __init__(
        self,
        registry: KeyRegistry,
        owner_client: KeyOwnerClient,
        clock: Clock,
        incarnation: str,
    ) -> None:
        self._registry = registry
        self._owner_client = owner_client
        self._clock = clock
        self._incarnation = incarnation

    def claim(self, scoped_key: ScopedKey, claim_id: str) -> None:
        """Send the claim to the owner, which alone may grant the key."""
        reply = self._send_claim(
            ClaimKey(
                claim_id=claim_id,
                scope=scoped_key.scope,
                key=scoped_key.key,
                fingerprint=scoped_key.fingerprint,
            )
        )
        if reply.outcome != ClaimVerdict.GRANTED:
            raise refused_claim_error(reply.outcome, _reply_outcome(reply))

    def release(
        self, scoped_key: ScopedKey, claim_id: str, outcome: ClaimOutcome
    ) -> None:
        """Send the outcome to the owner; it may get lost on its way."""
        message = ReleaseKey(
            scope=scoped_key.scope,
            key=scoped_key.key,
            claim_id=claim_id,
            dispatched=outcome.dispatched,
            status=outcome.status,
            body=outcome.body if outcome.recorded else b'',
            content_type=outcome.content_type,
            recorded=outcome.recorded,
        )
        self._send_release(message)

    def _send_claim(self, message: ClaimKey) -> ClaimReply:
        owner = _parse_owner(message.key)
        if owner == self._incarnation:
            return self._registry.claim(message, self._clock.wall_ms())
        try:
            return self._owner_client.claim(owner, message)
        except KeyOwnerUnavailableError:
            # The owner may have granted the claim even though its reply was lost.
            self._send_release(
                ReleaseKey(
                    scope=message.scope,
                    key=message.key,
                    claim_id=message.claim_id,
                    dispatched=False,
                )
            )
            raise

    def _send_release(self, message: ReleaseKey) -> None:
        owner = _parse_owner(message.key)
        if owner == self._incarnation:
            self._registry.release(message)
        else:
            self._owner_client.release(owner, message)


class RoutedKeyClaims(KeyClaims):
    """Route issued keys and caller-made keys to their implementations."""

    def __init__(self, issued: KeyClaims, caller_made: KeyClaims) -> None:
        self._issued = issued
        self._caller_made = caller_made

    def claim(self, scoped_key: ScopedKey, claim_id: str) -> None:
        """Claim a key of either kind; raises a `MarjoramfallError` if refused."""
        self._claims_for(scoped_key.key).claim(scoped_key, claim_id)

    def release(
        self, scoped_key: ScopedKey, claim_id: str, outcome: ClaimOutcome
    ) -> None:
        """Release a key of either kind."""
        self._claims_for(scoped_key.key).release(scoped_key, claim_id, outcome)

    def _claims_for(self, key: str) -> KeyClaims:
        return self._issued if is_issued_key(key) else self._caller_made


def _is_urgent(outcome: ClaimOutcome) -> bool:
    """Return whether a caller may repeat the key at once and need the outcome.

    A caller that was told `not run` may repeat the key, also at another entry;
    one that lost its response repeats it to get the recorded response.
    """
    return outcome.recorded or not outcome.dispatched


def _parse_owner(key: str) -> str:
    parsed = parse_issued_key(key)
    if parsed is None:
        raise InvalidKeyError('the key has the form of an issued one but is none')
    return parsed.incarnation


def _reply_outcome(reply: ClaimReply) -> ClaimOutcome:
    return ClaimOutcome(
        dispatched=True,
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type,
        recorded=reply.outcome == ClaimVerdict.ALREADY_RUN,
    )
