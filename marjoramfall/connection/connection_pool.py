"""Keep idle connections to backend servers for reuse."""

from collections import deque

from marjoramfall.clock import Clock
from marjoramfall.connection.http_connection import HttpConnection

MAX_IDLE_PER_ADDRESS = 32
# Servers commonly close idle connections after 5 s or more; a connection
# taken later than this could be closed while the request is on its way.
MAX_IDLE_MS = 4000
MAX_ADDRESSES = 4096


class ConnectionPool:
    """Hand out idle connections, the most recently used first."""

    def __init__(
        self,
        clock: Clock,
        *,
        connect_timeout_ms: int = 500,
        read_timeout_ms: int = 30_000,
    ) -> None:
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._read_timeout_ms = read_timeout_ms
        self._idle_by_address: dict[str, deque[HttpConnection]] = {}

    def take(self, address: str, *, fresh: bool = False) -> HttpConnection:
        """Return an idle connection, or a new one if `fresh` or none is idle.

        Raises `BackendNotReachedError`.
        """
        idle = self._idle_by_address.get(address)
        while idle and not fresh:
            connection = idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return HttpConnection(
            address,
            connect_timeout_ms=self._connect_timeout_ms,
            read_timeout_ms=self._read_timeout_ms,
        )

    def give_back(self, connection: HttpConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        if not connection.can_reuse or not connection.is_quiet():
            connection.close()
            return
        if len(self._idle_by_address) >= MAX_ADDRESSES:
            self.close_idle()
        connection.idle_since_ms = self._clock.monotonic_ms()
        idle = self._idle_by_address.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                idle.pop().close()
        self._idle_by_address.clear()

    def _is_usable(self, connection: HttpConnection) -> bool:
        idle_ms = self._clock.monotonic_ms() - connection.idle_since_ms
        return idle_ms <= MAX_IDLE_MS and connection.is_quiet()
