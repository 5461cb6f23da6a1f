"""Call the operator interface of an entry."""

import socket
from http import HTTPStatus
from http.client import HTTPException

import msgspec
from geventhttpclient import HTTPClient
from google.protobuf.message import DecodeError, Message
from google.protobuf.message_factory import GetMessageClass

from marjoramfall.borders.admin_service import (
    ADMIN_PATH_PREFIX,
    PROTO_TYPE,
    SERVICE,
)
from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.errors import MarjoramfallError, RunState

# A change waits up to 3 s for confirmations and a slow store before that.
DEFAULT_TIMEOUT_MS = 15_000


class AdminCallError(MarjoramfallError):
    """Report a failed call, with the code that the entry gave."""

    code = 'admin_call_failed'

    def __init__(
        self, message: str, *, code: str, http_status: int, run_state: RunState
    ) -> None:
        super().__init__(message, run_state=run_state)
        self.call_code = code
        self.call_status = http_status


class _ErrorDebug(msgspec.Struct, rename='camel'):
    code: str = 'unknown'
    run_state: RunState = RunState.UNKNOWN


class _ErrorDetail(msgspec.Struct):
    debug: _ErrorDebug


class _ErrorBody(msgspec.Struct):
    message: str
    details: list[_ErrorDetail] = []


class AdminClient:
    """Call the methods of one entry with an operator's token."""

    def __init__(
        self, address: str, token: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        host, _, port = address.rpartition(':')
        timeout_s = timeout_ms / MS_PER_SECOND
        self._client = HTTPClient(
            host,
            int(port),
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        # The hook is public, the pool of the client is not.
        pool = self._client._connection_pool  # noqa: WPS437
        pool.after_connect = _connect_without_delay
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': PROTO_TYPE,
            'Connect-Protocol-Version': '1',
        }

    def call(self, method: str, request: Message) -> Message:
        """Return the response of a method; raises `AdminCallError`."""
        try:
            status, body = self._exchange(method, request)
        except (ConnectionRefusedError, socket.gaierror) as refused:
            raise _transport_error(refused, RunState.NOT_RUN) from refused
        except (OSError, HTTPException) as lost:
            raise _transport_error(lost, RunState.UNKNOWN) from lost
        if status != HTTPStatus.OK:
            raise _call_error(status, body)
        response = GetMessageClass(SERVICE.methods_by_name[method].output_type)()
        try:
            response.ParseFromString(body)
        except DecodeError as error:
            raise _transport_error(error, RunState.UNKNOWN) from error
        return response

    def _exchange(self, method: str, request: Message) -> tuple[int, bytes]:
        sent = self._client.post(
            f'{ADMIN_PATH_PREFIX}{method}',
            body=request.SerializeToString(),
            headers=self._headers,
        )
        with sent as response:
            return response.status_code, bytes(response.read())


def _connect_without_delay(pool_socket: socket.socket) -> None:
    pool_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _transport_error(error: Exception, run_state: RunState) -> AdminCallError:
    lost = run_state is RunState.UNKNOWN
    return AdminCallError(
        f'no answer from the entry: {error}',
        code='answer_lost' if lost else 'unreachable',
        http_status=HTTPStatus.SERVICE_UNAVAILABLE,
        run_state=run_state,
    )


def _call_error(status: int, body: bytes) -> AdminCallError:
    try:
        failure = msgspec.json.decode(body, type=_ErrorBody)
    except msgspec.MsgspecError:
        failure = _ErrorBody(message=f'the entry answered with status {status}')
    debug = failure.details[0].debug if failure.details else _ErrorDebug()
    return AdminCallError(
        failure.message,
        code=debug.code,
        http_status=status,
        run_state=debug.run_state,
    )
