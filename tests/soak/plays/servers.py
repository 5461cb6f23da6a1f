"""Provide backend servers that record what reaches them and fail on demand."""

import math
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import ExitStack, closing, suppress
from dataclasses import dataclass
from random import Random

from gevent import socket
from gevent.server import StreamServer

from marjoramfall.clock import MS_PER_SECOND, RuntimeClock
from marjoramfall_standins.loopback import HOST, free_address
from tests.platform_records import SERVER

EVENT_COUNT = 25
EVENT_INTERVAL_S = 0.1
EVENT_TEXT = 'x' * 45
CHUNK_BYTES = 65536
HEAD_END = b'\r\n\r\n'
# The close of a socket with this option resets its connection.
NO_LINGER = struct.pack('ii', 1, 0)
# The share of requests that fail while a server answers errors.
ERROR_PERCENT = 33
OK = '200 OK'
FULL = '503 Full\r\nMarjoramfall-Not-Executed: 1'
MISDIRECTED = '421 Misdirected'
FAILED = '500 Failed'

Ports = frozenset[int]


@dataclass(slots=True)
class Arrival:
    """Hold a request that reached a server; its run, if any, ends at `ended_ms`."""

    attempt_id: str
    server_id: str
    at_ms: float
    has_run: bool = False
    was_broken: bool = False
    ended_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Request:
    """Hold the headers of a request by lowercase name."""

    header_by_name: dict[str, str]

    @property
    def attempt_id(self) -> str:
        """Return the id of the caller's attempt."""
        return self.header_by_name.get('marjoramfall-attempt-id', '')


class PlayServer(ABC):
    """Serve requests at one registered address.

    While `lost_ports` is set, connections from the ports that it returns are reset.
    """

    service = ''

    def __init__(self, server_id: str, slots: int, rng: Random) -> None:
        self.server_id = server_id
        self.address = free_address()
        self.arrivals: list[Arrival] = []
        self.answers_errors = False
        self.lost_ports: Callable[[], Ports] | None = None
        self._slots = slots
        self._rng = rng
        self._clock = RuntimeClock()
        self._running = 0
        self._silent_until_ms = float(0)
        self._run_by_connection: dict[socket.socket, Arrival | None] = {}
        self._listener: StreamServer | None = None
        self.open()

    @property
    def registration(self) -> dict[str, object]:
        """Return what the server writes about itself to the store."""
        return {
            **SERVER,
            'service': self.service,
            'address': self.address,
            'slots': self._slots,
        }

    def open(self) -> None:
        """Accept connections at the registered address."""
        port = int(self.address.rpartition(':')[2])
        self._listener = StreamServer((HOST, port), self._serve)
        self._listener.start()

    def close(self) -> None:
        """Refuse connections and reset the open ones, as a process that ends."""
        self._listener.stop(timeout=0)
        self._reset_all(None)

    def lose_path(self, lost_ports: Callable[[], Ports]) -> None:
        """Reset the connections from some ports until `lost_ports` is None again."""
        self.lost_ports = lost_ports
        self._reset_all(lost_ports())

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a time, then go on."""
        self._silent_until_ms = self._after_ms(duration_s)

    def pause(self, connection: socket.socket, pause_s: float) -> None:
        """Wait, also for the end of a silence; raises `OSError` if it was closed."""
        until_ms = self._after_ms(pause_s)
        while True:
            until_ms = max(until_ms, self._silent_until_ms)
            left_s = (until_ms - self._clock.monotonic_ms()) / MS_PER_SECOND
            if left_s <= 0:
                return
            _wait_for_close(connection, left_s)

    @abstractmethod
    def run(self, connection: socket.socket, request: Request) -> None:
        """Run a request and send its response; raises `OSError`."""

    def _serve(self, connection: socket.socket, address: tuple[str, int]) -> None:
        if self.lost_ports is not None and address[1] in self.lost_ports():
            _reset(connection)
            return
        self._run_by_connection[connection] = None
        # Entries and troubles break connections at any time.
        with closing(connection), suppress(OSError):
            request = _read_request(connection)
            while request is not None:
                self._accept(connection, request)
                request = _read_request(connection)
        del self._run_by_connection[connection]

    def _accept(self, connection: socket.socket, request: Request) -> None:
        now_ms = self._clock.monotonic_ms()
        arrival = Arrival(request.attempt_id, self.server_id, now_ms)
        self.arrivals.append(arrival)
        refusal = self._choose_refusal(request)
        if refusal:
            self.pause(connection, 0)
            head = encode_head(refusal, request, 'Content-Length: 0')
            connection.sendall(head)
            return
        arrival.has_run = True
        self._run_by_connection[connection] = arrival
        self._running += 1
        with ExitStack() as stack:
            stack.callback(self._end_run, connection, arrival)
            self.run(connection, request)

    def _end_run(self, connection: socket.socket, run: Arrival) -> None:
        self._running -= 1
        self._run_by_connection[connection] = None
        run.ended_ms = self._clock.monotonic_ms()

    def _choose_refusal(self, request: Request) -> str:
        expected_id = request.header_by_name.get('marjoramfall-expect-instance')
        if expected_id != self.server_id:
            return MISDIRECTED
        if self._running >= self._slots:
            return FULL
        if self.answers_errors and self._rng.randrange(100) < ERROR_PERCENT:
            return self._rng.choice((FULL, FAILED))
        return ''

    def _reset_all(self, ports: Ports | None) -> None:
        for connection, run in tuple(self._run_by_connection.items()):
            if ports is None or _peer_port(connection) in ports:
                if run is not None:
                    run.was_broken = True
                _reset(connection)

    def _after_ms(self, duration_s: float) -> float:
        return self._clock.monotonic_ms() + duration_s * MS_PER_SECOND


class ModelServer(PlayServer):
    """Stream events, from the one after the caller's last event on."""

    service = 'tutor'

    def run(self, connection: socket.socket, request: Request) -> None:
        """Send the remaining events at a fixed interval."""
        self.pause(connection, 0)
        connection.sendall(encode_head(OK, request, 'Transfer-Encoding: chunked'))
        last_id = int(request.header_by_name.get('last-event-id', '0'))
        for event_id in range(last_id + 1, EVENT_COUNT + 1):
            self.pause(connection, EVENT_INTERVAL_S)
            event = f'id: {event_id}\ndata: {EVENT_TEXT}\n\n'
            connection.sendall(f'{len(event):x}\r\n{event}\r\n'.encode())
        connection.sendall(b'0\r\n\r\n')


