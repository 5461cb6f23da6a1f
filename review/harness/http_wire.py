"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
LENGTH = 'content-length'


class IncompleteMessageError(Exception):
    """Indicate a message that ended before it was complete."""


@dataclass(slots=True)
class Message:
    """Hold the start line, the headers by lowercase name and the body."""

    start_line: str
    header_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start_line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message; raises `IncompleteMessageError` or `OSError`."""
    message = await read_head(reader)
    message.body = await _read_body(reader, message)
    return message


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raises `IncompleteMessageError` or `OSError`."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        raise IncompleteMessageError('the head is cut') from error
    start_line, *lines = head.decode('latin-1').strip().split('\r\n')
    message = Message(start_line)
    for line in lines:
        name, _, text = line.partition(':')
        message.header_by_name[name.strip().lower()] = text.strip()
    return message


def encode_message(
    start_line: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a message with the length of its body."""
    return encode_head(start_line, {**headers, 'Content-Length': str(len(body))}) + body


def encode_head(start_line: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [start_line, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def encode_chunk(part: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(part), part)


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    try:
        if message.header_by_name.get('transfer-encoding') == 'chunked':
            return await _read_chunks(reader)
        length = int(message.header_by_name.get(LENGTH, '0'))
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise IncompleteMessageError('the body is cut') from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size_line = await reader.readuntil(LINE_END)
        size = int(size_line, 16)
        chunk = await reader.readexactly(size + len(LINE_END))
        if not size:
            return body
        body += chunk[:size]
