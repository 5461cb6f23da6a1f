"""Define the datagram in which an entry tells its peers all it shares."""

import msgspec


class ServerUse(msgspec.Struct, array_like=True, frozen=True):
    """Count an entry's requests at a backend server."""

    server_id: str
    running: int
    pending_prefill_tokens: int


class ServerSpeed(msgspec.Struct, array_like=True, frozen=True):
    """Report the speed of a backend server as an entry measured it.

    `event_ms` is the time between events and `token_us` the time to read a
    token of a prompt; for a plain service, `event_ms` is the time of a call.
    """

    server_id: str
    event_ms: float
    token_us: float
    samples: int


class WaitingCall(msgspec.Struct, array_like=True, frozen=True):
    """Describe a waiting request by what decides its order."""

    service_id: str
    rank: float
    waited_ms: float


class TeamUse(msgspec.Struct, array_like=True, frozen=True):
    """Report what a team has used at an entry since the entry's start."""

    team: str
    used: float


class MoveReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the phase of a move at an entry and the results it counted."""

    service_id: str
    revision: int
    elapsed_ms: int
    phase: int
    new: int
    new_bad: int
    old: int
    old_bad: int


class PeerState(msgspec.Struct, array_like=True, frozen=True):
    """Hold the whole shared state of an entry; each datagram replaces the last.

    `speeds` is None where it goes out with another datagram, as it is long and
    changes slowly. For the same reason `teams` tells only those that have
    little left of their limit, unless `has_all_teams`.
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
    teams: list[TeamUse]
    has_all_teams: bool
    unreachable_server_ids: list[str]
    moves: list[MoveReport]


_DECODER = msgspec.msgpack.Decoder(PeerState)
_ENCODER = msgspec.msgpack.Encoder()


def encode_state(state: PeerState) -> bytes:
    """Return the bytes of a datagram."""
    return _ENCODER.encode(state)


def decode_state(datagram: bytes) -> PeerState:
    """Return the state in a datagram; raises `msgspec.DecodeError`."""
    return _DECODER.decode(datagram)
