"""Fetch the configuration and servers that another entry knows."""

import zlib
from contextlib import closing

import msgspec

from marjoramfall.gateway.http_messages import ResponseBounds, find_header
from marjoramfall.gateway.registry import Snapshot
from marjoramfall.gateway.servers.backend_connection import BackendConnection

FETCH_TIMEOUT_MS = 700
SNAPSHOT_PATH = '/snapshot'
MAX_SNAPSHOT_BYTES = 4_194_304
SNAPSHOT_BOUNDS = ResponseBounds(body_bytes=MAX_SNAPSHOT_BYTES)
CONTENT_ENCODING = b'content-encoding'


def fetch_snapshot(address: str) -> Snapshot:
    """Fetch the snapshot of the entry at an address.

    Raises `NotReachedError`, `BrokenExchangeError` or `msgspec.DecodeError`.
    """
    opened = BackendConnection(
        address, connect_timeout_ms=FETCH_TIMEOUT_MS, bounds=SNAPSHOT_BOUNDS
    )
    with closing(opened) as connection:
        connection.send(
            f'GET {SNAPSHOT_PATH} HTTP/1.1\r\nHost: {address}\r\n'
            'Accept-Encoding: deflate\r\n\r\n'.encode()
        )
        response = connection.read_response(FETCH_TIMEOUT_MS)
        body = connection.read_all(response, FETCH_TIMEOUT_MS)
    if find_header(response.headers, CONTENT_ENCODING) is not None:
        body = _decompress(body)
    return msgspec.msgpack.decode(body, type=Snapshot)


def _decompress(body: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(body, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
