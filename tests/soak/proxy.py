"""Forward connections on loopback and disturb them from outside."""

from enum import Enum

from gevent import sleep, socket, spawn
from gevent.event import Event
from gevent.server import StreamServer

DELAY_S = 0.15
CHUNK_BYTES = 65536


class Disturbance(Enum):
    """Name what a proxy does to the bytes that pass it."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


class LoopbackProxy:
    """Forward to one address; `reset` breaks all open connections."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._calm = Event()
        self._calm.set()
        self._pairs: set[socket.socket] = set()
        self._disturbance = Disturbance.NONE
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def disturb(self, disturbance: Disturbance) -> None:
        """Treat all bytes so from now on."""
        self._disturbance = disturbance
        if disturbance in {Disturbance.NONE, Disturbance.DELAYED}:
            self._calm.set()
        else:
            self._calm.clear()

    def reset(self) -> None:
        """Break all open connections."""
        for connection in tuple(self._pairs):
            connection.close()

    def stop(self) -> None:
        """Accept nothing more and break what is open."""
        self._server.stop(timeout=0)
        self.reset()

    def _serve(self, caller: socket.socket, _address: object) -> None:
        try:
            target = socket.create_connection(self._target, timeout=1)
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        pair = (caller, target)
        self._pairs.update(pair)
        back = spawn(self._pump, target, caller, is_answer=True)
        self._pump(caller, target, is_answer=False)
        back.join()
        self._pairs.difference_update(pair)

    def _pump(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        try:
            self._copy(source, sink, is_answer=is_answer)
        except OSError:
            # Either side may break its connection at any time.
            source.close()
        finally:
            sink.close()

    def _copy(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        while True:
            part = source.recv(CHUNK_BYTES)
            if self._disturbance is Disturbance.DELAYED:
                sleep(DELAY_S)
            if is_answer or self._disturbance is Disturbance.SILENT:
                self._calm.wait()
            if not part:
                return
            sink.sendall(part)
