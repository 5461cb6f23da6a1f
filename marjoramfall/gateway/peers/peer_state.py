"""Define the datagram by which an entry shares its state with its peers."""

import msgspec

from marjoramfall.gateway.crashes.crash_report import EvidenceReport
from marjoramfall.gateway.message_bounds import Amount


class ServerUse(msgspec.Struct, array_like=True, frozen=True):
    """Report an entry's running requests and pending prefill tokens at a server."""

    server_id: str
    running: int
    pending_prefill_tokens: int
    # What the requests need at most; None in reports of versions that don't count it.
    held_tokens: int | None = None


class ServerSpeed(msgspec.Struct, array_like=True, frozen=True):
    """Report the speed of a backend server as measured by an entry.

    `event_ms` is the time between events and `token_us` the prefill time per
    prompt token; for a plain service, `event_ms` is the duration of a call.
    """

    server_id: str
    event_ms: float
    token_us: float
    samples: int


class DigestSpeed(msgspec.Struct, array_like=True, frozen=True):
    """Report the speed of a model server as measured by a group of entries."""

    server_id: str
    event_us: int
    token_us: int
    samples: int


class WaitingCall(msgspec.Struct, array_like=True, frozen=True):
    """Describe the queue position of a waiting request."""

    service_id: str
    rank: float
    waited_ms: Amount
    # How long it will take a slot; 0 in reports of versions that don't say.
    expected_ms: float = 0


class WaitingWork(msgspec.Struct, array_like=True, frozen=True):
    """Sum up the requests of a rank that wait behind those that are listed."""

    service_id: str
    rank: float
    count: int
    slot_ms: float


def waiting_sort_key(call: WaitingCall) -> tuple[float, float]:
    """Return what orders waiting requests: rank, then the time waited."""
    return call.rank, -call.waited_ms


class LimitUse(msgspec.Struct, array_like=True, frozen=True):
    """Report what an entry admitted under a limit since its start.

    These are tokens or requests of a team, or requests to a server.
    """

    name: str
    used: float


class LimitLevel(msgspec.Struct, array_like=True, frozen=True):
    """Report the level of a team's limit, which contains the use of all entries.

    `withheld` is kept back beside it for silent peers, who may use `reserved_share`.
    """

    name: str
    level: Amount
    withheld: Amount = 0
    reserved_share: Amount = 0


class RetryUse(msgspec.Struct, array_like=True, frozen=True):
    """Report the requests and retries of a service in the window of its budget.

    `waiting` requests wait for the budget.
    """

    service_id: str
    requests: int
    retries: int
    waiting: int = 0


class ServerLimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the rate that a server named `age_ms` ago, None if it named none."""

    server_id: str
    born_ms: int
    rate_per_s: float | None
    age_ms: int


class MoveReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the phase of a version move at an entry and the results counted there.

    `elapsed_ms` is the time since the move started.
    """

    service_id: str
    revision: int
    elapsed_ms: int
    phase: int
    new: int
    new_bad: int
    old: int
    old_bad: int
    # Absent in reports of versions that do not count requests.
    requests: int = 0


class PeerState(msgspec.Struct, array_like=True, frozen=True):
    """Hold the shared state of an entry; each datagram replaces the one before.

    `speeds` is None in most datagrams, as it is large and changes slowly; the
    last speeds sent stay valid. For the same reason `limit_uses` holds only those
    whose use changed since the state before, unless `has_all_limits` is set.
    `incarnation` differs after each start of the entry, and `sequence` orders
    the datagrams of one incarnation.
    """

    vm: str
    address: str
    data_centre: str
    incarnation: int
    uptime_ms: int
    sequence: int
    is_leaving: bool
    config_version: int
    config_revision: int
    servers_revision: int
    uses: list[ServerUse]
    waiting: list[WaitingCall]
    speeds: list[ServerSpeed] | None
    limit_uses: list[LimitUse]
    has_all_limits: bool
    unreachable_server_ids: list[str]
    moves: list[MoveReport]
    # Absent in states of versions without groups.
    is_store_unreachable: bool = False
    # Absent unless there are crashes to report.
    crash_evidence: EvidenceReport | None = None
    server_limits: list[ServerLimitReport] = []
    # Where the entry serves requests of peers, empty if it does not, and the services
    # whose servers it reaches.
    delegation_address: str = ''
    reached_service_ids: list[str] = []
    # None in states of versions that do not share their retry budget.
    retry_uses: list[RetryUse] | None = None
    # Only in states with speeds; absent in those of versions without levels.
    limit_levels: list[LimitLevel] | None = None
    # Absent in states of versions that don't say, and where all are listed.
    unlisted_work: list[WaitingWork] = []


_DECODER = msgspec.msgpack.Decoder(PeerState)
_ENCODER = msgspec.msgpack.Encoder()


def encode_state(state: PeerState) -> bytes:
    """Encode a state as MessagePack."""
    return _ENCODER.encode(state)


def decode_state(datagram: bytes) -> PeerState:
    """Decode a datagram.

    Raises `msgspec.DecodeError` if it holds no valid state.
    """
    return _DECODER.decode(datagram)
