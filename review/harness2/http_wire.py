"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

LINE_END = b'\r\n'
MAX_HEAD_BYTES = 65_536


@dataclass
class Head:
    """Hold the first line of a message and its headers by lowercase name."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(' ')[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(' ')[1]

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def length(self) -> int:
        """Return the stated length of the body."""
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head; None if the connection has ended before it."""
    try:
        raw = await reader.readuntil(LINE_END + LINE_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').strip().split('\r\n')
    head = Head(lines[0])
    for line in lines[1:]:
        name, _, found = line.partition(':')
        head.headers[name.strip().lower()] = found.strip()
    return head


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the whole body of a message; raises `IncompleteReadError`."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        return await _read_chunks(reader)
    return await reader.readexactly(head.length)


def encode(first_line: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    """Encode a message with its length."""
    lines = [first_line]
    lines.extend(f'{name}: {found}' for name, found in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(LINE_END)).split(b';')[0], 16)
        chunk = await reader.readexactly(size + len(LINE_END))
        if not size:
            return body
        body += chunk[:size]
