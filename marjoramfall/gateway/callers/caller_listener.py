"""Accept the connections of callers and end them at a planned stop."""

from gevent import socket
from gevent.server import StreamServer

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.body_budget import BodyBudget
from marjoramfall.gateway.callers.caller_connection import (
    CallerConnection,
    RequestHandler,
)
from marjoramfall.gateway.servers.backend_connection import split_address
from marjoramfall.listening import binding

CALLER_BACKLOG = 512


class CallerListener:
    """Serve each connection of a caller in a greenlet of its own."""

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        clock: Clock,
        *,
        bodies: BodyBudget,
    ) -> None:
        self._address = address
        self._handler = handler
        self._clock = clock
        self._bodies = bodies
        self._connections: set[CallerConnection] = set()
        self._server = StreamServer(
            split_address(address), self._serve, backlog=CALLER_BACKLOG
        )

    @property
    def connections(self) -> tuple[CallerConnection, ...]:
        """Return the open connections."""
        return tuple(self._connections)

    def start(self) -> None:
        """Start listening; raises `CannotListenError`."""
        with binding(self._address):
            self._server.start()

    def stop_accepting(self) -> None:
        """Leave new connections in the backlog."""
        self._server.stop_accepting()

    def accept_pending(self) -> bool:
        """Serve the connections that wait in the backlog; return whether any did.

        The system resets those that are left when the listener is closed.
        """
        accepted = self._server.do_read()
        found = accepted is not None
        while accepted is not None:
            self._server.do_handle(*accepted)
            accepted = self._server.do_read()
        return found

    def close_idle(self) -> None:
        """Close the connections on which no request is read or answered."""
        for connection in self.connections:
            if connection.is_idle:
                connection.close()

    def end_work(self) -> None:
        """Let all requests be answered at once that are still being served."""
        for connection in self.connections:
            connection.end_work()

    def close(self) -> None:
        """Serve what waits in the backlog and close the listener."""
        self._server.stop_accepting()
        self.accept_pending()
        self._server.close()

    def _serve(self, accepted: socket.socket, _address: tuple[str, int]) -> None:
        connection = CallerConnection(
            accepted,
            self._handler,
            self._clock,
            bodies=self._bodies,
            on_end=self._connections.discard,
        )
        self._connections.add(connection)
        connection.run()