class PlainServer(PlayServer):
    """Answer each request at once."""

    service = 'ledger'

    def run(self, connection: socket.socket, request: Request) -> None:
        """Send an empty answer."""
        self.pause(connection, 0)
        connection.sendall(encode_head(OK, request, 'Content-Length: 0'))


def encode_head(status: str, request: Request, header: str) -> bytes:
    """Return the head of a response."""
    echo = f'Marjoramfall-Attempt-Id: {request.attempt_id}'
    return f'HTTP/1.1 {status}\r\n{echo}\r\n{header}\r\n\r\n'.encode()


def _read_request(connection: socket.socket) -> Request | None:
    """Return a request, whose body is discarded, None at the end of the input."""
    received = b''
    while HEAD_END not in received:
        chunk = connection.recv(CHUNK_BYTES)
        if not chunk:
            return None
        received += chunk
    head, _, body = received.partition(HEAD_END)
    pairs = (line.partition(':') for line in head.decode().split('\r\n')[1:])
    request = Request({name.lower(): text.strip() for name, _, text in pairs})
    missing_bytes = int(request.header_by_name.get('content-length', '0')) - len(body)
    while missing_bytes > 0:
        missing_bytes -= len(connection.recv(missing_bytes))
    return request


def _wait_for_close(connection: socket.socket, duration_s: float) -> None:
    """Wait; raises `OSError` as soon as the peer has closed the connection."""
    connection.settimeout(duration_s)
    with suppress(TimeoutError):
        # No entry sends its next request before it has this response.
        connection.recv(1)
        raise ConnectionResetError('the entry closed the connection')
    connection.settimeout(None)


def _peer_port(connection: socket.socket) -> int:
    try:
        return connection.getpeername()[1]
    except OSError:
        return 0


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()
