"""Define how one replayed request ended."""

from enum import StrEnum

import msgspec

from marjoramfall.errors import RunState


class OutcomeKind(StrEnum):
    """Name the ways in which a request can end; each ends in exactly one."""

    GOOD = 'good'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'
    BROKEN = 'broken'


class Outcome(msgspec.Struct, kw_only=True, frozen=True):
    """Record the end of one request; times are in milliseconds.

    `code` is the error code, or why a response is wrong. Token counts are
    those of the response's usage section.
    """

    kind: OutcomeKind
    code: str = ''
    total_ms: float = 0
    first_byte_ms: float | None = None
    request_id: str = ''
    key: str = ''
    prefill_tokens: int = 0


KIND_BY_RUN_STATE = {
    RunState.NOT_RUN: OutcomeKind.REFUSED,
    RunState.RUN: OutcomeKind.FAILED,
    RunState.UNKNOWN: OutcomeKind.UNKNOWN,
}


class ErrorDetail(msgspec.Struct):
    """Hold the members of an error response that the replay uses."""

    code: str
    run_state: RunState


class ErrorBody(msgspec.Struct):
    """Wrap the error of a response."""

    error: ErrorDetail
