"""Pass requests to one backend server unchanged, for comparison with an entry."""

from collections.abc import Callable, Iterator
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any
from uuid import uuid4

import click
from geventhttpclient import HTTPClient

from marjoramfall.listening import HttpServer

CONCURRENCY = 64
EVENT_END = b'\n\n'


class PassThrough:
    """Send each request on and relay its response; a WSGI callable."""

    def __init__(self, backend: str) -> None:
        host, _, port = backend.partition(':')
        self._client = HTTPClient(
            host, int(port), concurrency=CONCURRENCY, network_timeout=30
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer one request."""
        body = environ['wsgi.input'].read()
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': uuid4().hex,
        }
        response = self._client.request(
            environ['REQUEST_METHOD'], environ['PATH_INFO'], body, headers
        )
        kind = response.get('Content-Type') or ''
        if 'event-stream' in kind:
            start_response('200 OK', [('Content-Type', kind)])
            return iter(lambda: response.readline(EVENT_END), b'')
        answer = response.read()
        length = str(len(answer))
        start_response(f'{response.status_code} OK', [('Content-Length', length)])
        return iter((bytes(answer),))


class PassThroughServer(HttpServer):
    """Serve callers as the entry does, with small segments sent at once."""

    def handle(self, client_socket: Any, address: Any) -> None:
        """Serve one connection."""
        client_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle(client_socket, address)


@click.command()
@click.option('--listen', required=True)
@click.option('--backend', required=True)
def main(listen: str, backend: str) -> None:
    """Serve until the process is ended."""
    PassThroughServer(listen, PassThrough(backend), log=None).serve_forever()


if __name__ == '__main__':
    main()
