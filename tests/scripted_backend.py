"""Serve scripted bytes in place of a backend server."""

from collections.abc import Callable
from contextlib import suppress

from gevent.server import StreamServer

Script = Callable[['Exchange'], None]


class Exchange:
    """Let a script answer one request on one connection."""

    def __init__(self, sock, head: bytes, body: bytes, connection: int) -> None:
        self.sock = sock
        self.head = head
        self.body = body
        self.connection = connection

    def write(self, text: bytes) -> None:
        self.sock.sendall(text)

    def respond(self, body: bytes, status: str = '200 OK', head: str = '') -> None:
        lines = f'HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n'
        self.write(lines.encode() + body)

    def start_stream(self) -> None:
        self.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')

    def event(self, event_id: str, data: str) -> None:
        block = f'id: {event_id}\ndata: {data}\n\n'.encode()
        self.write(f'{len(block):x}\r\n'.encode() + block + b'\r\n')

    def end_stream(self, request_id: str, index: int) -> None:
        self.event(f'{request_id}:{index}', '[DONE]')
        self.write(b'0\r\n\r\n')


class ScriptedBackend:
    """Run a script for each request; the last one repeats.

    A script that returns False closes the connection.
    """

    def __init__(self, *scripts: Script) -> None:
        self.heads: list[bytes] = []
        self.connections = 0
        self._scripts = list(scripts)
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def count(self, method: str) -> int:
        return sum(head.startswith(method.encode()) for head in self.heads)

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        connection = self.connections
        with sock.makefile('rb') as requests, suppress(OSError):
            while True:
                head = self._read_head(requests)
                if not head:
                    return
                body = requests.read(self._body_length(head))
                self.heads.append(head)
                script = self._scripts[0]
                if len(self._scripts) > 1:
                    self._scripts.pop(0)
                if script(Exchange(sock, head, body, connection)) is False:
                    return

    def _read_head(self, requests) -> bytes:
        head = b''
        for line in requests:
            head += line
            if line == b'\r\n':
                return head
        return b''

    def _body_length(self, head: bytes) -> int:
        for line in head.lower().splitlines():
            if line.startswith(b'content-length:'):
                return int(line.partition(b':')[2])
        return 0
