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


StoreCall = Callable[[RowRead | RowSwap], str | bool | None]
Swaps = Generator[RowRead | RowSwap, str | bool | None, ClaimResult]


@dataclass(frozen=True, slots=True, kw_only=True)
class TableClaim:
    """Name one attempt to claim one key."""

    scope: ScopedKey
    owner: str
    claim_id: str
    wall_ms: int

    @property
    def row_key(self) -> str:
        """Return the key of the row; caller-made text is hashed."""
        digest = sha256(self.scope.key.encode()).hexdigest()
        team_id, service_id = self.scope.team_id, self.scope.service_id
        return f'{team_id}/{service_id}/{digest}'

    @property
    def insertion(self) -> RowSwap:
        """Return the first step: insert the row if there is none."""
        return RowSwap(self.row_key, None, self.text())

    def text(self, outcome: ClaimOutcome | None = None) -> str:
        """Return the row of this claim, under way or ended."""
        row = ClaimRow(
            owner=self.owner,
            claim_id=self.claim_id,
            fingerprint=self.scope.fingerprint,
            claimed_wall_ms=self.wall_ms,
        )
        if outcome is not None:
            row.dispatched = outcome.dispatched
            row.status = outcome.status
            row.recorded = outcome.recorded
            row.content_type = outcome.content_type
            row.body = outcome.body if outcome.recorded else b''
        return msgspec.json.encode(row).decode()

    def ending(self, outcome: ClaimOutcome) -> RowSwap:
        """Return the step that records how this claim ended."""
        return RowSwap(self.row_key, self.text(), self.text(outcome))


def claim_steps(claim: TableClaim) -> Swaps:
    """Claim a key.

    Raises `KeyStoreUnavailableError`; the claim may then be in the store and
    must be ended as not dispatched.
    """
    if (yield from _swap(claim.insertion)):
        return _granted()
    for _ in range(MAX_ROUNDS):
        text = yield from _read(claim.row_key)
        if text is None:
            swap = claim.insertion
        elif text == claim.text():
            return _granted()
        else:
            answer = _refusal(_parse_row(text), claim)
            if answer is not None:
                return answer
            swap = RowSwap(claim.row_key, text, claim.text())
        if (yield from _swap(swap)):
            return _granted()
    raise _unavailable('the row of the key changes too often')


def perform(call: RowRead | RowSwap, table: TableService) -> str | bool | None:
    """Make one store call; raises a `PlatformError`."""
    if isinstance(call, RowRead):
        return table.read(TABLE, call.key)
    return table.transact([call.condition], [call.write])


def run_steps(steps: Swaps, perform_call: StoreCall) -> ClaimResult:
    """Run a procedure to its end; raises `KeyStoreUnavailableError`."""
    call = next(steps)
    while True:
        try:
            call = _advance(steps, call, perform_call)
        except StopIteration as end:
            return end.value


def _advance(
    steps: Swaps, call: RowRead | RowSwap, perform_call: StoreCall
) -> RowRead | RowSwap:
    try:
        result = perform_call(call)
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
        raise _unavailable(error.message) from error


def _read(key: str) -> Generator[RowRead, str | None, str | None]:
    try:
        return (yield RowRead(key))
    except PlatformError as error:
        raise _unavailable(error.message) from error


def _parse_row(text: str) -> ClaimRow:
    try:
        return msgspec.json.decode(text, type=ClaimRow)
    except msgspec.MsgspecError:
        # A damaged row says nothing about the run, so it stays claimed.
        return ClaimRow(owner='', claim_id='', fingerprint='', claimed_wall_ms=0)


def _refusal(row: ClaimRow, claim: TableClaim) -> ClaimResult | None:
    """Return why the row forbids the claim; None if it was abandoned."""
    if row.owner and row.fingerprint != claim.scope.fingerprint:
        return ClaimResult(verdict=ClaimVerdict.REUSED, outcome=row.outcome)
    if row.dispatched is None:
        return ClaimResult(verdict=ClaimVerdict.MAY_HAVE_RUN, outcome=row.outcome)
    if row.dispatched:
        return ClaimResult(
            verdict=ended_claim_verdict(row.outcome), outcome=row.outcome
        )
    return None


def _granted() -> ClaimResult:
    return ClaimResult(
        verdict=ClaimVerdict.GRANTED, outcome=ClaimOutcome(dispatched=False)
    )


def _unavailable(reason: str) -> KeyStoreUnavailableError:
    return KeyStoreUnavailableError(
        f'this attempt was not run, repeat it with the same key: {reason}',
        retry_after_ms=RETRY_AFTER_MS,
    )
