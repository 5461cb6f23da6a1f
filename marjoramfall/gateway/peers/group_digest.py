"""Define the digest by which groups of entries tell each other their load."""

from collections import defaultdict
from collections.abc import Iterable
from enum import IntEnum

import msgspec

from marjoramfall.gateway.crashes.crash_report import EvidenceReport
from marjoramfall.gateway.delegation.offers import DelegateOffer
from marjoramfall.gateway.peers.peer_state import (
    DigestSpeed,
    LimitUse,
    MoveReport,
    PeerState,
    RetryUse,
    ServerLimitReport,
    ServerUse,
    WaitingCall,
    waiting_sort_key,
)

DIGEST_FORM = 1
# No MessagePack message begins with this byte, so that entries of a version without
# digests reject them.
DIGEST_MARK = b'\xc1'
# Follow the mark: a digest is forwarded once at most, as two entries may take each
# other for the relay.
DIRECT = b'\x00'
FORWARDED = b'\x01'
PREFIX_BYTES = 2
# Requests beyond these wait behind them anyway.
MAX_WAITING_IN_DIGEST = 20


class Scope(IntEnum):
    """Name the entries that a digest sums up."""

    GROUP = 0
    OTHER_GROUPS = 1


class LimitBase(msgspec.Struct, array_like=True, frozen=True):
    """Report from which use on a group counts after a change of a relay.

    Under the name of the sender's group it is the use that the relay before it had
    reported to all; under that of another group, the use that the relay before its
    present one had been told.
    """

    group: str
    uses: list[LimitUse]


class GroupDigest(msgspec.Struct, array_like=True, frozen=True):
    """Sum up the state of a group, or of all groups but that of the receivers.

    The revisions are those of the sender. `limit_uses` holds the use admitted since the
    start of the sender, and only that of limits whose use changed since the digest
    before unless `has_all_limits` is set. `silent_count` of the `entry_count` entries
    were not heard lately.
    """

    form: int
    scope: int
    group: str
    vm: str
    address: str
    incarnation: int
    uptime_ms: int
    sequence: int
    config_version: int
    config_revision: int
    servers_revision: int
    entry_count: int
    silent_count: int
    uses: list[ServerUse]
    waiting: list[WaitingCall]
    limit_uses: list[LimitUse]
    has_all_limits: bool
    unreachable_server_ids: list[str]
    moves: list[MoveReport]
    # Absent unless there are crashes to report.
    crash_evidence: EvidenceReport | None = None
    server_limits: list[ServerLimitReport] = []
    # Some of the entries that serve requests of others.
    offers: list[DelegateOffer] = []
    # None in digests of versions that do not share their retry budget.
    retry_uses: list[RetryUse] | None = None
    # How many entries report their use of it.
    retry_reporters: int = 0
    # Absent unless a relay was replaced lately.
    limit_bases: list[LimitBase] = []
    # Those that changed; absent in most digests, and what was told before stays valid.
    speeds: list[DigestSpeed] = []


class UnknownFormError(Exception):
    """Indicate a digest of a form that this version does not know."""


_DECODER = msgspec.msgpack.Decoder(GroupDigest)
_ENCODER = msgspec.msgpack.Encoder()


def encode_digest(digest: GroupDigest) -> bytes:
    """Encode a digest as marked MessagePack."""
    return DIGEST_MARK + DIRECT + _ENCODER.encode(digest)


def mark_forwarded(datagram: bytes) -> bytes:
    """Return an encoded digest that its receiver does not forward again."""
    return DIGEST_MARK + FORWARDED + datagram[PREFIX_BYTES:]


def was_forwarded(datagram: bytes) -> bool:
    """Return whether an encoded digest was forwarded already."""
    return datagram.startswith(DIGEST_MARK + FORWARDED)


def decode_digest(datagram: bytes) -> GroupDigest:
    """Decode a digest.

    Raises `msgspec.DecodeError` if it holds none, and `UnknownFormError`.
    """
    digest = _DECODER.decode(datagram[PREFIX_BYTES:])
    if digest.form != DIGEST_FORM:
        raise UnknownFormError(f'digest of form {digest.form}')
    return digest


def sum_uses(states: Iterable[PeerState | GroupDigest]) -> list[ServerUse]:
    """Return the requests that run at each server, over all states."""
    running: dict[str, int] = defaultdict(int)
    pending_tokens: dict[str, int] = defaultdict(int)
    held_tokens: dict[str, int | None] = defaultdict(int)
    for state in states:
        for use in state.uses:
            running[use.server_id] += use.running
            pending_tokens[use.server_id] += use.pending_prefill_tokens
            held_tokens[use.server_id] = _add(
                held_tokens[use.server_id], use.held_tokens
            )
    return [
        ServerUse(server_id, count, pending_tokens[server_id], held_tokens[server_id])
        for server_id, count in running.items()
    ]


def _add(total: int | None, held: int | None) -> int | None:
    """Return a sum, None if any part is not known."""
    return None if total is None or held is None else total + held


def first_waiting(calls: Iterable[WaitingCall]) -> list[WaitingCall]:
    """Return the requests that go first, as many as a digest may hold."""
    return sorted(calls, key=waiting_sort_key)[:MAX_WAITING_IN_DIGEST]


def aged(calls: Iterable[WaitingCall], elapsed_ms: float) -> list[WaitingCall]:
    """Return waiting requests with the time added since they were reported."""
    return [
        msgspec.structs.replace(call, waited_ms=int(call.waited_ms + elapsed_ms))
        for call in calls
    ]


def unreachable_servers(states: Iterable[PeerState | GroupDigest]) -> list[str]:
    """Return the servers that any of the states reports as unreachable."""
    return sorted({name for state in states for name in state.unreachable_server_ids})
