"""Send requests to backend servers and read their responses."""

from collections.abc import Callable, Generator, Iterator
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

from gevent.pool import Pool

from marjoramfall.clock import Clock, RuntimeClock
from marjoramfall.connection.answer import (
    AnswerAssembler,
    IncompleteAnswerError,
    StreamEvent,
)
from marjoramfall.connection.backend_errors import (
    BackendConnectionBrokenError,
    BackendLeavingError,
    BackendStatusError,
    DispatchNotPermittedError,
    MalformedResponseError,
)
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.connection.event_stream import split_events
from marjoramfall.connection.http_connection import HttpConnection, ResponseParser
from marjoramfall.errors import BackendServerError, RunState

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# The first resume is tried at once; a restarting server needs longer.
RESUME_DELAYS_MS = (0, 50, 250)
MAX_PENDING_CANCELS = 256


def _always_permitted() -> bool:
    return True


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendRequest:
    """Describe a request as it is sent.

    `once` forbids a reused connection, as its server may just be closing it.
    `is_permitted` is asked after connecting, immediately before the first
    byte, because connecting may take longer than a grant is valid.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    once: bool = False
    is_cancellable: bool = True
    is_permitted: Callable[[], bool] = _always_permitted

    def encode(self, address: str) -> bytes:
        """Return the bytes of the request."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {address}',
            f'X-Request-Id: {self.request_id}',
            f'Content-Length: {len(self.body)}',
        ]
        lines.extend(f'{name}: {value}' for name, value in self.headers)
        return '\r\n'.join((*lines, '', '')).encode('latin-1') + self.body


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendResponse:
    """Hold a complete response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the value of a header; empty if there is none."""
        values = (value for key, value in self.headers if key.lower() == name)
        return next(values, '')


class StreamProgress:
    """Keep what a stream has yielded across resumed connections."""

    def __init__(self, request: BackendRequest) -> None:
        self.request = request
        self.answer = AnswerAssembler(request.request_id)
        self.resume_delays_ms = list(RESUME_DELAYS_MS)
        self.may_run = False

    @property
    def next_request(self) -> BackendRequest:
        """Return the request that continues the stream."""
        last_event_id = self.answer.last_event_id
        if last_event_id is None:
            return self.request
        return BackendRequest(
            request_id=self.request.request_id,
            method='GET',
            path=f'/v1/streams/{self.request.request_id}',
            headers=(('Last-Event-ID', last_event_id),),
        )


class BackendClient:
    """Exchange requests over keep-alive connections.

    A connection goes back to the pool only after a whole response was read.
    The library's own client is not used, because it sends a request again
    by itself when a reused connection breaks.
    """

    def __init__(self, pool: ConnectionPool, *, clock: Clock | None = None) -> None:
        self._pool = pool
        self._clock = clock or RuntimeClock()
        self._cancels = Pool(MAX_PENDING_CANCELS)

    def send(self, address: str, request: BackendRequest) -> BackendResponse:
        """Return the complete response; raises a `BackendServerError`."""
        connection = self._pool.take(address, fresh=request.once)
        try:
            response = _exchange(connection, request)
        except BackendServerError:
            connection.close()
            raise
        except BaseException:
            connection.close()
            self._start_cancel(address, request)
            raise
        self._pool.give_back(connection)
        return response

    def stream(
        self, address: str, request: BackendRequest
    ) -> Generator[StreamEvent, None, None]:
        """Yield the events up to and with the terminal one.

        A broken connection is resumed after the last event. Closing the
        iterator early cancels the stream at the server. Raises a
        `BackendServerError`.
        """
        progress = StreamProgress(request)
        try:
            yield from self._resumed_events(address, progress)
        except BaseException:
            if progress.may_run and not progress.answer.is_done:
                self._start_cancel(address, request)
            raise

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a stream at its server, without failing."""
        cancel = BackendRequest(
            request_id=request_id,
            method='DELETE',
            path=f'/v1/streams/{request_id}',
            is_cancellable=False,
        )
        with suppress(BackendServerError):
            self.send(address, cancel)

    def wait_for_cancels(self) -> None:
        """Wait until all started cancellations have ended."""
        self._cancels.join()

    def _start_cancel(self, address: str, request: BackendRequest) -> None:
        if request.is_cancellable:
            self._cancels.spawn(self.cancel, address, request.request_id)

    def _resumed_events(
        self, address: str, progress: StreamProgress
    ) -> Iterator[StreamEvent]:
        while not progress.answer.is_done:
            try:
                yield from self._events(address, progress)
            except BackendServerError as error:
                if not _may_resume(error, progress):
                    raise _after_dispatch(error, progress) from error
                self._clock.sleep_ms(progress.resume_delays_ms.pop(0))

    def _events(self, address: str, progress: StreamProgress) -> Iterator[StreamEvent]:
        request = progress.next_request
        connection = self._pool.take(address, fresh=request.once)
        try:
            yield from _read_events(connection, request, progress)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(connection)


def _send_permitted(connection: HttpConnection, request: BackendRequest) -> None:
    message = request.encode(connection.address)
    if not request.is_permitted():
        raise DispatchNotPermittedError('the grant was not valid any more')
    connection.send(request.method, message)


def _exchange(connection: HttpConnection, request: BackendRequest) -> BackendResponse:
    _send_permitted(connection, request)
    head = connection.read_head()
    body = _read_body(connection)
    _raise_for_leaving(head)
    if connection.has_ended:
        # Without a length or chunks, the end of a response proves nothing.
        raise IncompleteAnswerError('the response ended with its connection')
    has_body = request.method != 'HEAD' and head.status_code != HTTPStatus.NOT_MODIFIED
    length = head.content_length if has_body else None
    answer = AnswerAssembler(request.request_id)
    answer.check_whole(head.get('X-Request-Id'), length, body)
    return BackendResponse(
        status=head.status_code, headers=tuple(head.items()), body=body
    )


def _read_events(
    connection: HttpConnection, request: BackendRequest, progress: StreamProgress
) -> Iterator[StreamEvent]:
    _send_permitted(connection, request)
    progress.may_run = True
    head = connection.read_head()
    if head.status_code != HTTPStatus.OK:
        body = _read_body(connection)
        progress.may_run = False
        _raise_for_leaving(head)
        content_type = head.get('Content-Type') or ''
        raise BackendStatusError(head.status_code, body, str(content_type))
    for event in split_events(connection.body_parts()):
        if progress.answer.is_done:
            raise MalformedResponseError('an event follows the terminal one')
        if progress.answer.accept(event):
            yield event
    if not progress.answer.is_done:
        raise BackendConnectionBrokenError('the stream lacks its terminal event')


def _may_resume(error: BackendServerError, progress: StreamProgress) -> bool:
    if progress.answer.next_index == 0 or not progress.resume_delays_ms:
        return False
    return not progress.answer.is_done and not isinstance(error, BackendStatusError)


def _after_dispatch(
    error: BackendServerError, progress: StreamProgress
) -> BackendServerError:
    # A refused connection while resuming says nothing about the first one.
    if progress.answer.next_index and error.actual_run_state is RunState.NOT_RUN:
        return BackendConnectionBrokenError(error.message)
    return error


def _read_body(connection: HttpConnection) -> bytes:
    body = bytearray()
    for part in connection.body_parts():
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            raise MalformedResponseError('the response is too long')
    return bytes(body)


def _raise_for_leaving(head: ResponseParser) -> None:
    is_leaving = head.get('X-Leaving') == '1' and head.should_close()
    if head.status_code == HTTPStatus.SERVICE_UNAVAILABLE and is_leaving:
        raise BackendLeavingError('the backend server is leaving')
