"""Forward loopback connections and inject link faults."""

from enum import Enum

from gevent import sleep, socket, spawn
from gevent.event import Event
from gevent.server import StreamServer

DELAY_S = 0.15
CHUNK_BYTES = 65536


class LinkFault(Enum):
    """List the faults that a proxy can inject; `ONE_WAY` blocks only responses."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


class LoopbackProxy:
    """Forward connections to one address."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._may_forward = Event()
        self._may_forward.set()
        self._connections: set[socket.socket] = set()
        self._fault = LinkFault.NONE
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def apply_fault(self, fault: LinkFault) -> None:
        """Apply a fault to all connections until the next call."""
        self._fault = fault
        if fault in {LinkFault.NONE, LinkFault.DELAYED}:
            self._may_forward.set()
        else:
            self._may_forward.clear()

    def reset(self) -> None:
        """Close all open connections."""
        for connection in tuple(self._connections):
            connection.close()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.stop(timeout=0)
        self.reset()

    def _serve(self, client: socket.socket, _address: object) -> None:
        try:
            target = socket.create_connection(self._target, timeout=1)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        pair = (client, target)
        self._connections.update(pair)
        response_task = spawn(self._forward, target, client, is_response=True)
        self._forward(client, target, is_response=False)
        response_task.join()
        self._connections.difference_update(pair)

    def _forward(
        self, source: socket.socket, sink: socket.socket, *, is_response: bool
    ) -> None:
        try:
            self._copy(source, sink, is_response=is_response)
        except OSError:
            # Either side may close its connection at any time.
            source.close()
        finally:
            sink.close()

    def _copy(
        self, source: socket.socket, sink: socket.socket, *, is_response: bool
    ) -> None:
        while True:
            chunk = source.recv(CHUNK_BYTES)
            if self._fault is LinkFault.DELAYED:
                sleep(DELAY_S)
            if is_response or self._fault is LinkFault.SILENT:
                self._may_forward.wait()
            if not chunk:
                return
            sink.sendall(chunk)
