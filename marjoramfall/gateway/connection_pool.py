"""Keep idle connections to servers for the next request."""

from collections import deque

from marjoramfall.clock import Clock
from marjoramfall.gateway.backend_connection import BackendConnection

# The rest is for connections in use and those of entries not met yet.
MAX_IDLE_SHARE = 0.8


def max_idle_connections(max_connections: int, *, slots: int, entry_count: int) -> int:
    """Return how many idle connections to a server one entry may keep.

    A server resets connections beyond its limit, which counts those of all
    entries; a limit of 0 means that it has none.
    """
    if not max_connections:
        return slots
    available = MAX_IDLE_SHARE * max_connections - slots
    return max(0, min(int(available / entry_count), max_connections))


class ConnectionPool:
    """Reuse the connection that was used last and close those idle too long."""

    def __init__(self, clock: Clock, *, connect_timeout_ms: float) -> None:
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_by_server: dict[str, deque[BackendConnection]] = {}
        self._max_idle_by_server: dict[str, int] = {}
        self.opened_count = 0

    def acquire(self, server_id: str, address: str) -> BackendConnection:
        """Return a quiet idle connection of the key or a new one."""
        idle = self._idle_by_server.get(server_id)
        now_ms = self._clock.monotonic_ms()
        while idle:
            connection = idle.pop()
            is_fresh = now_ms - connection.idle_since_ms < connection.idle_timeout_ms
            if is_fresh and connection.address == address and connection.is_reusable():
                return connection
            connection.close()
        self.opened_count += 1
        return BackendConnection(address, connect_timeout_ms=self._connect_timeout_ms)

    def set_max_idle(self, server_id: str, limit: int) -> None:
        """Bound how many idle connections of the key are kept."""
        self._max_idle_by_server[server_id] = limit

    def release(self, server_id: str, connection: BackendConnection) -> None:
        """Keep a connection that may carry another request."""
        idle = self._idle_by_server.setdefault(server_id, deque())
        idle.append(connection)
        self._close_surplus(server_id, idle)

    def close_idle(self, server_id: str) -> None:
        """Close every idle connection of the key."""
        for connection in self._idle_by_server.pop(server_id, ()):
            connection.close()

    def remove(self, server_id: str) -> None:
        """Close the connections of a key that is not used any more."""
        self._max_idle_by_server.pop(server_id, None)
        self.close_idle(server_id)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.monotonic_ms()
        for server_id, idle in self._idle_by_server.items():
            self._close_surplus(server_id, idle)
            while idle and now_ms - idle[0].idle_since_ms >= idle[0].idle_timeout_ms:
                idle.popleft().close()

    def _close_surplus(self, server_id: str, idle: deque[BackendConnection]) -> None:
        limit = self._max_idle_by_server.get(server_id)
        while limit is not None and len(idle) > limit:
            idle.popleft().close()
