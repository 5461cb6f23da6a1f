"""Read and write the HTTP/1.1 messages of the stand-ins."""

from dataclasses import dataclass, field

CHUNK_SIZE_BASE = 16


class BrokenMessageError(Exception):
    """Report a connection that ended within a message."""


@dataclass
class Message:
    """Hold a request; header names are lowercase."""

    first_line: str = ''
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(' ')[1]


def read_message(reader) -> Message | None:
    """Return the next message, None if the connection ended before it."""
    first_line = reader.readline()
    if not first_line.strip():
        return None
    message = Message(first_line.decode('latin-1').strip())
    message.headers = _read_headers(reader)
    message.body = _read_body(reader, message.headers)
    return message


def encode(first_line: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    """Return an encoded message."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def _read_headers(reader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while True:
        line = reader.readline()
        if not line:
            raise BrokenMessageError('the head is cut')
        if not line.strip():
            return headers
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()


def _read_body(reader, headers: dict[str, str]) -> bytes:
    if headers.get('transfer-encoding') == 'chunked':
        return _read_chunks(reader)
    length = headers.get('content-length')
    if length is None:
        return b''
    return _read_exactly(reader, int(length))


def _read_chunks(reader) -> bytes:
    body = b''
    while True:
        line = reader.readline()
        if not line.strip():
            raise BrokenMessageError('the last chunk is missing')
        size = int(line.split(b';')[0], CHUNK_SIZE_BASE)
        part = _read_exactly(reader, size)
        reader.readline()
        if not size:
            return body
        body += part


def _read_exactly(reader, size: int) -> bytes:
    found = reader.read(size)
    if len(found) < size:
        raise BrokenMessageError('the body is cut')
    return found
