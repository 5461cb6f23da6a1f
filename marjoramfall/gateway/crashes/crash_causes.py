"""Find the prompt parts and requests that explain the crashes of servers."""

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from itertools import pairwise

from marjoramfall.gateway.crashes.crash_report import CrashedRequest

# One crash may have any cause. A part in two, of different requests, is the likely
# cause, or a request at three if it is sent again and again.
MIN_CRASHES = 2
MIN_REQUESTS = 2
MIN_CRASHES_OF_ONE_REQUEST = 3
# Servers that crash within this time may have a common cause other than requests.
SAME_MOMENT_MS = 50.0
# Popular parts are in many crashes by chance.
MIN_CRASHES_OF_SERVED_PART = 3
MIN_REQUESTS_OF_SERVED_PART = 3


@dataclass(frozen=True, slots=True)
class CauseOccurrence:
    """Name a possible cause in a request at a crashed server.

    That is a shared prompt part and its position, or the whole request, which comes
    after all parts.
    """

    cause_id: str
    own_part_id: str
    position: int
    is_request: bool


@dataclass(slots=True)
class Crash:
    """Hold when a server crashed and the requests that had just begun there."""

    at_ms: float
    requests: set[CrashedRequest] = field(default_factory=set)

    def cause_ids(self) -> set[str]:
        """Return the requests, and the prompt parts that requests may share."""
        return {occurrence.cause_id for occurrence in self.occurrences()}

    def occurrences(self) -> Iterator[CauseOccurrence]:
        """Yield each shared part in the prompts, and each request."""
        for request in self.requests:
            own_id = request.own_part_id
            parts = request.shared_part_ids
            for position, part_id in enumerate(parts):
                yield CauseOccurrence(part_id, own_id, position, is_request=False)
            if request.fingerprint:
                yield CauseOccurrence(
                    request.fingerprint, own_id, len(parts), is_request=True
                )


@dataclass(slots=True)
class CrashCause:
    """Hold the crashes that a prompt part or a request explains.

    `own_part_ids` tell the requests with a part apart, `position` is its last place in
    a prompt, `was_served` is true if a response was ever complete in spite of it, and
    `was_taken` if it was taken for a cause before.
    """

    cause_id: str
    was_served: bool
    is_request: bool
    position: int = 0
    was_taken: bool = False
    crashes: list[Crash] = field(default_factory=list)
    own_part_ids: set[str] = field(default_factory=set)

    @property
    def last_crash_ms(self) -> float:
        """Return the time of the newest crash."""
        return max(crash.at_ms for crash in self.crashes)

    @property
    def moment_count(self) -> int:
        """Return at how many different moments the servers crashed."""
        times_ms = sorted(crash.at_ms for crash in self.crashes)
        gaps_ms = (later - earlier for earlier, later in pairwise(times_ms))
        return 1 + sum(gap_ms > SAME_MOMENT_MS for gap_ms in gaps_ms)

    @property
    def is_proven(self) -> bool:
        """Return whether the crashes suffice to refuse requests."""
        crash_count = len(self.crashes)
        request_count = len(self.own_part_ids)
        if self.is_request:
            return crash_count >= MIN_CRASHES_OF_ONE_REQUEST
        if self.was_served:
            return (
                self.moment_count >= MIN_CRASHES_OF_SERVED_PART
                and request_count >= MIN_REQUESTS_OF_SERVED_PART
            )
        if crash_count >= MIN_CRASHES_OF_ONE_REQUEST:
            return True
        return crash_count >= MIN_CRASHES and request_count >= MIN_REQUESTS

    @property
    def precedence(self) -> tuple[bool, int, bool, int]:
        """Return what orders causes that explain the same crashes.

        The requests of a new crash become known one by one, which must not release
        the cause meanwhile. The first parts of a prompt are in many sound requests,
        and a whole request is only itself.
        """
        return not self.was_served, len(self.crashes), self.was_taken, self.position

    def add(self, crash: Crash, occurrence: CauseOccurrence) -> None:
        """Add an occurrence at a crashed server."""
        self.position = max(self.position, occurrence.position)
        self.own_part_ids.add(occurrence.own_part_id)
        if not self.crashes or self.crashes[-1] is not crash:
            self.crashes.append(crash)

    def is_inseparable(self, other: 'CrashCause') -> bool:
        """Return whether both are requests that were at the same crashes."""
        return self.is_request and other.is_request and self.crashes == other.crashes


def find_crash_causes(
    crashes: Iterable[Crash],
    served_ms_by_cause: Mapping[str, float],
    taken_ids: Set[str],
) -> dict[str, CrashCause]:
    """Return by id the fewest causes that explain the crashes.

    `taken_ids` are those that were taken for causes before.

    A crash that one cause explains is no evidence against the others in it, but
    requests that were at the same crashes are all taken. A cause is cleared of a
    crash by a complete response that was begun after it.
    """
    unexplained = list(crashes)
    found_by_id: dict[str, CrashCause] = {}
    while True:
        suspects = _find_suspects(unexplained, served_ms_by_cause, taken_ids)
        proven = [suspect for suspect in suspects if suspect.is_proven]
        if not proven:
            return found_by_id
        chosen = max(proven, key=lambda suspect: suspect.precedence)
        for cause in proven:
            if cause is chosen or cause.is_inseparable(chosen):
                found_by_id[cause.cause_id] = cause
        explained = set(map(id, chosen.crashes))
        unexplained = [crash for crash in unexplained if id(crash) not in explained]


def _find_suspects(
    crashes: Iterable[Crash],
    served_ms_by_cause: Mapping[str, float],
    taken_ids: Set[str],
) -> Iterable[CrashCause]:
    suspect_by_id: dict[str, CrashCause] = {}
    for crash in crashes:
        for occurrence in crash.occurrences():
            cause_id = occurrence.cause_id
            served_ms = served_ms_by_cause.get(cause_id)
            if served_ms is not None and served_ms > crash.at_ms:
                continue
            suspect = suspect_by_id.setdefault(
                cause_id,
                CrashCause(
                    cause_id,
                    was_served=served_ms is not None,
                    is_request=occurrence.is_request,
                    was_taken=cause_id in taken_ids,
                ),
            )
            suspect.add(crash, occurrence)
    return suspect_by_id.values()
