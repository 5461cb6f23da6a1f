"""Send the rest of a request while its response is read."""

from gevent import Greenlet, socket, spawn
from loguru import logger


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
        self._greenlet: Greenlet = spawn(self._run, unsent)

    def stop(self) -> None:
        """Send nothing more; may be called twice."""
        self._is_stopped = True
        self._greenlet.kill(block=False)

    def _run(self, unsent: memoryview) -> None:
        try:
            self.has_sent_all = self._send(unsent)
        except OSError as error:
            # The greenlet that reads gets a response, an error or a timeout.
            logger.bind(address=self._address, details=str(error)).debug(
                'the rest of a request was not sent'
            )

    def _send(self, unsent: memoryview) -> bool:
        """Return whether all was sent."""
        while unsent:
            socket.wait_write(self._socket.fileno())
            if self._is_stopped:
                return False
            unsent = unsent[self._socket.send(unsent) :]
        return True
