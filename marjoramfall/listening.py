"""Listen at addresses, with no need of a name server."""

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.pywsgi import WSGIServer


class CannotListenError(OSError):
    """Report an address of this process that cannot be bound."""

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f'{address}: {cause}')
        self.address = address


@contextmanager
def binding(address: str) -> Iterator[None]:
    """Raise `CannotListenError` if the body cannot bind the address."""
    try:
        yield
    except (OSError, OverflowError) as error:
        raise CannotListenError(address, error) from error


class HttpServer(WSGIServer):
    """Serve a WSGI application under the number of its address.

    The server of gevent looks up the name of the address before it listens.
    """

    def update_environ(self) -> None:
        """Fill in what all requests have in common."""
        self.environ.setdefault('SERVER_NAME', str(self.address[0]))
        super().update_environ()
