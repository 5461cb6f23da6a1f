"""Issue idempotency keys and decide claims of the keys issued here."""

import heapq
import secrets
from collections import OrderedDict
from dataclasses import dataclass

from marjoramfall.messages import ClaimKey, ClaimReply, ReleaseKey
from marjoramfall.request.issued_key import IssuedKey, parse_issued_key
from marjoramfall.request.key_claim import (
    MAX_RECORDED_BYTES,
    ClaimOutcome,
    ClaimVerdict,
    ended_claim_verdict,
)

RETENTION_MS = 24 * 60 * 60 * 1000
# A record takes about 300 B, so a full registry takes about 30 MB.
MAX_RECORDS = 100_000
MAX_TOTAL_RECORDED_BYTES = 16 * 1024 * 1024
SECRET_BYTES = 32

# Sequence number of the key and scope of the claim.
RecordId = tuple[int, str]


@dataclass(slots=True)
class KeyRecord:
    """Store the claim of one key in one scope; `outcome` is None until release."""

    claim_id: str
    fingerprint: str
    issued_wall_ms: int
    outcome: ClaimOutcome | None = None


class KeyRegistry:
    """Issue keys and grant each of them once; no other entry may grant them.

    Evicting a record raises the lowest sequence number that may be granted, so
    that an evicted key is never granted again: bounded memory cannot cause a
    second dispatch.
    """

    def __init__(
        self,
        incarnation: str,
        *,
        retention_ms: int = RETENTION_MS,
        max_records: int = MAX_RECORDS,
        max_total_recorded_bytes: int = MAX_TOTAL_RECORDED_BYTES,
    ) -> None:
        self._incarnation = incarnation
        self._retention_ms = retention_ms
        self._max_records = max_records
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._last_sequence = 0
        self._last_issued_wall_ms = 0
        self._min_sequence = 0
        self._records: dict[RecordId, KeyRecord] = {}
        self._record_heap: list[RecordId] = []
        self._responses = RecordedResponses(max_total_recorded_bytes)

    @property
    def record_count(self) -> int:
        """Return the number of claimed keys that are in memory."""
        return len(self._records)

    def issue(self, team_id: str, now_wall_ms: int) -> str:
        """Return a new key for the team; it takes no memory until it is claimed."""
        self._last_sequence += 1
        # Issue times never decrease, so keys expire in order of their sequence
        # number even if the clock steps back.
        self._last_issued_wall_ms = max(self._last_issued_wall_ms, now_wall_ms)
        key = IssuedKey(
            self._incarnation, self._last_issued_wall_ms, self._last_sequence, ''
        )
        return str(key.signed(self._secret, team_id))

    def claim(self, message: ClaimKey, now_wall_ms: int) -> ClaimReply:
        """Grant the key to one claim id; a repeated message gets the same reply."""
        self._evict_expired(now_wall_ms)
        key = self._parse_genuine(message.key, message.scope)
        if key is None:
            return _reply(message, ClaimVerdict.INVALID)
        if self._is_expired(key, now_wall_ms):
            return _reply(message, ClaimVerdict.EXPIRED)
        record_id = (key.sequence, message.scope)
        record = self._records.get(record_id)
        if record is None:
            return _reply(message, self._add_record(record_id, message, key))
        return self._claim_again(record_id, record, message)

    def release(self, message: ReleaseKey) -> None:
        """Record the outcome of a claim; ignored unless this claim id holds the key."""
        key = parse_issued_key(message.key)
        record_id = (key.sequence if key else 0, message.scope)
        record = self._records.get(record_id)
        if record is None or record.claim_id != message.claim_id or record.outcome:
            return
        recorded = message.recorded and len(message.body) <= MAX_RECORDED_BYTES
        record.outcome = ClaimOutcome(
            dispatched=message.dispatched, status=message.status, recorded=recorded
        )
        if recorded:
            self._responses.put(record_id, message)

    def _parse_genuine(self, text: str, scope: str) -> IssuedKey | None:
        key = parse_issued_key(text)
        if key is None or key.incarnation != self._incarnation:
            return None
        team_id = scope.partition('\n')[0]
        return key if key.is_genuine(self._secret, team_id) else None

    def _is_expired(self, key: IssuedKey, now_wall_ms: int) -> bool:
        age_ms = now_wall_ms - key.issued_wall_ms
        return key.sequence < self._min_sequence or age_ms > self._retention_ms

    def _add_record(
        self, record_id: RecordId, message: ClaimKey, key: IssuedKey
    ) -> ClaimVerdict:
        if len(self._records) >= self._max_records:
            if record_id < self._record_heap[0]:
                return ClaimVerdict.EXPIRED
            self._evict_oldest()
        self._records[record_id] = KeyRecord(
            message.claim_id, message.fingerprint, key.issued_wall_ms
        )
        heapq.heappush(self._record_heap, record_id)
        return ClaimVerdict.GRANTED

    def _claim_again(
        self, record_id: RecordId, record: KeyRecord, message: ClaimKey
    ) -> ClaimReply:
        if record.fingerprint != message.fingerprint:
            return _reply(message, ClaimVerdict.REUSED)
        if record.outcome is None:
            is_holder = record.claim_id == message.claim_id
            verdict = ClaimVerdict.GRANTED if is_holder else ClaimVerdict.IN_USE
            return _reply(message, verdict)
        if record.outcome.dispatched:
            return self._ended_reply(record_id, record.outcome, message)
        if record.claim_id == message.claim_id:
            # A delayed duplicate of a claim that was already released.
            return _reply(message, ClaimVerdict.IN_USE)
        record.claim_id = message.claim_id
        record.outcome = None
        return _reply(message, ClaimVerdict.GRANTED)

    def _ended_reply(
        self, record_id: RecordId, outcome: ClaimOutcome, message: ClaimKey
    ) -> ClaimReply:
        response = self._responses.get(record_id)
        if outcome.recorded and response is None:
            return _reply(message, ClaimVerdict.HAS_RUN)
        reply = _reply(message, ended_claim_verdict(outcome))
        reply.status = outcome.status
        if response is not None:
            reply.body = response.body
            reply.content_type = response.content_type
        return reply

    def _evict_expired(self, now_wall_ms: int) -> None:
        while self._record_heap:
            record = self._records[self._record_heap[0]]
            if now_wall_ms - record.issued_wall_ms <= self._retention_ms:
                return
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        record_id = heapq.heappop(self._record_heap)
        self._records.pop(record_id)
        self._responses.drop(record_id)
        self._min_sequence = max(self._min_sequence, record_id[0] + 1)


class RecordedResponses:
    """Store recorded responses; evicts the oldest above a total body size."""

    def __init__(self, max_total_bytes: int) -> None:
        self._max_total_bytes = max_total_bytes
        self._total_bytes = 0
        self._responses: OrderedDict[RecordId, ReleaseKey] = OrderedDict()

    def put(self, record_id: RecordId, response: ReleaseKey) -> None:
        """Store a response and evict the oldest ones above the total size."""
        self._responses[record_id] = response
        self._total_bytes += len(response.body)
        while self._total_bytes > self._max_total_bytes:
            self.drop(next(iter(self._responses)))

    def get(self, record_id: RecordId) -> ReleaseKey | None:
        """Return a response, or None if it was evicted or never stored."""
        return self._responses.get(record_id)

    def drop(self, record_id: RecordId) -> None:
        """Remove a response; does nothing if it is not stored."""
        response = self._responses.pop(record_id, None)
        if response is not None:
            self._total_bytes -= len(response.body)


def _reply(message: ClaimKey, verdict: ClaimVerdict) -> ClaimReply:
    return ClaimReply(claim_id=message.claim_id, outcome=verdict)
