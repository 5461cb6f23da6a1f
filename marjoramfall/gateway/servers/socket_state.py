"""Set up sockets and tell what the system knows of their connections."""

import fcntl
import select
import struct
import termios
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)

from gevent import socket

from marjoramfall.clock import MS_PER_SECOND

INT_BYTES = struct.calcsize('i')
# TCP keepalive detects a dead peer after idle + count * interval seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Linux ends a connection after this time with a single probe unanswered, whatever
# the count, so that a shorter one would end it while a peer pauses for a second.
USER_TIMEOUT_MS = MS_PER_SECOND * (
    KEEPALIVE_IDLE_S + KEEPALIVE_COUNT * KEEPALIVE_INTERVAL_S
)
# No caller waits for so long for an answer to be written.
WRITE_TIMEOUT_S = 120.0


def configure_caller_socket(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and detect dead callers of idle connections.

    A user timeout would also end the connection of a caller that reads slowly, as it
    counts the time for which the caller's window is closed.
    """
    _probe_when_idle(connection)
    connection.settimeout(WRITE_TIMEOUT_S)


def configure_socket(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and detect dead servers and peers."""
    _probe_when_idle(connection)
    connection.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def has_input(connection: socket.socket) -> bool:
    """Return whether data or the end of the connection can be read at once."""
    return _poll(connection, select.POLLIN)


def has_hung_up(connection: socket.socket) -> bool:
    """Return whether the peer has ended the connection, also behind unread data."""
    return _poll(connection, select.POLLRDHUP)


def has_failed(connection: socket.socket) -> bool:
    """Return whether an error of the connection is pending or was reported."""
    # Errors are reported whatever is asked for.
    return _poll(connection, 0)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return how many bytes the peer has not acknowledged; raises `OSError`."""
    answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
    return struct.unpack('i', answer)[0]


def _probe_when_idle(connection: socket.socket) -> None:
    connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    connection.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)


def _poll(connection: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
