"""Claim a caller-made key in the table service, one step at a time.

The procedures are generators that yield store calls and get the results, so
that tests can interleave, interrupt and fail them at every step.
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

TABLE = 'idempotency'
MAX_ROUNDS = 4
RETRY_AFTER_MS = 1000


class ClaimRow(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Hold a claim; without an outcome it is under way or its owner died."""

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
        """Return how the claimed attempt ended."""
        return ClaimOutcome(
            dispatched=self.dispatched is not False,
            status=self.status,
            body=self.body,
            content_type=self.content_type,
            recorded=self.recorded,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimResult:
    """Answer a claim, with the outcome of the earlier attempt if known."""

    verdict: ClaimVerdict
    outcome: ClaimOutcome


@dataclass(frozen=True, slots=True)
class RowRead:
    """Ask for the text of a row."""

    key: str


@dataclass(frozen=True, slots=True)
class RowSwap:
    """Ask to replace the text of a row if it is as expected."""

    key: str
    expected: str | None
    text: str

    @property
    def condition(self) -> RowCondition:
        """Return the condition of the transaction."""
        return RowCondition(TABLE, self.key, self.expected)

    @property
    def write(self) -> RowWrite:
        """Return the write of the transaction."""
        return RowWrite(TABLE, self.key, self.text)


StoreCallExecutor = Callable[[RowRead | RowSwap], str | bool | None]
ClaimSteps = Generator[RowRead | RowSwap, str | bool | None, ClaimResult]


@dataclass(frozen=True, slots=True, kw_only=True)
class TableClaim:
    """Name one attempt to claim one key."""

    scoped_key: ScopedKey
    incarnation: str
    claim_id: str
    wall_ms: int

    @property
    def row_key(self) -> str:
        """Return the key of the row; caller-made text is hashed."""
        digest = sha256(self.scoped_key.key.encode()).hexdigest()
        team_id, service_id = self.scoped_key.team_id, self.scoped_key.service_id
        return f'{team_id}/{service_id}/{digest}'

    @property
    def insert_swap(self) -> RowSwap:
        """Return the first step: insert the row if there is none."""
        return RowSwap(self.row_key, None, self.row_text())

    def row_text(self, outcome: ClaimOutcome | None = None) -> str:
        """Return the row of this claim, under way or ended."""
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
        """Return the step that records how this claim ended."""
        return RowSwap(self.row_key, self.row_text(), self.row_text(outcome))


def claim_steps(claim: TableClaim) -> ClaimSteps:
    """Claim a key.

    Raises `KeyStoreUnavailableError`; the claim may then be in the store and
    must be ended as not dispatched.
    """
    if (yield from _swap(claim.insert_swap)):
        return _granted_result()
    for _ in range(MAX_ROUNDS):
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
    """Make one store call; raises a `PlatformError`."""
    if isinstance(call, RowRead):
        return table.read(TABLE, call.key)
    return table.transact([call.condition], [call.write])


def run_steps(steps: ClaimSteps, execute_call: StoreCallExecutor) -> ClaimResult:
    """Run a procedure to its end; raises `KeyStoreUnavailableError`."""
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
        # The next read shows whether the write took effect.
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
        # A damaged row says nothing about the run, so it stays claimed.
        return ClaimRow(owner='', claim_id='', fingerprint='', claimed_wall_ms=0)


def _refusal(row: ClaimRow, claim: TableClaim) -> ClaimResult | None:
    """Return why the row forbids the claim; None if it was abandoned."""
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
