"""Keep idle connections to servers for the next request."""

from collections import deque

from marjoramfall.clock import Clock
from marjoramfall.gateway.backend_connection import BackendConnection


class ConnectionPool:
    """Reuse the connection that was used last and close those idle too long."""

    def __init__(self, clock: Clock, *, connect_timeout_ms: float) -> None:
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_by_key: dict[str, deque[BackendConnection]] = {}
        self.opened = 0

    def acquire(self, key: str, address: str) -> BackendConnection:
        """Return a quiet idle connection of the key or a new one."""
        idle = self._idle_by_key.get(key)
        now_ms = self._clock.monotonic_ms()
        while idle:
            connection = idle.pop()
            fresh = now_ms - connection.idle_since_ms < connection.idle_limit_ms
            if fresh and connection.address == address and connection.is_quiet():
                return connection
            connection.close()
        self.opened += 1
        return BackendConnection(address, connect_timeout_ms=self._connect_timeout_ms)

    def release(self, key: str, connection: BackendConnection) -> None:
        """Keep a connection that may carry another request."""
        self._idle_by_key.setdefault(key, deque()).append(connection)

    def drop(self, key: str) -> None:
        """Close every idle connection of the key."""
        for connection in self._idle_by_key.pop(key, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.monotonic_ms()
        for idle in self._idle_by_key.values():
            while idle and now_ms - idle[0].idle_since_ms >= idle[0].idle_limit_ms:
                idle.popleft().close()
