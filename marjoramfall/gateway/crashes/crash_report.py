"""Define the report by which entries share under what backend servers crashed."""

import msgspec

from marjoramfall.gateway.message_bounds import Count


class CrashedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Name a request that had just begun at a crashed server, and its prompt parts.

    `shared_part_ids` are in the order of the prompt. `fingerprint` is the same if the
    request is sent again; it is absent in reports of older versions.
    """

    shared_part_ids: tuple[str, ...]
    own_part_id: str
    fingerprint: str = ''


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the crash of one incarnation of a server, `age_ms` ago."""

    server_id: str
    born_ms: Count
    age_ms: int
    requests: list[CrashedRequest]


class ServedCause(msgspec.Struct, array_like=True, frozen=True):
    """Report a complete response, begun `age_ms` ago, in spite of a possible cause."""

    cause_id: str
    age_ms: int


class EvidenceReport(msgspec.Struct, array_like=True, frozen=True):
    """Hold what an entry knows of crashes and of their possible causes."""

    crashes: list[CrashReport]
    served: list[ServedCause]
