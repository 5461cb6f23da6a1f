"""Reach the platform's services over HTTP with JSON bodies.

Row values travel as strings that hold the JSON text of the row.
"""

import socket
from collections.abc import Sequence
from http import HTTPStatus
from http.client import HTTPException
from urllib.parse import quote, urlencode

import msgspec
from geventhttpclient import HTTPClient

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.platform_services import (
    ObjectStore,
    PlatformAnswerLostError,
    PlatformUnavailableError,
    Row,
    RowCondition,
    RowWrite,
    TableService,
    VmList,
    VmRecord,
)

DEFAULT_TIMEOUT_MS = 1000
MAX_CONNECTIONS = 8
_TRANSPORT_ERRORS = (OSError, HTTPException)


class _RowBody(msgspec.Struct):
    key: str
    value: str


class _RowsBody(msgspec.Struct):
    rows: list[_RowBody]


class _TransactBody(msgspec.Struct):
    applied: bool


class _VmsBody(msgspec.Struct):
    vms: list[VmRecord]


def _connect_without_delay(pool_socket: socket.socket) -> None:
    pool_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class PlatformHttp:
    """Exchange one request and response with a platform service."""

    def __init__(self, address: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        host, port = address.rsplit(':', 1)
        timeout_s = timeout_ms / MS_PER_SECOND
        self._address = address
        self._client = HTTPClient(
            host,
            int(port),
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
            concurrency=MAX_CONNECTIONS,
        )
        # The hook is public, the pool of the client is not.
        pool = self._client._connection_pool  # noqa: WPS437
        pool.after_connect = _connect_without_delay

    def read(self, path: str) -> tuple[int, bytes]:
        """Return status and body of a GET.

        Raises `PlatformUnavailableError`, also for an error status.
        """
        try:
            return self._exchange('GET', path, b'')
        except _TRANSPORT_ERRORS as error:
            raise self._unavailable(error) from error

    def write(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Return status and body of a write.

        Raises `PlatformUnavailableError` if no connection was made or the
        service refused the request, else `PlatformAnswerLostError`.
        """
        try:
            return self._exchange(method, path, body)
        except ConnectionRefusedError as refused:
            raise self._unavailable(refused) from refused
        except _TRANSPORT_ERRORS as error:
            raise PlatformAnswerLostError(f'{self._address}: {error}') from error

    def _exchange(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        headers = {'Content-Type': 'application/json'}
        response = self._client.request(method, path, body=body, headers=headers)
        with response:
            payload = bytes(response.read())
        status = response.status_code
        if status in {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}:
            raise PlatformUnavailableError(f'{self._address} answered {status}')
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise HTTPException(f'status {status}')
        return status, payload

    def _unavailable(self, error: Exception) -> PlatformUnavailableError:
        return PlatformUnavailableError(f'{self._address}: {error}')


class HttpTableService(TableService):
    """Reach the platform's table service."""

    def __init__(self, address: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(address, timeout_ms=timeout_ms)

    def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> bool:
        """Apply all writes if all conditions hold; return whether they did."""
        body = msgspec.json.encode({'conditions': conditions, 'writes': writes})
        status, payload = self._http.write('POST', '/tables/transact', body)
        if status not in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
            raise PlatformUnavailableError(f'transact was refused: {status}')
        try:
            return msgspec.json.decode(payload, type=_TransactBody).applied
        except msgspec.MsgspecError as error:
            raise PlatformAnswerLostError(f'transact: {error}') from error

    def read(self, table: str, key: str) -> str | None:
        """Return the JSON text of a row; None if there is no such row."""
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        status, payload = self._http.read(path)
        if status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(status, payload, _RowBody).value

    def scan(
        self, table: str, *, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[Row]:
        """Return rows in key order whose keys start with `prefix`."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        status, payload = self._http.read(f'/tables/{_quote(table)}?{query}')
        rows = _decode(status, payload, _RowsBody).rows
        return [Row(row.key, row.value) for row in rows]


class HttpObjectStore(ObjectStore):
    """Reach the platform's object store."""

    def __init__(self, address: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(address, timeout_ms=timeout_ms)

    def put(self, name: str, blob: bytes) -> None:
        """Store a blob."""
        status, _ = self._http.write('PUT', _object_path(name), blob)
        if status >= HTTPStatus.BAD_REQUEST:
            raise PlatformUnavailableError(f'put {name} was refused: {status}')

    def get(self, name: str) -> bytes | None:
        """Return a blob or None."""
        status, payload = self._http.read(_object_path(name))
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            raise PlatformUnavailableError(f'get {name}: status {status}')
        return payload


class HttpVmList(VmList):
    """Reach the platform's list of VMs."""

    def __init__(self, address: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(address, timeout_ms=timeout_ms)

    def list_vms(self) -> list[VmRecord]:
        """Return all VMs."""
        status, payload = self._http.read('/vms')
        return _decode(status, payload, _VmsBody).vms


def _quote(part: str) -> str:
    return quote(part, safe='')


def _object_path(name: str) -> str:
    return f'/objects/{quote(name)}'


def _decode(status: int, payload: bytes, shape: type) -> msgspec.Struct:
    if status != HTTPStatus.OK:
        raise PlatformUnavailableError(f'status {status}')
    try:
        return msgspec.json.decode(payload, type=shape)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f'unreadable response: {error}') from error
