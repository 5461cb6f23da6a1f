"""Provide a stand-in of a backend server that counts the runs of requests."""

import random
from collections import Counter

from gevent import sleep, socket
from gevent.server import StreamServer

EVENT_COUNT = 6
EVENT_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.01
# The share of requests that are rejected, and equally of those that end with a
# closed connection and, except for streams, of those with a duplicate response.
FAULT_PERCENT = 4


class CountingBackend:
    """Run requests and count the runs of each attempt."""

    def __init__(self, server_id: str, runs: Counter[str], rng: random.Random) -> None:
        self.server_id = server_id
        self._runs = runs
        self._rng = rng
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _address: object) -> None:
        try:
            with connection.makefile('rb') as reader:
                self._serve_requests(connection, reader)
        except OSError:
            # The entry or the proxy broke the connection.
            connection.close()

    def _serve_requests(self, connection: socket.socket, reader) -> None:
        is_open = True
        while is_open:
            head = _read_head(reader)
            if not head:
                return
            is_open = self._serve_request(connection, head)

    def _serve_request(self, connection: socket.socket, head: dict[str, str]) -> bool:
        attempt_id = head.get('marjoramfall-attempt-id', '')
        echo = f'Marjoramfall-Attempt-Id: {attempt_id}\r\n'
        if head.get('marjoramfall-expect-instance') != self.server_id:
            self._send_response(connection, '421 Misdirected', '', b'')
            return True
        draw = self._rng.randrange(100)
        if draw < FAULT_PERCENT:
            rejected = f'{echo}Marjoramfall-Not-Executed: 1\r\n'
            self._send_response(connection, '503 Full', rejected, b'')
            return True
        self._runs[attempt_id] += 1
        if draw < 2 * FAULT_PERCENT:
            connection.close()
            return False
        sleep(SERVICE_TIME_S)
        if head['path'].startswith('/summary'):
            return self._stream(connection, attempt_id, echo, is_cut=draw > 90)
        if draw < 3 * FAULT_PERCENT:
            # A duplicate response to the same request.
            self._send_response(connection, '200 OK', echo, attempt_id.encode())
        self._send_response(connection, '200 OK', echo, attempt_id.encode())
        return True

    def _stream(
        self, connection: socket.socket, attempt_id: str, echo: str, *, is_cut: bool
    ) -> bool:
        head = f'HTTP/1.1 200 OK\r\n{echo}Transfer-Encoding: chunked\r\n\r\n'
        connection.sendall(head.encode())
        for number in range(1, EVENT_COUNT + 1):
            event = f'id: {number}\ndata: {attempt_id}\n\n'
            # A cut stream lacks its last event.
            if is_cut and number == EVENT_COUNT:
                connection.close()
                return False
            connection.sendall(f'{len(event):x}\r\n{event}\r\n'.encode())
            sleep(EVENT_INTERVAL_S)
        connection.sendall(b'0\r\n\r\n')
        return True

    def _send_response(
        self, connection: socket.socket, status: str, headers: str, body: bytes
    ) -> None:
        head = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n'
        connection.sendall(head.encode() + body)


def _read_head(reader) -> dict[str, str]:
    first = reader.readline().decode().split()
    if len(first) < 3:
        return {}
    head = {'path': first[1]}
    for line in reader:
        name, _, value = line.decode().strip().partition(':')
        if not name:
            break
        head[name.lower()] = value.strip()
    reader.read(int(head.get('content-length', 0)))
    return head
