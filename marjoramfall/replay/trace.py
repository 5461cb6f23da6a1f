"""Define traces: requests at given times and the outcomes that must hold."""

from enum import StrEnum
from pathlib import Path

import msgspec

from marjoramfall.errors import MarjoramfallError
from marjoramfall.model import ServiceKind
from marjoramfall.replay.outcome import OutcomeKind

FORMAT = 1
DEFAULT_SLICE_MS = 10_000


class TraceError(MarjoramfallError):
    """Report a trace that cannot be replayed, with the line."""

    code = 'invalid_trace'


class KeySource(StrEnum):
    """Say where the idempotency key of a request comes from."""

    NONE = 'none'
    ENTRY_ISSUED = 'entry-issued'
    CALLER_MADE = 'caller-made'


class StatedOutcomes(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """State what must hold after a replay.

    Goodput is the share of a tier's requests that got their own whole
    response in time. `min_slice_goodput` bounds it in each slice of
    `slice_ms`, by arrival. `max_outcomes` bounds counts by outcome, and
    `max_shed` bounds those refused with code `shed` by tier.
    """

    slice_ms: int = DEFAULT_SLICE_MS
    min_goodput: dict[str, float] = {}
    min_slice_goodput: dict[str, float] = {}
    max_outcomes: dict[OutcomeKind, int] = {}
    max_shed: dict[str, int] = {}


class TraceHeader(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Be the first record of a trace; tiers are listed from the highest."""

    name: str
    format: int
    seed: int
    tiers: list[str]
    outcomes: StatedOutcomes


class TraceRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Describe one request; `at_ms` counts from the start of the replay.

    Model requests state their length in tokens: the whole prompt, the part
    of it that all requests with the same `prefix` share, and the response.
    """

    at_ms: int
    team: str
    tier: str
    kind: ServiceKind
    service: str
    path: str
    deadline_ms: int
    prompt_tokens: int = 1
    prefix: str = ''
    prefix_tokens: int = 0
    output_tokens: int = 0
    stream: bool = True
    idempotency: KeySource = KeySource.NONE


class Trace(msgspec.Struct):
    """Hold a whole trace; requests are in order of arrival."""

    header: TraceHeader
    requests: list[TraceRequest]


def load_trace(path: Path) -> Trace:
    """Read a trace; raises `TraceError`."""
    lines = path.read_bytes().splitlines()
    if not lines:
        raise TraceError(f'{path}: empty trace')
    header = _decode(path, 1, lines[0], TraceHeader)
    if header.format != FORMAT:
        raise TraceError(f'{path}:1: format {header.format} is not {FORMAT}')
    requests = [
        _decode(path, number, line, TraceRequest)
        for number, line in enumerate(lines[1:], start=2)
    ]
    _check(path, header, requests)
    return Trace(header, requests)


def _check(path: Path, header: TraceHeader, requests: list[TraceRequest]) -> None:
    earlier_ms = 0
    for number, request in enumerate(requests, start=2):
        if request.at_ms < earlier_ms:
            raise TraceError(f'{path}:{number}: earlier than the request before')
        if request.tier not in header.tiers:
            raise TraceError(f'{path}:{number}: unknown tier {request.tier}')
        if request.kind == ServiceKind.MODEL and request.output_tokens < 1:
            raise TraceError(f'{path}:{number}: model request without output')
        earlier_ms = request.at_ms


def _decode(path: Path, number: int, line: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.MsgspecError as error:
        raise TraceError(f'{path}:{number}: {error}') from error
