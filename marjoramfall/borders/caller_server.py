"""Serve callers over HTTP/1.1 with limits on connections and on waiting."""

from collections.abc import Callable
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler
from loguru import logger

from marjoramfall.borders.caller_errors import CallerWriteTimeoutError
from marjoramfall.borders.caller_parsing import RAW_PATH
from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.listening import HttpServer
from marjoramfall.request.dispatch_attempt import CallerGoneError

CALLER_SOCKET = 'marjoramfall.caller_socket'
IDLE_TIMEOUT_SECONDS = 75
HEAD_TIMEOUT_SECONDS = 10
# Long enough for a caller to read why its body was refused; an immediate
# close would reset the connection under the response.
DISCARD_TIMEOUT_SECONDS = 1


class CallerInput(Input):
    """Bound how long the rest of a refused body is awaited."""

    def __init__(self, original: Input) -> None:
        super().__init__(
            original.rfile,
            original.content_length,
            original.socket,
            original.chunked_input,
        )
        self.is_cut = False

    def _discard(self) -> None:
        with gevent.Timeout(DISCARD_TIMEOUT_SECONDS, exception=False):
            super()._discard()
            return
        self.is_cut = True


class CallerHandler(WSGIHandler):
    """Bound how long a caller may take to send a head or read a response."""

    def read_requestline(self) -> Any:
        """Return the request line; empty when the connection stays idle."""
        with gevent.Timeout(IDLE_TIMEOUT_SECONDS, exception=False):
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: Any) -> Any:
        """Return whether the head is valid; a slow one is not."""
        with gevent.Timeout(HEAD_TIMEOUT_SECONDS, exception=False):
            return super().read_request(raw_requestline)
        return False

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the raw path and the socket."""
        environ = super().get_environ()
        self.wsgi_input = CallerInput(self.wsgi_input)
        environ['wsgi.input'] = self.wsgi_input
        environ[RAW_PATH] = self.path
        environ[CALLER_SOCKET] = self.socket
        return environ

    def handle_one_response(self) -> Any:
        """Answer a request; close after one whose body was not read whole."""
        answered = super().handle_one_response()
        if self.wsgi_input.is_cut:
            self.close_connection = True
        return answered

    def handle_error(self, kind: Any, error: Any, trace: Any) -> Any:
        """Close the connections of callers that stopped reading or left."""
        if isinstance(error, CallerWriteTimeoutError | CallerGoneError):
            self.server.count(error.code)
            self.close_connection = True
            return None
        return super().handle_error(kind, error, trace)

    def _sendall(self, data: Any) -> Any:
        late = CallerWriteTimeoutError('the caller does not read its response')
        with gevent.Timeout(self.server.write_timeout_seconds, late):
            return super()._sendall(data)


class CallerServer(HttpServer):
    """Accept callers up to a limit of connections."""

    def __init__(
        self,
        listener: Any,
        application: Callable[..., Any],
        *,
        count: Callable[[str], None],
        max_connections: int = 2000,
        write_timeout_ms: int = 30_000,
    ) -> None:
        super().__init__(
            listener,
            application,
            log=None,
            error_log=ErrorLog(),
            spawn=Pool(max_connections),
            handler_class=CallerHandler,
        )
        self.count = count
        self.write_timeout_seconds = write_timeout_ms / MS_PER_SECOND

    @property
    def connection_count(self) -> int:
        """Return how many connections are being served."""
        return len(self.pool)

    def handle(self, client_socket: Any, address: Any) -> None:
        """Serve one connection, sending small segments at once."""
        # Head and body are separate writes; without this option a response
        # waits about 44 ms for a delayed acknowledgement.
        client_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle(client_socket, address)


class ErrorLog:
    """Pass the server's error lines to the log."""

    def write(self, text: str) -> None:
        """Log a text of one or more lines."""
        line = text.strip()
        if line:
            logger.warning('caller server: {}', line)

    def flush(self) -> None:
        """Keep nothing back."""
