"""Serve short documents: readiness, metrics and snapshots."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent.pywsgi import WSGIServer

from marjoramfall.gateway.backend_connection import split_address

REASONS = {200: '200 OK', 404: '404 Not Found', 503: '503 Service Unavailable'}


@dataclass(frozen=True, slots=True)
class InternalResponse:
    """Hold an answer of a small server."""

    status: int
    content_type: str
    body: bytes


class InternalHttpServer:
    """Answer GET requests by path."""

    def __init__(
        self, address: str, producer_by_path: dict[str, Callable[[], InternalResponse]]
    ) -> None:
        self._producer_by_path = producer_by_path
        self._server = WSGIServer(
            split_address(address), self._answer, log=None, error_log=None
        )

    def start(self) -> None:
        """Start to listen; raises `OSError`."""
        self._server.start()

    def _answer(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        produce = self._producer_by_path.get(environ['PATH_INFO'])
        document = produce() if produce else InternalResponse(404, 'text/plain', b'')
        start_response(
            REASONS[document.status],
            [
                ('Content-Type', document.content_type),
                ('Content-Length', str(len(document.body))),
            ],
        )
        return [document.body]
