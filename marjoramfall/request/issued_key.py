"""Format, sign and parse the idempotency keys that entries issue."""

import hmac
from dataclasses import dataclass
from hashlib import blake2b

PREFIX = 'ek1'
SEPARATOR = '~'
DIGEST_BYTES = 12
HEX_BASE = 16
PART_COUNT = 5


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Identify a key by its issuer, issue time (Unix time, ms) and sequence number.

    `incarnation` is that of the issuing entry; `digest` is a keyed hash in
    hexadecimal, which shows that this entry issued the key to one team.
    """

    incarnation: str
    issued_wall_ms: int
    sequence: int
    digest: str

    def __str__(self) -> str:
        """Return the key as it is sent to callers."""
        return SEPARATOR.join((*self._parts(), self.digest))

    def signed(self, secret: bytes, team_id: str) -> 'IssuedKey':
        """Return a copy whose digest is keyed with the secret and covers the team."""
        text = SEPARATOR.join((*self._parts(), team_id)).encode()
        digest = blake2b(text, key=secret, digest_size=DIGEST_BYTES).hexdigest()
        return IssuedKey(self.incarnation, self.issued_wall_ms, self.sequence, digest)

    def is_genuine(self, secret: bytes, team_id: str) -> bool:
        """Return whether the holder of the secret issued this key to the team."""
        expected = self.signed(secret, team_id).digest
        return hmac.compare_digest(expected.encode(), self.digest.encode())

    def _parts(self) -> tuple[str, ...]:
        issued_hex = f'{self.issued_wall_ms:x}'
        return PREFIX, self.incarnation, issued_hex, f'{self.sequence:x}'


def is_issued_key(key: str) -> bool:
    """Return whether the key has the prefix of issued keys; it may be forged."""
    return key.startswith(PREFIX + SEPARATOR)


def parse_issued_key(key: str) -> IssuedKey | None:
    """Parse a key; return None if it does not have the form of an issued one."""
    parts = key.split(SEPARATOR)
    if len(parts) != PART_COUNT or parts[0] != PREFIX:
        return None
    try:
        issued_wall_ms, sequence = (int(part, HEX_BASE) for part in parts[2:4])
    except ValueError:
        return None
    parsed = IssuedKey(parts[1], issued_wall_ms, sequence, parts[4])
    # Only the canonical spelling is valid: `a` and `0A` are the same number, but
    # callers would take them for two keys.
    return parsed if str(parsed) == key else None
