"""Deliver bodies that are too large to be held back until they are whole."""

from collections.abc import Callable

from marjoramfall.gateway.callers.response_writer import ResponseWriter
from marjoramfall.gateway.http_messages import Response, find_header
from marjoramfall.gateway.servers.backend_connection import BrokenExchangeError

# A body is held back up to this size: until its end, its server may still fail, and
# the request go to another one.
MAX_HELD_BODY_BYTES = 245_760
# A longer body without a stated length is treated as endless.
MAX_UNSTATED_BODY_BYTES = 33_554_432
CONTENT_LENGTH = b'content-length'

PartReader = Callable[[], bytes]


def read_start(read_part: PartReader) -> bytes:
    """Return a whole body, or its start once that is too large to be held back."""
    start = bytearray()
    while len(start) < MAX_HELD_BODY_BYTES:
        part = read_part()
        if not part:
            break
        start += part
    return bytes(start)


def is_whole(response: Response) -> bool:
    """Return whether nothing of the body is left to read."""
    return response.is_complete and not response.body


def deliver_in_parts(
    response: Response, writer: ResponseWriter, start: bytes, read_part: PartReader
) -> None:
    """Deliver a body whose start was read, without holding more than a part of it.

    A caller that reads slowly slows its server down. If the server fails, the
    response is left without its end. Raises `BrokenExchangeError` for a body without
    end.
    """
    writer.begin(response.status, response.headers, response.reason, start)
    has_length = find_header(response.headers, CONTENT_LENGTH) is not None
    left_bytes = MAX_UNSTATED_BODY_BYTES - len(start)
    part = read_part()
    while part:
        left_bytes -= len(part)
        if left_bytes < 0 and not has_length:
            raise BrokenExchangeError('a body without length does not end')
        writer.send_part(part)
        part = read_part()
    writer.finish()
