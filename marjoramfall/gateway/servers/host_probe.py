"""Tell whether the host of a silent server can be reached."""

from gevent import Greenlet, spawn
from loguru import logger

from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.connection_pool import ConnectionPool


class HostProbe:
    """Open a connection to a server beside the one on which it is silent.

    The host of a server that only pauses accepts it, that of one that is dark or
    behind a partition does not.
    """

    def __init__(self, pool: ConnectionPool, server: BackendServer) -> None:
        self._pool = pool
        self._server = server
        self._probing: Greenlet | None = None

    def start(self) -> None:
        """Begin to connect; a connection that opens is kept for later requests."""
        self._probing = spawn(self._connect)

    def has_failed(self) -> bool:
        """Return whether the server is known to be out of reach."""
        return (
            self._probing is not None
            and self._probing.ready()
            and not self._probing.value
        )

    def _connect(self) -> bool:
        try:
            self._pool.open_idle(self._server.server_id, self._server.address)
        except NotReachedError as error:
            logger.bind(server=self._server.server_id, details=str(error)).info(
                'silent server not reached'
            )
            return False
        return True
