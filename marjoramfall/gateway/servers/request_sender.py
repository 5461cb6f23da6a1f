"""Send the rest of a request while its response is read."""

import errno

from gevent import Greenlet, socket, spawn
from loguru import logger

from marjoramfall.gateway.servers.socket_state import has_failed


class RequestSender:
    """Send in a greenlet beside the one that reads from the same socket.

    The timeouts of the reader don't apply to it: it ends as all is sent, the
    connection fails or `stop` is called.
    """

    def __init__(
        self, connection: socket.socket, unsent: memoryview, *, address: str
    ) -> None:
        self._socket = connection
        self._address = address
        self._is_stopped = False
        self.has_sent_all = False
        # The system reports a reset once: the reader then finds a plain end.
        self.was_reset = False
        self._greenlet: Greenlet = spawn(self._run, unsent)

    def stop(self) -> None:
        """Send nothing more; may be called twice."""
        self._is_stopped = True
        self._greenlet.kill(block=False)

    def _run(self, unsent: memoryview) -> None:
        try:
            self.has_sent_all = self._send(unsent)
        except OSError as error:
            # A broken pipe follows an end of the server's bytes, which is no reset.
            self.was_reset = error.errno != errno.EPIPE
            self._log_failure(str(error))

    def _send(self, unsent: memoryview) -> bool:
        """Return whether all was sent."""
        while unsent:
            socket.wait_write(self._socket.fileno())
            if self._is_stopped:
                return False
            if has_failed(self._socket):
                # Left to the reader, to which the end would look proper otherwise.
                self._log_failure('the connection has failed')
                return False
            unsent = unsent[self._socket.send(unsent) :]
        return True

    def _log_failure(self, details: str) -> None:
        logger.bind(address=self._address, details=details).debug(
            'the rest of a request was not sent'
        )
