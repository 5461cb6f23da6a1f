"""Write and read idempotency keys that entries issue."""

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
    """Name a key by its issuer, issue time (Unix, ms) and sequence."""

    incarnation: str
    issued_wall_ms: int
    sequence: int
    digest: str

    def __str__(self) -> str:
        """Return the text that callers get."""
        return SEPARATOR.join((*self._parts(), self.digest))

    def signed(self, secret: bytes, team_id: str) -> 'IssuedKey':
        """Return the key with the digest of this issuer and team."""
        text = SEPARATOR.join((*self._parts(), team_id)).encode()
        digest = blake2b(text, key=secret, digest_size=DIGEST_BYTES).hexdigest()
        return IssuedKey(self.incarnation, self.issued_wall_ms, self.sequence, digest)

    def is_genuine(self, secret: bytes, team_id: str) -> bool:
        """Return whether the issuer made this key for the team."""
        expected = self.signed(secret, team_id).digest
        return hmac.compare_digest(expected.encode(), self.digest.encode())

    def _parts(self) -> tuple[str, ...]:
        issued_hex = f'{self.issued_wall_ms:x}'
        return PREFIX, self.incarnation, issued_hex, f'{self.sequence:x}'


def is_issued_key(key: str) -> bool:
    """Return whether the text claims to be an issued key."""
    return key.startswith(PREFIX + SEPARATOR)


def parse_issued_key(key: str) -> IssuedKey | None:
    """Return the parts of a key; None if it cannot have been issued."""
    parts = key.split(SEPARATOR)
    if len(parts) != PART_COUNT or parts[0] != PREFIX:
        return None
    try:
        issued_wall_ms, sequence = (int(part, HEX_BASE) for part in parts[2:4])
    except ValueError:
        return None
    parsed = IssuedKey(parts[1], issued_wall_ms, sequence, parts[4])
    # Another spelling of the same numbers would be another key to a caller.
    return parsed if str(parsed) == key else None
