"""Split a stream into complete server-sent events."""

EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 65_536


class EventTooLargeError(Exception):
    """Indicate an event that does not end within `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Return complete events and record the id of the last one.

    An incomplete event stays buffered, so that a resumed stream continues after
    the last complete event. A repeated event is dropped: its id equals the last
    one or, if both are numbers, is not greater.
    """

    def __init__(self) -> None:
        self._buffered = b''
        self.last_id: bytes | None = None
        self.event_count = 0

    def feed(self, part: bytes) -> bytes:
        """Return the new events that are complete now.

        Raises `EventTooLargeError` if the event that is incomplete is too large.
        """
        self._buffered += part
        events = []
        while True:
            event = self._take_event()
            if event is None:
                break
            if self._is_new(event):
                events.append(event)
                self.event_count += 1
        if len(self._buffered) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f'{len(self._buffered)} bytes without an end')
        return b''.join(events)

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event at the end of a stream."""
        rest = self._buffered
        self._buffered = b''
        return rest

    def discard_partial_event(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._buffered = b''

    def _take_event(self) -> bytes | None:
        ends = [
            found + len(end)
            for end in EVENT_ENDS
            if (found := self._buffered.find(end)) >= 0
        ]
        if not ends:
            return None
        event = self._buffered[: min(ends)]
        self._buffered = self._buffered[min(ends) :]
        return event

    def _is_new(self, event: bytes) -> bool:
        event_id = _read_id(event)
        if event_id is None:
            return True
        if self.last_id is not None and _is_repeated(event_id, self.last_id):
            return False
        self.last_id = event_id
        return True


def _read_id(event: bytes) -> bytes | None:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return None


def _is_repeated(event_id: bytes, last_id: bytes) -> bool:
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) <= int(last_id)
    return event_id == last_id
