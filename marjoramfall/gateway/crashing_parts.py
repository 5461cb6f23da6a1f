"""Find the prompt parts that explain the crashes of model servers."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain

from marjoramfall.gateway.crash_report import CrashedRequest

# One crash may have any cause. A part in two, of different requests, is the likely
# cause, or one in three if a single request is sent again and again.
MIN_CRASHES = 2
MIN_REQUESTS = 2
MIN_CRASHES_OF_ONE_REQUEST = 3
# Popular parts are in many crashes by chance.
MIN_CRASHES_OF_SERVED_PART = 3
MIN_REQUESTS_OF_SERVED_PART = 3


@dataclass(frozen=True, slots=True)
class PartOccurrence:
    """Name a shared part in the prompt of a request and its position there."""

    part_id: str
    own_part_id: str
    position: int


@dataclass(slots=True)
class Crash:
    """Hold when a server crashed and the requests that had just begun there."""

    at_ms: float
    requests: set[CrashedRequest] = field(default_factory=set)

    def part_ids(self) -> set[str]:
        """Return the prompt parts that requests may share."""
        return set(
            chain.from_iterable(request.shared_part_ids for request in self.requests)
        )

    def occurrences(self) -> Iterator[PartOccurrence]:
        """Yield each place of a shared part in the prompts."""
        for request in self.requests:
            for position, part_id in enumerate(request.shared_part_ids):
                yield PartOccurrence(part_id, request.own_part_id, position)


@dataclass(slots=True)
class CrashingPart:
    """Hold the crashes that a prompt part explains.

    `own_part_ids` tell the requests apart, `position` is the last place of the part
    in a prompt, and `was_served` is true if a response to a request with it was ever
    complete.
    """

    part_id: str
    was_served: bool
    position: int = 0
    crashes: list[Crash] = field(default_factory=list)
    own_part_ids: set[str] = field(default_factory=set)

    @property
    def last_crash_ms(self) -> float:
        """Return the time of the newest crash."""
        return max(crash.at_ms for crash in self.crashes)

    @property
    def is_proven(self) -> bool:
        """Return whether the crashes suffice to refuse requests with the part."""
        crash_count = len(self.crashes)
        request_count = len(self.own_part_ids)
        if self.was_served:
            return (
                crash_count >= MIN_CRASHES_OF_SERVED_PART
                and request_count >= MIN_REQUESTS_OF_SERVED_PART
            )
        if crash_count >= MIN_CRASHES_OF_ONE_REQUEST:
            return True
        return crash_count >= MIN_CRASHES and request_count >= MIN_REQUESTS

    @property
    def precedence(self) -> tuple[bool, int, int]:
        """Return what orders parts that explain the same crashes.

        The first parts of a prompt are in many sound requests.
        """
        return not self.was_served, len(self.crashes), self.position

    def add(self, crash: Crash, occurrence: PartOccurrence) -> None:
        """Add a request with the part that had begun at a crashed server."""
        self.position = max(self.position, occurrence.position)
        self.own_part_ids.add(occurrence.own_part_id)
        if not self.crashes or self.crashes[-1] is not crash:
            self.crashes.append(crash)


def find_crashing_parts(
    crashes: Iterable[Crash], served_ms_by_part: Mapping[str, float]
) -> dict[str, CrashingPart]:
    """Return by id the fewest parts that explain the crashes.

    A crash that one part explains is no evidence against the others in it. A part is
    cleared of a crash by a complete response that was begun after it.
    """
    unexplained = list(crashes)
    crashing_by_id: dict[str, CrashingPart] = {}
    while True:
        suspects = _find_suspects(unexplained, served_ms_by_part)
        proven = [suspect for suspect in suspects if suspect.is_proven]
        if not proven:
            return crashing_by_id
        chosen = max(proven, key=lambda suspect: suspect.precedence)
        crashing_by_id[chosen.part_id] = chosen
        explained = set(map(id, chosen.crashes))
        unexplained = [crash for crash in unexplained if id(crash) not in explained]


def _find_suspects(
    crashes: Iterable[Crash], served_ms_by_part: Mapping[str, float]
) -> Iterable[CrashingPart]:
    suspect_by_id: dict[str, CrashingPart] = {}
    for crash in crashes:
        for occurrence in crash.occurrences():
            part_id = occurrence.part_id
            served_ms = served_ms_by_part.get(part_id)
            if served_ms is not None and served_ms > crash.at_ms:
                continue
            suspect = suspect_by_id.setdefault(
                part_id, CrashingPart(part_id, was_served=served_ms is not None)
            )
            suspect.add(crash, occurrence)
    return suspect_by_id.values()
