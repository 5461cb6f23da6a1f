"""Stand in for an engine that answers plain requests."""

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from socketserver import StreamRequestHandler, ThreadingTCPServer

from review.harness3.wire import BrokenMessageError, Message, encode, read_message

LOOPBACK = '127.0.0.1'
ATTEMPT_ID = 'marjoramfall-attempt-id'
EXPECTED_ID = 'marjoramfall-expect-instance'
MS_PER_SECOND = 1000


class EngineDownError(OSError):
    """End a connection of an engine that is not running any more."""


@dataclass(frozen=True)
class Run:
    """Record that an engine began to work on a request."""

    engine: str
    attempt_id: str
    target: str
    at_s: float


@dataclass(frozen=True)
class Reply:
    """Hold what an engine answers."""

    status: int = 200
    body: bytes = b'{}'
    delay_s: float = 0


Script = Callable[[Message], Reply]


class Engine:
    """Serve requests on a loopback address and record those that run."""

    def __init__(
        self, engine_id: str, script: Script, *, service: str, version: str = 'v1'
    ) -> None:
        self.engine_id = engine_id
        self.service = service
        self.version = version
        self.born_ms = int(time.time() * MS_PER_SECOND)
        self.runs: list[Run] = []
        self.script = script
        self._sequence = 0
        self._server = self._serve((LOOPBACK, 0))
        self.address = f'{LOOPBACK}:{self._server.server_address[1]}'

    def entry(self, state: str = 'ready', slots: int = 6) -> dict[str, object]:
        """Return what the engine writes into the store."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'dc-a',
            'version': self.version,
            'slots': slots,
            'state': state,
            'coldRemainingMs': 0,
            'born': self.born_ms,
            'seq': self._sequence,
        }

    def crash(self) -> None:
        """End at once: open connections end, new ones are refused."""
        self._server.shutdown()
        self._server.server_close()
        self._server.end_connections()

    def start_again(self) -> None:
        """Serve at the same address again."""
        self._server = self._serve(self._server.server_address)

    def answer(self, request: Message) -> bytes:
        """Run a request, or reject it, and return the encoded response."""
        expected_id = request.headers.get(EXPECTED_ID, self.engine_id)
        if expected_id != self.engine_id:
            headers = {'Marjoramfall-Instance-Id': self.engine_id}
            return self.respond(request, 421, headers)
        return self.run(request)

    def run(self, request: Message) -> bytes:
        """Work on a request and return the encoded response."""
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        run = Run(self.engine_id, attempt_id, request.target, time.monotonic())
        self.runs.append(run)
        reply = self.script(request)
        time.sleep(reply.delay_s)
        headers = {'Marjoramfall-Response-Seal': f'seal.{self.engine_id}.{attempt_id}'}
        return self.respond(request, reply.status, headers, reply.body)

    def respond(
        self,
        request: Message,
        status: int,
        headers: dict[str, object],
        body: bytes = b'',
    ) -> bytes:
        """Return an encoded response, which names the attempt."""
        named = {'Marjoramfall-Attempt-Id': request.headers.get(ATTEMPT_ID, '')}
        length = {'Content-Length': len(body)}
        return encode(f'HTTP/1.1 {status} X', {**named, **headers, **length}, body)

    def _serve(self, address: tuple[str, int]) -> '_EngineServer':
        server = _EngineServer(address, _EngineHandler)
        server.engine = self
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server


class _EngineServer(ThreadingTCPServer):
    """Keep the connections, so that they end with the engine."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, *words: object) -> None:
        super().__init__(*words)
        self.open_sockets: set[socket.socket] = set()

    def end_connections(self) -> None:
        """End all open connections."""
        for connection in tuple(self.open_sockets):
            # The caller may have ended it before.
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _EngineHandler(StreamRequestHandler):
    """Answer the requests of one connection in turn."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """Answer requests until the connection ends."""
        self.server.open_sockets.add(self.connection)
        try:
            self._answer_all()
        except (OSError, BrokenMessageError):
            # The caller has ended the connection, or the engine has crashed.
            return

    def finish(self) -> None:
        """Forget the connection."""
        self.server.open_sockets.discard(self.connection)

    def _answer_all(self) -> None:
        request = read_message(self.rfile)
        while request is not None:
            self.wfile.write(self.server.engine.answer(request))
            request = read_message(self.rfile)
