"""Serve small HTTP applications on gevent's WSGI server."""

import select
import socket
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qsl, unquote

import msgspec
from gevent.pywsgi import WSGIHandler
from loguru import logger

from marjoramfall.listening import HttpServer

Decoded = TypeVar('Decoded')

REQUEST_ID_HEADER = 'X-Request-Id'
CONNECTION_KEY = 'standin.connection'
BACKLOG = 1024
LEVEL = 'INFO'


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Hold one request; the body is read completely."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    connection: socket.socket

    def header(self, name: str) -> str:
        """Return a header, or an empty text; `name` as in `Last-Event-ID`."""
        return self.headers.get(name.upper().replace('-', '_'), '')


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Hold one response; the body may be produced piece by piece."""

    status: int = HTTPStatus.OK
    body: bytes | Iterator[bytes] = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = field(default=())


class HttpError(Exception):
    """End a request with a status and a JSON error."""

    def __init__(
        self, status: int, code: str, *, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.headers = headers

    def to_response(self) -> Response:
        """Return the response that reports this error."""
        return Response(
            status=self.status,
            body=msgspec.json.encode({'error': {'code': self.code}}),
            headers=self.headers,
        )


def json_response(body: object, *, status: int = HTTPStatus.OK) -> Response:
    """Return a response with a JSON body."""
    return Response(status=status, body=msgspec.json.encode(body))


def decode_json(body: bytes, kind: type[Decoded]) -> Decoded:
    """Return the body as `kind`; raises `HttpError` 400 if it does not fit."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise HttpError(HTTPStatus.BAD_REQUEST, f'invalid body: {error}') from error


def is_closed(connection: socket.socket) -> bool:
    """Return whether the peer closed the connection, without waiting."""
    try:
        readable = select.select([connection.fileno()], [], [], 0)[0]
        return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


def break_connection(connection: socket.socket) -> None:
    """Close the connection at once, as a crash of the server would."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        logger.debug('connection was already closed')


class Application(ABC):
    """Adapt `handle` to WSGI."""

    def __call__(
        self, environ: Mapping[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        request = _read_request(environ)
        try:
            response = self.handle(request)
        except HttpError as error:
            response = error.to_response()
        body = response.body
        headers = [('Content-Type', response.content_type), *response.headers]
        headers.append((REQUEST_ID_HEADER, request.header(REQUEST_ID_HEADER)))
        if isinstance(body, bytes):
            headers.append(('Content-Length', str(len(body))))
            body = iter((body,))
        status = HTTPStatus(response.status)
        start_response(f'{status.value} {status.phrase}', headers)
        return body

    @abstractmethod
    def handle(self, request: Request) -> Response:
        """Return the response; may raise `HttpError`."""


def _read_request(environ: Mapping[str, object]) -> Request:
    return Request(
        method=environ['REQUEST_METHOD'],
        path=unquote(environ['PATH_INFO']),
        query=dict(parse_qsl(environ['QUERY_STRING'], keep_blank_values=True)),
        headers={
            name.removeprefix('HTTP_'): text
            for name, text in environ.items()
            if name.startswith('HTTP_')
        },
        body=environ['wsgi.input'].read(),
        connection=environ[CONNECTION_KEY],
    )


class ConnectionHandler(WSGIHandler):
    """Give applications the connection of their request."""

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment with the connection."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


class NoDelayServer(HttpServer):
    """Set TCP_NODELAY on accepted connections.

    Head and body leave in separate writes; without the option the body waits
    for a delayed acknowledgement of about 44 ms.
    """

    def __init__(self, address: str, application: Application) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            backlog=BACKLOG,
            handler_class=ConnectionHandler,
        )

    def handle(self, client_socket: socket.socket, address: object) -> None:
        """Serve one connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)


def serve(address: str, application: Application, **details: object) -> None:
    """Serve an application until the process is ended; logs JSON lines."""
    logger.remove()
    logger.add(sys.stderr, serialize=True, level=LEVEL)
    server = NoDelayServer(address, application)
    logger.bind(address=address, **details).info('listening')
    server.serve_forever()
