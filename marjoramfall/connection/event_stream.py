"""Split a response body into server-sent events."""

from collections.abc import Iterable, Iterator

from marjoramfall.connection.answer import StreamEvent
from marjoramfall.connection.backend_errors import MalformedResponseError

# Bounds the memory per connection; a token event takes some hundred bytes.
MAX_EVENT_BYTES = 256 * 1024
EVENT_END = b'\n\n'


def split_events(body_parts: Iterable[bytes]) -> Iterator[StreamEvent]:
    """Yield the events of a body that arrives in parts.

    Raises `MalformedResponseError` for an oversized event. An unfinished
    last event is not yielded, so that a cut stream lacks its terminal event.
    """
    buffered = b''
    for part in body_parts:
        *complete, buffered = _normalized(buffered + part).split(EVENT_END)
        _check_lengths((*complete, buffered))
        for block in complete:
            yield from _parse_block(block)


def _check_lengths(blocks: Iterable[bytes]) -> None:
    if max(map(len, blocks)) > MAX_EVENT_BYTES:
        raise MalformedResponseError('an event of the stream is too long')


def _normalized(text: bytes) -> bytes:
    return text.replace(b'\r\n', b'\n')


def _parse_block(block: bytes) -> Iterator[StreamEvent]:
    event_id = ''
    data = []
    for line in block.split(b'\n'):
        name, _, value = line.partition(b':')
        if name == b'id':
            event_id = value.strip().decode('latin-1')
        elif name == b'data':
            data.append(value.removeprefix(b' '))
    if data:
        yield StreamEvent(event_id, b'\n'.join(data))
