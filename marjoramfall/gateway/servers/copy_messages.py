"""Define the calls that copy a run between servers, and their answers."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.gateway.model import BackendServer


@dataclass(frozen=True, slots=True)
class CopyOrder:
    """Name the run to copy, where it runs, and where the copy goes.

    The run stops first if `stops_run`.
    """

    attempt_id: str
    source: BackendServer
    destination: BackendServer
    stops_run: bool


class CopyEnding(StrEnum):
    """Classify the answer of a source; a `LOST` one may have been carried out."""

    COPIED = 'copied'
    NO_RUN = 'no_run'
    BUSY = 'busy'
    NO_ROOM = 'no_room'
    NOT_REACHED = 'not_reached'
    LOST = 'lost'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class CopyResult:
    """Hold an answer; `handle` names the copy, empty if there is none.

    `event_count` is how many events the run had generated.
    """

    ending: CopyEnding
    handle: str = ''
    event_count: int | None = None
    reason: str = ''
