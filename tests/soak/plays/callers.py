"""Send the requests of a play and record how they end."""

import re
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import Enum
from itertools import takewhile

from gevent import socket

from marjoramfall.clock import MS_PER_SECOND, Clock
from tests.soak.plays.servers import EVENT_COUNT

DEADLINE_MS = 9000
# How long a caller waits past its deadline.
MARGIN_MS = 500
# A caller leaves a stream that has begun after this time without an event.
LONGEST_GAP_MS = 2000
CONNECT_TIMEOUT_S = 2
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
OK = 200
HEAD = (
    'POST /lohu930/1 HTTP/1.1',
    'Host: ficu95.example',
    'Authorization: Bearer key-a',
    f'Marjoramfall-Deadline-Ms: {DEADLINE_MS}',
    'Content-Length: 0',
)


class Ending(Enum):
    """List how a request can end for its caller."""

    WHOLE = 'whole'
    CUT = 'cut'
    LEFT = 'left as no event came'
    ANSWERED = 'answered'
    UNANSWERED = 'unanswered'
    NOT_CONNECTED = 'connection refused'


@dataclass(slots=True)
class Stream:
    """Hold what a caller got of a stream; `status` is 0 without the head.

    `is_excused` is set if the caller's entry was killed meanwhile.
    """

    attempt_id: str
    entry_vm: str
    sent_ms: float
    ended_ms: float = 0
    status: int = 0
    is_connected: bool = False
    has_end: bool = False
    has_timed_out: bool = False
    is_excused: bool = False
    failure: str = ''
    event_ids: list[int] = field(default_factory=list)

    @property
    def ending(self) -> Ending:
        """Return how the stream ended."""
        if not self.is_connected:
            return Ending.NOT_CONNECTED
        if not self.status:
            return Ending.UNANSWERED
        if self.status != OK:
            return Ending.ANSWERED
        expected_ids = list(range(1, EVENT_COUNT + 1))
        if self.has_end and self.event_ids == expected_ids:
            return Ending.WHOLE
        return Ending.LEFT if self.has_timed_out else Ending.CUT


class StreamCaller:
    """Receive one stream on a connection of its own."""

    def __init__(self, stream: Stream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._received = b''

    def call(self, address: tuple[str, int]) -> None:
        """Send the request and record what comes."""
        try:
            self._exchange(address)
        except (OSError, ValueError) as error:
            self._stream.failure = repr(error)
            self._stream.has_timed_out = isinstance(error, TimeoutError)
        self._stream.ended_ms = self._clock.monotonic_ms()

    def _exchange(self, address: tuple[str, int]) -> None:
        stream = self._stream
        lines = (*HEAD, f'Marjoramfall-Attempt-Id: {stream.attempt_id}', '', '')
        with ExitStack() as stack:
            connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
            stack.enter_context(connection)
            stream.is_connected = True
            reader = stack.enter_context(connection.makefile('rb'))
            connection.sendall('\r\n'.join(lines).encode())
            connection.settimeout((DEADLINE_MS + MARGIN_MS) / MS_PER_SECOND)
            stream.status = _read_status(reader)
            if stream.status == OK:
                self._read_events(connection, reader)

    def _read_events(self, connection: socket.socket, reader) -> None:
        last_event_ms = self._clock.monotonic_ms()
        while not self._stream.has_end:
            leaves_ms = min(
                last_event_ms + LONGEST_GAP_MS,
                self._stream.sent_ms + DEADLINE_MS + MARGIN_MS,
            )
            left_ms = leaves_ms - self._clock.monotonic_ms()
            connection.settimeout(max(1, left_ms) / MS_PER_SECOND)
            if self._read_chunk(reader):
                last_event_ms = self._clock.monotonic_ms()

    def _read_chunk(self, reader) -> bool:
        """Return whether a chunk brought an event; raises `OSError`, `ValueError`."""
        size = int(reader.readline(), 16)
        chunk = reader.read(size + 2)
        if len(chunk) < size + 2:
            raise ValueError('the stream ended within a chunk')
        self._stream.has_end = not size
        self._received += chunk[:size]
        events, end, begun_event = self._received.rpartition(b'\n\n')
        self._received = begun_event
        self._stream.event_ids.extend(map(int, EVENT_ID.findall(events)))
        return bool(end)


def _read_status(reader) -> int:
    """Read the head of a response; raises `ValueError` if there is none."""
    lines = list(takewhile(bytes.strip, reader))
    if not lines:
        raise ValueError('no answer')
    return int(lines[0].split()[1])
