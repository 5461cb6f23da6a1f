"""Build responses to callers: whole ones, streams and errors."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

import msgspec

from marjoramfall.borders.caller_errors import UnreadBodyError
from marjoramfall.borders.caller_watch import CallerWatch
from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.connection.answer import StreamEvent
from marjoramfall.connection.backend_client import BackendResponse
from marjoramfall.connection.backend_errors import BackendStatusError
from marjoramfall.errors import MarjoramfallError
from marjoramfall.request.dispatch_attempt import (
    CallerGoneError,
    ResponseStream,
    is_client_error,
)
from marjoramfall.request.key_claim import AlreadyRunError

OK_CODE = 'ok'
UNKNOWN_TYPE = 'application/octet-stream'
# The write timeout applies to each part, so that a slow but steady reader of
# a large body is not taken for one who has stopped.
PART_BYTES = 64 * 1024
Headers = tuple[tuple[str, str], ...]
CLOSE = ('Connection', 'close')
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
JSON_TYPE: Headers = (('Content-Type', 'application/json'),)
EVENT_STREAM_TYPE: Headers = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-store'),
)
# The server sets these for its own connection to the caller.
DROPPED_HEADERS = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding', 'x-request-id')
)


class CallerResponse(Iterator[bytes]):
    """Yield the parts of a response; closing it ends the request."""

    def __init__(self, status: int, headers: Headers, code: str) -> None:
        self._status = status
        self._headers = headers
        self._code = code
        self._on_end: Callable[[str], None] | None = None

    @property
    def status_line(self) -> str:
        """Return status and reason."""
        try:
            return f'{self._status} {HTTPStatus(self._status).phrase}'
        except ValueError:
            return f'{self._status} Unknown'

    def header_list(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of the response."""
        return [*self._headers, ('X-Request-Id', request_id)]

    def on_end(self, callback: Callable[[str], None]) -> None:
        """Call back once with `ok` or an error code when the request ends."""
        self._on_end = callback

    def close(self) -> None:
        """End the request; later calls do nothing."""
        callback = self._on_end
        self._on_end = None
        if callback is not None:
            callback(self._code)


class WholeResponse(CallerResponse):
    """Yield a body that is known already."""

    def __init__(
        self, status: int, body: bytes, *, headers: Headers, code: str = OK_CODE
    ) -> None:
        if status not in BODILESS_STATUSES:
            headers += (('Content-Length', str(len(body))),)
        super().__init__(status, headers, code)
        starts = range(0, len(body), PART_BYTES)
        self._parts = iter([body[start : start + PART_BYTES] for start in starts])

    def __next__(self) -> bytes:
        """Return the next part of the body."""
        return next(self._parts)


class EventRelay(CallerResponse):
    """Yield the events of a stream as they come.

    An error ends the stream with an error event and without `[DONE]`, so
    that a cut response is never taken for a whole one.
    """

    def __init__(
        self, events: ResponseStream, watch: CallerWatch, request_id: str
    ) -> None:
        super().__init__(HTTPStatus.OK, EVENT_STREAM_TYPE, CallerGoneError.code)
        self._events = events
        self._watch = watch
        self._request_id = request_id
        self._has_ended = False

    def __next__(self) -> bytes:
        """Return the bytes of the next event."""
        if self._has_ended:
            raise StopIteration
        try:
            event = self._watch.call(lambda: next(self._events, None))
        except MarjoramfallError as error:
            return self._last_event(error)
        if event is None:
            self._has_ended = True
            self._code = OK_CODE
            raise StopIteration
        return encode_event(event)

    def close(self) -> None:
        """Cancel the stream unless it has ended."""
        self._watch.close()
        self._events.close()
        super().close()

    def _last_event(self, error: MarjoramfallError) -> bytes:
        self._has_ended = True
        self._code = error.code
        return encode_event(StreamEvent('', error_json(error, self._request_id)))


def encode_event(event: StreamEvent) -> bytes:
    """Return the bytes of a server-sent event."""
    lines = [b'data: ' + line for line in event.data.split(b'\n')]
    if event.event_id:
        lines.insert(0, b'id: ' + event.event_id.encode('latin-1'))
    return b'\n'.join((*lines, b'', b''))


def error_json(error: MarjoramfallError, request_id: str) -> bytes:
    """Return the JSON text that describes an error to a caller."""
    description = {
        'code': error.code,
        'message': error.message,
        'run_state': error.actual_run_state,
        'request_id': request_id,
    }
    return msgspec.json.encode({'error': description})


def error_response(error: MarjoramfallError, request_id: str) -> CallerResponse:
    """Return the response to a failed request."""
    headers = JSON_TYPE
    if error.retry_after_ms is not None:
        seconds = max(1, -(-error.retry_after_ms // MS_PER_SECOND))
        headers += (('Retry-After', str(seconds)),)
    if isinstance(error, UnreadBodyError):
        headers += (CLOSE,)
    return WholeResponse(
        error.http_status,
        error_json(error, request_id),
        headers=headers,
        code=error.code,
    )


def json_response(status: int, fields: dict[str, Any]) -> CallerResponse:
    """Return a response with a JSON object."""
    return WholeResponse(status, msgspec.json.encode(fields), headers=JSON_TYPE)


def failure_response(error: MarjoramfallError, request_id: str) -> CallerResponse:
    """Return the response to a request that raised an error.

    That is the recorded response of an earlier run, the refusal by a backend
    server of a request that is wrong, or else the error itself.
    """
    if isinstance(error, AlreadyRunError):
        return replayed_response(error)
    if isinstance(error, BackendStatusError) and is_client_error(error):
        headers = (('Content-Type', error.content_type or UNKNOWN_TYPE),)
        return WholeResponse(error.status, error.body, headers=headers, code=error.code)
    return error_response(error, request_id)


def relayed_response(response: BackendResponse) -> CallerResponse:
    """Return the response of a backend server to its caller."""
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if name.lower() not in DROPPED_HEADERS
    )
    return WholeResponse(response.status, response.body, headers=headers)


def replayed_response(error: AlreadyRunError) -> CallerResponse:
    """Return the recorded response of a key that was used before."""
    outcome = error.outcome
    content_type = outcome.content_type or UNKNOWN_TYPE
    headers = (('Content-Type', content_type), ('Idempotency-Status', error.code))
    return WholeResponse(outcome.status, outcome.body, headers=headers, code=error.code)
