"""Send requests as a caller and check the responses."""

from dataclasses import dataclass

from gevent import socket

from tests.soak.backend import EVENT_COUNT

CALL_TIMEOUT_S = 4
RECEIVE_BYTES = 65536
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Response:
    """Hold the response to one attempt; `status` is 0 if it is incomplete."""

    attempt_id: str
    path: str
    status: int
    body: bytes

    @property
    def guarantees_not_run(self) -> bool:
        """Return whether the status says that the request has not run."""
        return self.status in NOT_RUN_STATUSES


def send_request(
    address: tuple[str, int], attempt_id: str, method: str, path: str
) -> Response:
    """Send one request on a new connection."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: ficu95.example',
        'Connection: close',
        'Authorization: Bearer key-a',
        f'Marjoramfall-Attempt-Id: {attempt_id}',
        'Marjoramfall-Deadline-Ms: 2500',
        'Content-Length: 0',
    )
    received = b''
    try:
        with socket.create_connection(address, timeout=CALL_TIMEOUT_S) as connection:
            connection.sendall('\r\n'.join((*lines, '', '')).encode())
            received = _read_to_end(connection)
    except OSError:
        # A response is incomplete if the connection broke before its end.
        return Response(attempt_id, path, 0, received)
    return _parse_response(attempt_id, path, received)


def _read_to_end(connection: socket.socket) -> bytes:
    received = b''
    while True:
        chunk = connection.recv(RECEIVE_BYTES)
        if not chunk:
            return received
        received += chunk


def _parse_response(attempt_id: str, path: str, received: bytes) -> Response:
    head, _, body = received.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 '):
        return Response(attempt_id, path, 0, received)
    status = int(head.split()[1])
    if b'transfer-encoding: chunked' in head.lower():
        is_complete = body.endswith(b'0\r\n\r\n')
    else:
        length = head.lower().partition(b'content-length:')[2].split()
        is_complete = bool(length) and len(body) == int(length[0])
    return Response(attempt_id, path, status if is_complete else 0, body)


def find_violation(response: Response, runs: int) -> str:
    """Describe the guarantee that a response violates, or return an empty string."""
    at_most_once = not response.path.startswith('/read')
    if at_most_once and runs > 1:
        return f'{response.attempt_id} ran {runs} times'
    if at_most_once and response.guarantees_not_run and runs:
        return f'{response.attempt_id} ran despite status {response.status}'
    if response.status != 200:
        return ''
    if not runs:
        return f'{response.attempt_id} got status 200 but never ran'
    return _find_body_violation(response)


def _find_body_violation(response: Response) -> str:
    if not response.path.startswith('/summary'):
        is_expected = response.body == response.attempt_id.encode()
        return '' if is_expected else f'{response.attempt_id} got {response.body!r}'
    positions = [
        response.body.find(f'id: {number}\ndata: {response.attempt_id}'.encode())
        for number in range(1, EVENT_COUNT + 1)
    ]
    is_ordered = positions == sorted(positions) and min(positions) >= 0
    if is_ordered and response.body.count(b'id: ') == EVENT_COUNT:
        return ''
    return f'{response.attempt_id} got missing, repeated or reordered events'
