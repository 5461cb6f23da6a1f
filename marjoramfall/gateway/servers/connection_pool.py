"""Pool idle connections to backend servers."""

from collections import deque

from marjoramfall.clock import Clock
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    ConnectionRefusedByServerError,
    NotReachedError,
)

# The rest is left for connections in use and for entries that are not known yet.
MAX_IDLE_SHARE = 0.8
# A path that is cut may accept a connection and reset it just after.
SETTLING_MS = 10.0
SETTLING_STEP_MS = 5.0


def max_idle_connections(max_connections: int, *, slots: int, entry_count: int) -> int:
    """Return how many idle connections to a server one entry may keep.

    A server resets connections beyond `max_connections`, which counts those of
    all entries; 0 means that it has no limit. One connection for each of the
    server's `slots` is left for requests that it runs.
    """
    if not max_connections:
        return slots
    available = MAX_IDLE_SHARE * max_connections - slots
    return max(0, min(int(available / entry_count), max_connections))


class ConnectionPool:
    """Reuse the most recently used connection and close expired ones."""

    def __init__(self, clock: Clock, *, connect_timeout_ms: float) -> None:
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_by_server: dict[str, deque[BackendConnection]] = {}
        self._max_idle_by_server: dict[str, int] = {}
        self.opened_count = 0

    def acquire(self, server_id: str, address: str) -> BackendConnection:
        """Return a reusable connection or a new one; raises `NotReachedError`."""
        idle = self._idle_by_server.get(server_id)
        now_ms = self._clock.monotonic_ms()
        while idle:
            connection = idle.pop()
            is_fresh = now_ms - connection.idle_since_ms < connection.idle_timeout_ms
            if is_fresh and connection.address == address and connection.is_reusable():
                return connection
            connection.close()
        return self._open(address)

    def is_refused(self, server_id: str, address: str) -> bool:
        """Return whether no process listens at the address any more.

        A server that can't be reached otherwise may be running behind a partition.
        """
        try:
            self.open_idle(server_id, address)
        except ConnectionRefusedByServerError:
            return True
        except NotReachedError:
            return False
        return False

    def open_idle(self, server_id: str, address: str) -> None:
        """Open a connection and keep it for a request; raises `NotReachedError`."""
        connection = self._open(address)
        connection.idle_since_ms = self._clock.monotonic_ms()
        self.release(server_id, connection)

    def open_kept(
        self, server_id: str, address: str, settling_ms: float = SETTLING_MS
    ) -> None:
        """Open a connection that is not ended just after, and keep it for a request.

        Raises `NotReachedError`.
        """
        connection = self._open(address)
        settled_ms = self._clock.monotonic_ms() + settling_ms
        while connection.is_reusable() and self._clock.monotonic_ms() < settled_ms:
            self._clock.sleep_ms(SETTLING_STEP_MS)
        if not connection.is_reusable():
            connection.close()
            raise NotReachedError(f'{address}: ended just after it was opened')
        connection.idle_since_ms = self._clock.monotonic_ms()
        self.release(server_id, connection)

    def set_max_idle(self, server_id: str, limit: int) -> None:
        """Limit how many idle connections to the server are kept."""
        self._max_idle_by_server[server_id] = limit

    def release(self, server_id: str, connection: BackendConnection) -> None:
        """Return a connection that can be reused to the pool."""
        idle = self._idle_by_server.setdefault(server_id, deque())
        idle.append(connection)
        self._close_surplus(server_id, idle)

    def close_idle(self, server_id: str) -> None:
        """Close all idle connections to the server."""
        for connection in self._idle_by_server.pop(server_id, ()):
            connection.close()

    def remove(self, server_id: str) -> None:
        """Close the idle connections to a removed server and drop its limit."""
        self._max_idle_by_server.pop(server_id, None)
        self.close_idle(server_id)

    def close_expired(self) -> None:
        """Close idle connections that timed out or exceed the limit."""
        now_ms = self._clock.monotonic_ms()
        for server_id, idle in self._idle_by_server.items():
            self._close_surplus(server_id, idle)
            while idle and now_ms - idle[0].idle_since_ms >= idle[0].idle_timeout_ms:
                idle.popleft().close()

    def _open(self, address: str) -> BackendConnection:
        self.opened_count += 1
        return BackendConnection(address, connect_timeout_ms=self._connect_timeout_ms)

    def _close_surplus(self, server_id: str, idle: deque[BackendConnection]) -> None:
        limit = self._max_idle_by_server.get(server_id)
        while limit is not None and len(idle) > limit:
            idle.popleft().close()
