"""Send requests as callers do and note what they were told."""

from dataclasses import dataclass

from gevent import socket

from tests.soak.backend import EVENTS

CALL_TIMEOUT_S = 4
RECEIVE_BYTES = 65536
PROMISED_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold what one attempt got; `status` is 0 without a whole answer."""

    attempt: str
    path: str
    status: int
    body: bytes

    @property
    def promises_not_run(self) -> bool:
        """Return whether the answer says that the request has not run."""
        return self.status in PROMISED_NOT_RUN


def ask(address: tuple[str, int], attempt: str, method: str, path: str) -> Answer:
    """Send one request on a connection of its own."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: ficu95.example',
        'Connection: close',
        'Authorization: Bearer key-a',
        f'Marjoramfall-Attempt-Id: {attempt}',
        'Marjoramfall-Deadline-Ms: 2500',
        'Content-Length: 0',
    )
    received = b''
    try:
        with socket.create_connection(address, timeout=CALL_TIMEOUT_S) as connection:
            connection.sendall('\r\n'.join((*lines, '', '')).encode())
            received = _read_to_end(connection)
    except OSError:
        # What arrived before the connection broke is no whole answer.
        return Answer(attempt, path, 0, received)
    return _parse(attempt, path, received)


def _read_to_end(connection: socket.socket) -> bytes:
    received = b''
    while True:
        part = connection.recv(RECEIVE_BYTES)
        if not part:
            return received
        received += part


def _parse(attempt: str, path: str, received: bytes) -> Answer:
    head, _, body = received.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 '):
        return Answer(attempt, path, 0, received)
    status = int(head.split()[1])
    if b'transfer-encoding: chunked' in head.lower():
        is_whole = body.endswith(b'0\r\n\r\n')
    else:
        length = head.lower().partition(b'content-length:')[2].split()
        is_whole = bool(length) and len(body) == int(length[0])
    return Answer(attempt, path, status if is_whole else 0, body)


def find_fault(answer: Answer, runs: int) -> str:
    """Return which promise an answer breaks, or an empty text."""
    at_most_once = not answer.path.startswith('/read')
    if at_most_once and runs > 1:
        return f'{answer.attempt} ran {runs} times'
    if at_most_once and answer.promises_not_run and runs:
        return f'{answer.attempt} was told {answer.status} and has run'
    if answer.status != 200:
        return ''
    if not runs:
        return f'{answer.attempt} was served and never ran'
    return _find_body_fault(answer)


def _find_body_fault(answer: Answer) -> str:
    if not answer.path.startswith('/summary'):
        is_own = answer.body == answer.attempt.encode()
        return '' if is_own else f'{answer.attempt} got {answer.body!r}'
    positions = [
        answer.body.find(f'id: {number}\ndata: {answer.attempt}'.encode())
        for number in range(1, EVENTS + 1)
    ]
    is_ordered = positions == sorted(positions) and min(positions) >= 0
    if is_ordered and answer.body.count(b'id: ') == EVENTS:
        return ''
    return f'{answer.attempt} got a stream with a gap, a repetition or disorder'
