"""Claim caller-made keys in the table service.

The claim procedure is a generator that yields store calls and receives their
results, so that tests can interleave, interrupt and fail it at every step.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from hashlib import sha256

import msgspec

from marjoramfall.errors import PlatformError
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    RowCondition,
    RowWrite,
    TableService,
)
from marjoramfall.request.key_claim import (
    ClaimOutcome,
    ClaimVerdict,
    KeyStoreUnavailableError,
    ScopedKey,
    ended_claim_verdict,
)

CLAIM_TABLE = 'idempotency'
MAX_SWAP_RETRIES = 4
RETRY_AFTER_MS = 1000


class ClaimRow(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Store a claim and, once it is released, its outcome.

    `owner` is the incarnation that made the claim. While `dispatched` is None,
    the claim is in progress or its owner stopped before it could release it.
    """

    owner: str
    claim_id: str
    fingerprint: str
    claimed_wall_ms: int
    dispatched: bool | None = None
    status: int = 0
    body: bytes = b''
    content_type: str = ''
    recorded: bool = False

    @property
    def outcome(self) -> ClaimOutcome:
        """Return the outcome of the claim; without one, a dispatch is assumed."""
        return ClaimOutcome(
            dispatched=self.dispatched is not False,
            status=self.status,
            body=self.body,
            content_type=self.content_type,
            recorded=self.recorded,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimResult:
    """Report whether a claim is granted and how an earlier claim ended."""

    verdict: ClaimVerdict
    outcome: ClaimOutcome


@dataclass(frozen=True, slots=True)
class RowRead:
    """Request the text of a row."""

    key: str


@dataclass(frozen=True, slots=True)
class RowSwap:
    """Request a compare-and-swap of the text of a row.

    `expected` is None if the row must not exist yet.
    """

    key: str
    expected: str | None
    text: str

    @property
    def condition(self) -> RowCondition:
        """Return the expected text as a condition of a transaction."""
        return RowCondition(CLAIM_TABLE, self.key, self.expected)

    @property
    def write(self) -> RowWrite:
        """Return the new text as a write of a transaction."""
        return RowWrite(CLAIM_TABLE, self.key, self.text)


StoreCallExecutor = Callable[[RowRead | RowSwap], str | bool | None]
ClaimSteps = Generator[RowRead | RowSwap, str | bool | None, ClaimResult]


@dataclass(frozen=True, slots=True, kw_only=True)
class TableClaim:
    """Identify one attempt to claim a key in the table service."""

    scoped_key: ScopedKey
    incarnation: str
    claim_id: str
    wall_ms: int

    @property
    def row_key(self) -> str:
        """Return the key of the row; the caller-made key in it is hashed."""
        digest = sha256(self.scoped_key.key.encode()).hexdigest()
        team_id, service_id = self.scoped_key.team_id, self.scoped_key.service_id
        return f'{team_id}/{service_id}/{digest}'

    @property
    def insert_swap(self) -> RowSwap:
        """Return the swap that inserts the row if it does not exist."""
        return RowSwap(self.row_key, None, self.row_text())

    def row_text(self, outcome: ClaimOutcome | None = None) -> str:
        """Return the row as JSON; without an outcome, the claim is in progress."""
        row = ClaimRow(
            owner=self.incarnation,
            claim_id=self.claim_id,
            fingerprint=self.scoped_key.fingerprint,
            claimed_wall_ms=self.wall_ms,
        )
        if outcome is not None:
            row.dispatched = outcome.dispatched
            row.status = outcome.status
            row.recorded = outcome.recorded
            row.content_type = outcome.content_type
            row.body = outcome.body if outcome.recorded else b''
        return msgspec.json.encode(row).decode()

    def release_swap(self, outcome: ClaimOutcome) -> RowSwap:
        """Return the swap that records the outcome of this claim."""
        return RowSwap(self.row_key, self.row_text(), self.row_text(outcome))


def claim_steps(claim: TableClaim) -> ClaimSteps:
    """Yield the store calls that claim a key, and return the result.

    Raises `KeyStoreUnavailableError`; the claim may then be in the store and
    must be released as not dispatched.
    """
    if (yield from _swap(claim.insert_swap)):
        return _granted_result()
    for _ in range(MAX_SWAP_RETRIES):
        text = yield from _read(claim.row_key)
        if text is None:
            swap = claim.insert_swap
        elif text == claim.row_text():
            return _granted_result()
        else:
            refusal = _refusal(_parse_row(text), claim)
            if refusal is not None:
                return refusal
            swap = RowSwap(claim.row_key, text, claim.row_text())
        if (yield from _swap(swap)):
            return _granted_result()
    raise _unavailable_error('the row of the key changes too often')


def execute_store_call(
    call: RowRead | RowSwap, table: TableService
) -> str | bool | None:
    """Execute one store call; raises a `PlatformError`."""
    if isinstance(call, RowRead):
        return table.read(CLAIM_TABLE, call.key)
    return table.transact([call.condition], [call.write])


def run_steps(steps: ClaimSteps, execute_call: StoreCallExecutor) -> ClaimResult:
    """Run a claim procedure to its end; raises `KeyStoreUnavailableError`."""
    call = next(steps)
    while True:
        try:
            call = _advance(steps, call, execute_call)
        except StopIteration as end:
            return end.value


def _advance(
    steps: ClaimSteps, call: RowRead | RowSwap, execute_call: StoreCallExecutor
) -> RowRead | RowSwap:
    try:
        result = execute_call(call)
    except PlatformError as error:
        return steps.throw(error)
    return steps.send(result)


def _swap(swap: RowSwap) -> Generator[RowSwap, bool, bool]:
    try:
        return (yield swap)
    except PlatformAnswerLostError:
        # The next read shows whether the swap was applied.
        return False
    except PlatformError as error:
        raise _unavailable_error(error.message) from error


def _read(key: str) -> Generator[RowRead, str | None, str | None]:
    try:
        return (yield RowRead(key))
    except PlatformError as error:
        raise _unavailable_error(error.message) from error


def _parse_row(text: str) -> ClaimRow:
    try:
        return msgspec.json.decode(text, type=ClaimRow)
    except msgspec.MsgspecError:
        # A damaged row does not show whether the request ran, so it stays claimed.
        # Without an owner, its fingerprint is not compared.
        return ClaimRow(owner='', claim_id='', fingerprint='', claimed_wall_ms=0)


def _refusal(row: ClaimRow, claim: TableClaim) -> ClaimResult | None:
    """Return why the row refuses the claim; None if its request was not dispatched."""
    if row.owner and row.fingerprint != claim.scoped_key.fingerprint:
        return ClaimResult(verdict=ClaimVerdict.REUSED, outcome=row.outcome)
    if row.dispatched is None:
        return ClaimResult(verdict=ClaimVerdict.MAY_HAVE_RUN, outcome=row.outcome)
    if row.dispatched:
        return ClaimResult(
            verdict=ended_claim_verdict(row.outcome), outcome=row.outcome
        )
    return None


def _granted_result() -> ClaimResult:
    return ClaimResult(
        verdict=ClaimVerdict.GRANTED, outcome=ClaimOutcome(dispatched=False)
    )


def _unavailable_error(reason: str) -> KeyStoreUnavailableError:
    return KeyStoreUnavailableError(
        f'this attempt was not run, repeat it with the same key: {reason}',
        retry_after_ms=RETRY_AFTER_MS,
    )
