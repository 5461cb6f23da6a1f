"""Split a stream into complete server-sent events."""

import re
from dataclasses import dataclass

# An empty line ends an event; further ones add nothing to it.
EVENT_END = re.compile(rb'\n\r?\n[\r\n]*')
# The beginning of an event's end that may be split between two parts.
MAX_PARTIAL_END_BYTES = 2
ID_FIELD = b'id:'
DATA_FIELD = b'data'
# Bytes in a row that may add no event: a part of one, comments, empty lines, and
# events that the caller has.
MAX_OVERHEAD_BYTES = 65_536


class StreamOverheadError(Exception):
    """Indicate a stream that goes on without adding an event."""


class EventSplitter:
    """Return complete events and record the id of the last one.

    An incomplete event stays buffered, so that a resumed stream continues after
    the last complete event. A repeated event is dropped: its id equals the last
    one or, if both are numbers, is not greater.
    """

    def __init__(self) -> None:
        self._buffered = b''
        self._searched_bytes = 0
        self._overhead_bytes = 0
        # A server that resumes a stream may repeat all that the caller has.
        self._added_bytes = 0
        self.last_id: bytes | None = None
        self.event_count = 0

    def feed(self, part: bytes) -> bytes:
        """Return the new events that are complete now.

        Raises `StreamOverheadError` if too many bytes have added no event. Takes time
        in proportion to the part.
        """
        self._buffered += part
        events = []
        begin = 0
        added_bytes = self._added_bytes
        for end in EVENT_END.finditer(self._buffered, self._searched_bytes):
            event = self._buffered[begin : end.end()]
            begin = end.end()
            if self._is_new(event):
                events.append(event)
        self._buffered = self._buffered[begin:]
        self._searched_bytes = max(0, len(self._buffered) - MAX_PARTIAL_END_BYTES)
        if added_bytes == self._added_bytes:
            # What was added is returned first: its ids count as forwarded.
            self._check_overhead()
        return b''.join(events)

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event at the end of a stream."""
        rest = self._buffered
        self.discard_partial_event()
        return rest

    def discard_partial_event(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._buffered = b''
        self._searched_bytes = 0
        self._overhead_bytes = 0

    def _check_overhead(self) -> None:
        overhead_bytes = self._overhead_bytes + len(self._buffered)
        is_endless = len(self._buffered) > MAX_OVERHEAD_BYTES
        if is_endless or overhead_bytes > MAX_OVERHEAD_BYTES + self._added_bytes:
            raise StreamOverheadError(f'{overhead_bytes} bytes without a new event')

    def _is_new(self, event: bytes) -> bool:
        """Return whether to forward an event, and count what it adds."""
        fields = _read_fields(event)
        is_repeated = (
            fields.event_id is not None
            and self.last_id is not None
            and _is_repeated(fields.event_id, self.last_id)
        )
        if is_repeated or fields.is_empty:
            self._overhead_bytes += len(event)
            return not is_repeated
        self._overhead_bytes = 0
        self._added_bytes += len(event)
        self.event_count += 1
        self.last_id = fields.event_id or self.last_id
        return True


@dataclass(frozen=True, slots=True)
class _Fields:
    """Hold the id of an event, and whether it is a comment or an empty line."""

    event_id: bytes | None
    is_empty: bool


EMPTY_EVENT = _Fields(None, is_empty=True)


def _read_fields(event: bytes) -> _Fields:
    if ID_FIELD not in event and DATA_FIELD not in event:
        return EMPTY_EVENT
    has_data = False
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            return _Fields(line[len(ID_FIELD) :].strip(), is_empty=False)
        has_data = has_data or line.startswith(DATA_FIELD)
    return _Fields(None, is_empty=not has_data)


def _is_repeated(event_id: bytes, last_id: bytes) -> bool:
    if event_id.isdigit() and last_id.isdigit():
        return _magnitude(event_id) <= _magnitude(last_id)
    return event_id == last_id


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Return what orders numbers of any length, which `int` does not convert."""
    significant = digits.lstrip(b'0')
    return len(significant), significant
