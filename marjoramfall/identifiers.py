"""Make identifiers and choose members by rendezvous hashing."""

import secrets
from collections.abc import Iterable

import xxhash

INCARNATION_RANDOM_BYTES = 4


def new_incarnation(vm: str, wall_ms: int) -> str:
    """Return an id of this start of the process, ordered by time per VM."""
    return f'{vm}.{wall_ms:012x}.{secrets.token_hex(INCARNATION_RANDOM_BYTES)}'


def vm_of(incarnation: str) -> str:
    """Return the VM named in an incarnation id; VM names have no dots."""
    return incarnation.partition('.')[0]


def rank_members(group_id: str, members: Iterable[str]) -> list[str]:
    """Return the members of a group, the preferred one first."""
    return sorted(
        members,
        key=lambda member: (_weight(group_id, member), member),
        reverse=True,
    )


class RequestIds:
    """Count requests of one incarnation, so that ids never repeat."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._issued = 0

    def issue(self) -> str:
        """Return the next request id."""
        self._issued += 1
        return f'{self._incarnation}-{self._issued:x}'


def _weight(group_id: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{group_id}/{member}'.encode())
