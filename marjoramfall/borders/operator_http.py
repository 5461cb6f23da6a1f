"""Serve health, readiness, metrics and the operator interface."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

from gevent.pool import Pool

from marjoramfall.borders.caller_server import ErrorLog
from marjoramfall.listening import HttpServer
from marjoramfall.process.metrics import Metrics

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
PLAIN_TEXT = (('Content-Type', 'text/plain; charset=utf-8'),)
MAX_OPERATOR_CONNECTIONS = 200


class OperatorApplication:
    """Answer probes and scrapes, and pass the rest to the admin service."""

    def __init__(
        self,
        admin: WsgiApplication,
        metrics: Metrics,
        *,
        is_ready: Callable[[], bool],
    ) -> None:
        self._admin = admin
        self._metrics = metrics
        self._is_ready = is_ready

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request; a WSGI callable."""
        path = environ['PATH_INFO']
        if path == '/healthz':
            return _answer(start_response, HTTPStatus.OK, b'ok\n')
        if path == '/readyz':
            return self._readiness(start_response)
        if path == '/metrics':
            body, headers = self._metrics.render(environ.get('HTTP_ACCEPT', ''))
            start_response(_status_line(HTTPStatus.OK), headers)
            return [body]
        return self._admin(environ, start_response)

    def _readiness(self, start_response: Callable[..., Any]) -> Iterable[bytes]:
        if self._is_ready():
            return _answer(start_response, HTTPStatus.OK, b'ready\n')
        return _answer(start_response, HTTPStatus.SERVICE_UNAVAILABLE, b'not ready\n')


class OperatorServer(HttpServer):
    """Accept operators, probes and scrapes."""

    def __init__(self, listener: Any, application: WsgiApplication) -> None:
        super().__init__(
            listener,
            application,
            log=None,
            error_log=ErrorLog(),
            spawn=Pool(MAX_OPERATOR_CONNECTIONS),
        )

    def handle(self, client_socket: Any, address: Any) -> None:
        """Serve one connection, sending small segments at once."""
        client_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle(client_socket, address)


def _answer(
    start_response: Callable[..., Any], status: HTTPStatus, body: bytes
) -> Iterable[bytes]:
    start_response(_status_line(status), list(PLAIN_TEXT))
    return [body]


def _status_line(status: HTTPStatus) -> str:
    return f'{status.value} {status.phrase}'
