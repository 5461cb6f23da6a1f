"""Serve readiness, metrics and snapshots over HTTP."""

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent import sleep

from marjoramfall.gateway.servers.backend_connection import split_address
from marjoramfall.listening import HttpServer, binding

# Below this, the bytes saved are not worth the time.
MIN_COMPRESSED_BYTES = 4096
FASTEST_LEVEL = 1
DEFLATE = 'deflate'
STATUS_LINES = {200: '200 OK', 404: '404 Not Found', 503: '503 Service Unavailable'}


@dataclass(frozen=True, slots=True)
class InternalResponse:
    """Hold the status, content type and body of a response."""

    status: int
    content_type: str
    body: bytes


class InternalHttpServer:
    """Answer requests by path; the method is ignored.

    Long bodies are compressed for clients that accept it: a configuration with many
    routes takes most of a second on a slow link otherwise.
    """

    def __init__(
        self, address: str, handler_by_path: dict[str, Callable[[], InternalResponse]]
    ) -> None:
        self._address = address
        self._handler_by_path = handler_by_path
        self._server = HttpServer(
            split_address(address), self._handle, log=None, error_log=None
        )

    def start(self) -> None:
        """Start listening; raises `CannotListenError`."""
        with binding(self._address):
            self._server.start()

    def _handle(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        # Requests that are at hand already are read without a switch to others.
        sleep(0)
        handler = self._handler_by_path.get(environ['PATH_INFO'])
        response = handler() if handler else InternalResponse(404, 'text/plain', b'')
        headers = [('Content-Type', response.content_type)]
        body = response.body
        accepts_deflate = DEFLATE in environ.get('HTTP_ACCEPT_ENCODING', '')
        if accepts_deflate and len(body) >= MIN_COMPRESSED_BYTES:
            body = zlib.compress(body, FASTEST_LEVEL)
            headers.append(('Content-Encoding', DEFLATE))
        headers.append(('Content-Length', str(len(body))))
        start_response(STATUS_LINES[response.status], headers)
        return [body]
