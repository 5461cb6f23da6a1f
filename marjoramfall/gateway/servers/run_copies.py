"""Ask a backend server to copy a run to another server, or to drop a copy."""

from contextlib import closing

from loguru import logger

from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    NotReachedError,
)
from marjoramfall.gateway.servers.copy_messages import (
    CopyEnding,
    CopyOrder,
    CopyResult,
)

CONNECT_TIMEOUT_MS = 250.0
# A copy waits behind others on both links.
COPY_TIMEOUT_MS = 2000.0
# A call that stops the run, while its caller waits for the next event.
STOP_TIMEOUT_MS = 1500.0
DROP_TIMEOUT_MS = 1000.0


class RunCopies:
    """Send calls about copies on connections of their own.

    Only the answer to the call can arrive there, none to an earlier request.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect

    def copy(self, order: CopyOrder) -> CopyResult:
        """Return what the source answered once the copy was complete."""
        timeout_ms = STOP_TIMEOUT_MS if order.stops_run else COPY_TIMEOUT_MS
        message = self._dialect.encode_copy(order)
        try:
            return self._call(order.source, message, timeout_ms)
        except NotReachedError as error:
            return CopyResult(CopyEnding.NOT_REACHED, reason=str(error))
        except BrokenExchangeError as error:
            return CopyResult(CopyEnding.LOST, reason=str(error))

    def drop(self, source: BackendServer, handle: str) -> None:
        """Free a copy at both servers; one that isn't reached frees it later."""
        message = self._dialect.encode_copy_drop(source, handle)
        reason = 'freed'
        try:
            reason = self._call(source, message, DROP_TIMEOUT_MS).reason
        except (NotReachedError, BrokenExchangeError) as error:
            reason = str(error)
        logger.bind(server=source.server_id, reason=reason).info('copy of a run freed')

    def _call(
        self, server: BackendServer, message: bytes, timeout_ms: float
    ) -> CopyResult:
        connection = BackendConnection(
            server.address, connect_timeout_ms=CONNECT_TIMEOUT_MS
        )
        with closing(connection):
            connection.send(message)
            response = connection.read_response(timeout_ms)
            body = connection.read_all(response, timeout_ms)
        return self._dialect.read_copy_result(response, body)
