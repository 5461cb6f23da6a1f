"""Encode the platform's calls that copy a run between servers."""

import re
from typing import Any

import msgspec

from marjoramfall.gateway.http_messages import encode_head
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.copy_messages import (
    CopyEnding,
    CopyOrder,
    CopyResult,
)

MOVE_TARGET = b'POST /-/kv-move HTTP/1.1'
OK = 200
ENDING_BY_STATUS = {
    OK: CopyEnding.COPIED,
    404: CopyEnding.NO_RUN,
    409: CopyEnding.BUSY,
    503: CopyEnding.NO_ROOM,
}
# It is sent back in a header and in a path.
HANDLE = re.compile(r'[\w.~-]{1,200}', re.ASCII)


class WireCopy(msgspec.Struct, rename='camel'):
    """Hold the body of an answer; only a copy that is kept has a handle."""

    handle: Any = None
    create_revision: Any = None


def encode_copy(order: CopyOrder) -> bytes:
    """Encode a call that copies a run to another server."""
    body = msgspec.json.encode(
        {
            'id': order.attempt_id,
            'to': order.destination.address,
            'last': order.stops_run,
        }
    )
    headers = [
        (b'host', order.source.address.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    return encode_head(MOVE_TARGET, headers) + body


def encode_copy_drop(source: BackendServer, handle: str) -> bytes:
    """Encode a call that frees a copy."""
    target = f'DELETE /-/kv-handle/{handle} HTTP/1.1'.encode()
    return encode_head(target, [(b'host', source.address.encode())])


def read_copy_result(status: int, body: bytes) -> CopyResult:
    """Return what a server answered; an answer that can't be read is lost."""
    ending = ENDING_BY_STATUS.get(status, CopyEnding.REFUSED)
    try:
        wire = msgspec.json.decode(body, type=WireCopy)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        wire = WireCopy()
    handle = _read_handle(wire.handle)
    if status == OK and not handle:
        return CopyResult(CopyEnding.LOST, reason='answered without a handle')
    is_count = isinstance(wire.create_revision, int)
    return CopyResult(
        ending,
        handle,
        event_count=wire.create_revision if is_count else None,
        reason=f'answered {status}',
    )


def _read_handle(found: object) -> str:
    if isinstance(found, int) and not isinstance(found, bool):
        return str(found)
    if isinstance(found, str) and HANDLE.fullmatch(found):
        return found
    return ''
