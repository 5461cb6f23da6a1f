"""Define the messages between entries and their encoding."""

from typing import ClassVar

import msgspec

from marjoramfall.errors import PeerError

PROTOCOL_VERSION = 1


class MalformedMessageError(PeerError):
    """Report bytes that are not a known message."""

    code = 'malformed_message'


class ProtocolVersionError(PeerError):
    """Report a message of another protocol version."""

    code = 'protocol_version_mismatch'


class Message(msgspec.Struct, tag=True, kw_only=True, array_like=False):
    """Be the base of every message; the tag is the class name."""


class MemberUpdate(msgspec.Struct, kw_only=True, array_like=True):
    """Report what is known of one member, piggybacked on heartbeats."""

    incarnation: str
    vm: str
    address: str
    state: str
    sequence: int


class Heartbeat(Message):
    """Show that the sender lives and which configuration it applied."""

    address: str
    revision: int
    head_age_ms: float | None
    store_reachable: bool
    probe: int = 0
    updates: list[MemberUpdate] = []


class ProbeReply(Message):
    """Answer a heartbeat, with the sender's own state."""

    address: str
    revision: int
    head_age_ms: float | None
    store_reachable: bool
    probe: int
    updates: list[MemberUpdate] = []


class ProbeRequest(Message):
    """Ask a member to probe a third one on the sender's behalf."""

    target_incarnation: str
    target_address: str
    probe: int


class Leaving(Message):
    """Announce a planned stop of the sender."""


class ConfigEntries(Message):
    """Carry consecutive entries of the configuration log, as JSON texts.

    `snapshot` is the JSON text of the configuration before the first entry,
    for a receiver that misses entries which the sender no longer has. An
    answer repeats `asked_ms` of the request; `head_age_ms` is how long ago
    no later revision existed than this message brings the receiver to.
    """

    first_revision: int
    entries: list[str]
    snapshot: str = ''
    asked_ms: float = 0
    head_age_ms: float | None = None
    store_reachable: bool = False


class ConfigRequest(Message):
    """Ask for the configuration log after a revision, which is applied.

    With `asked_ms`, the sender's monotonic time, an answer is wanted also if
    there is no later revision.
    """

    after_revision: int
    asked_ms: float = 0


class AskGrant(Message):
    """Ask the dispatcher of a group for a backend server."""

    group_id: str
    request_id: str
    tier_rank: int
    team_id: str
    team_weight: float
    slack_ms: float
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: list[int]
    route: str
    excluded_server_ids: list[str] = []
    idempotent: bool = True
    insist: bool = False


class AsksReceived(Message):
    """Confirm that the dispatcher knows the asks of these requests."""

    group_id: str
    request_ids: list[str]


class GrantReply(Message):
    """Grant one dispatch of a request, to be used within `valid_ms`."""

    group_id: str
    request_id: str
    server_id: str
    version_id: str
    valid_ms: float


class ShedReply(Message):
    """Refuse a waiting request."""

    group_id: str
    request_id: str
    reason: str
    retry_after_ms: int


class WithdrawRequest(Message):
    """Take back an ask for a grant."""

    group_id: str
    request_id: str


class RequestStarted(Message):
    """Report that a granted request was sent to its server."""

    group_id: str
    request_id: str
    server_id: str


class RequestFinished(Message):
    """Report how a granted request ended at its server.

    Times are in milliseconds; `first_token_ms` is None without any token.
    """

    group_id: str
    request_id: str
    server_id: str
    version_id: str
    route: str
    succeeded: bool
    dispatched: bool
    first_token_ms: float | None
    total_ms: float
    prefill_tokens: int
    cached_tokens: int
    decode_tokens: int


class ActiveGrant(msgspec.Struct, kw_only=True, array_like=True):
    """Describe a granted request that has not finished."""

    request_id: str
    server_id: str
    version_id: str
    prefill_tokens: int
    decode_tokens: int


class GroupState(Message):
    """Tell a new dispatcher all that the sender has in flight in a group."""

    group_id: str
    waiting: list[AskGrant]
    active: list[ActiveGrant]


class ClaimKey(Message):
    """Ask the issuer of an idempotency key for the right to dispatch."""

    claim_id: str
    scope: str
    key: str
    fingerprint: str


class ReleaseKey(Message):
    """Report to a key's issuer how a claimed attempt ended.

    Status 0 means that no whole response came; the body is to be returned
    for repeated keys if `recorded`.
    """

    scope: str
    key: str
    claim_id: str
    dispatched: bool
    status: int = 0
    body: bytes = b''
    content_type: str = ''
    recorded: bool = False


class ClaimReply(Message):
    """Answer a claim: `granted`, or why not."""

    claim_id: str
    outcome: str
    status: int = 0
    body: bytes = b''
    content_type: str = ''


class VersionWithdrawn(Message):
    """Announce that a version must get no new request."""

    service_id: str
    version_id: str
    move_id: str
    reason: str


AnyMessage = (
    Heartbeat
    | ProbeReply
    | ProbeRequest
    | Leaving
    | ConfigEntries
    | ConfigRequest
    | AskGrant
    | AsksReceived
    | GrantReply
    | ShedReply
    | WithdrawRequest
    | RequestStarted
    | RequestFinished
    | GroupState
    | ClaimKey
    | ReleaseKey
    | ClaimReply
    | VersionWithdrawn
)


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """Wrap a message with its protocol version and sender."""

    version: int
    sender: str
    sequence: int
    message: msgspec.Raw


class MessageCodec:
    """Encode and decode envelopes of one sender."""

    _encoder: ClassVar[msgspec.msgpack.Encoder] = msgspec.msgpack.Encoder()
    _envelopes: ClassVar[msgspec.msgpack.Decoder] = msgspec.msgpack.Decoder(Envelope)
    _messages: ClassVar[msgspec.msgpack.Decoder] = msgspec.msgpack.Decoder(AnyMessage)

    def __init__(self, sender: str) -> None:
        self._sender = sender
        self._sequence = 0

    def encode(self, message: Message) -> bytes:
        """Return the message in an envelope of this sender."""
        self._sequence += 1
        envelope = Envelope(
            version=PROTOCOL_VERSION,
            sender=self._sender,
            sequence=self._sequence,
            message=msgspec.Raw(self._encoder.encode(message)),
        )
        return self._encoder.encode(envelope)

    def decode(self, frame: bytes) -> tuple[str, Message]:
        """Return the sender's incarnation and its message.

        Raises `ProtocolVersionError` or `MalformedMessageError`.
        """
        try:
            envelope = self._envelopes.decode(frame)
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(str(error)) from error
        if envelope.version != PROTOCOL_VERSION:
            raise ProtocolVersionError(f'version {envelope.version}')
        try:
            return envelope.sender, self._messages.decode(envelope.message)
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(str(error)) from error
