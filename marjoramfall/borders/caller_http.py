"""Offer the callers' endpoints as a WSGI application."""

from collections.abc import Callable, Iterable
from contextlib import closing
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from loguru import logger

from marjoramfall.borders.caller_bodies import ChatBody, CompletionBody
from marjoramfall.borders.caller_errors import (
    MethodNotAllowedError,
    NotReadyError,
    UnknownPathError,
)
from marjoramfall.borders.caller_parsing import (
    Environ,
    TeamDirectory,
    check_headers,
    raw_path,
    read_body,
)
from marjoramfall.borders.caller_requests import CallerRequest, RequestBuilder
from marjoramfall.borders.caller_responses import (
    CLOSE,
    CallerResponse,
    EventRelay,
    error_response,
    failure_response,
    json_response,
    relayed_response,
)
from marjoramfall.borders.caller_server import CALLER_SOCKET
from marjoramfall.borders.caller_watch import CallerWatch
from marjoramfall.clock import Clock
from marjoramfall.errors import MarjoramfallError
from marjoramfall.identifiers import RequestIds
from marjoramfall.model import Configuration
from marjoramfall.request.parsed_request import ParsedRequest
from marjoramfall.request.record import RequestRecord
from marjoramfall.request.request_executor import RequestExecutor

DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024
HEALTH_PATH = '/healthz'
PROBE_PATHS = frozenset((HEALTH_PATH, '/readyz'))
KEYS_PATH = '/v1/idempotency-keys'
SERVICES_PREFIX = '/services/'
MODEL_BODIES_BY_PATH = MappingProxyType(
    {'/v1/completions': CompletionBody, '/v1/chat/completions': ChatBody}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHooks:
    """Connect the callers' interface to the entry process.

    `check_accepting` raises a `RefusedError` while no request may be taken;
    `count` gets each request when it has ended; `issue_key` returns a new
    idempotency key for a team.
    """

    configuration: Callable[[], Configuration]
    is_ready: Callable[[], bool]
    check_accepting: Callable[[], None]
    count: Callable[[RequestRecord], None]
    issue_key: Callable[[str], str]


class CallerApplication:
    """Answer callers; a WSGI callable."""

    def __init__(
        self,
        path: RequestExecutor,
        hooks: CallerHooks,
        *,
        clock: Clock,
        request_ids: RequestIds,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self._path = path
        self._clock = clock
        self._hooks = hooks
        self._request_ids = request_ids
        self._max_body_bytes = max_body_bytes
        self._teams = TeamDirectory()
        self._builder = RequestBuilder(clock)
        self.active_requests = 0

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        record = RequestRecord(
            request_id=self._request_ids.issue(),
            started_ms=self._clock.monotonic_ms(),
        )
        self.active_requests += 1
        response = self._answer(environ, record)
        response.on_end(lambda code: self._on_end(record, code))
        headers = response.header_list(record.request_id)
        if not self._hooks.is_ready():
            # Callers must not send a next request while the entry stops.
            headers.append(CLOSE)
        start_response(response.status_line, headers)
        return response

    @property
    def _configuration(self) -> Configuration:
        return self._hooks.configuration()

    def _on_end(self, record: RequestRecord, code: str) -> None:
        self.active_requests -= 1
        record.outcome = code
        record.ended_ms = self._clock.monotonic_ms()
        self._hooks.count(record)

    def _answer(self, environ: Environ, record: RequestRecord) -> CallerResponse:
        request_id = record.request_id
        try:
            return self._route(environ, record)
        except MarjoramfallError as error:
            return failure_response(error, request_id)
        except Exception as error:
            logger.exception('request {} failed', request_id)
            return error_response(MarjoramfallError(repr(error)), request_id)

    def _route(self, environ: Environ, record: RequestRecord) -> CallerResponse:
        path = raw_path(environ)
        if path in PROBE_PATHS:
            return self._probe(path)
        if path in MODEL_BODIES_BY_PATH:
            return self._model(self._read(environ, record, path))
        if path == KEYS_PATH:
            return self._issue_key(environ)
        if path.startswith(SERVICES_PREFIX):
            return self._plain(self._read(environ, record, path))
        raise UnknownPathError(f'there is no endpoint {path!r}')

    def _probe(self, path: str) -> CallerResponse:
        if path == HEALTH_PATH or self._hooks.is_ready():
            return json_response(HTTPStatus.OK, {'status': 'ok'})
        raise NotReadyError('the entry is not ready')

    def _read(
        self, environ: Environ, record: RequestRecord, path: str
    ) -> CallerRequest:
        check_headers(environ)
        identity = self._teams.identify(environ, self._configuration)
        record.tier_id = identity.tier.tier_id
        self._hooks.check_accepting()
        return CallerRequest(
            record=record,
            identity=identity,
            environ=environ,
            body=read_body(environ, self._max_body_bytes),
            path=path,
        )

    def _issue_key(self, environ: Environ) -> CallerResponse:
        _require_post(environ)
        identity = self._teams.identify(environ, self._configuration)
        self._hooks.check_accepting()
        key = self._hooks.issue_key(identity.team.team_id)
        return json_response(HTTPStatus.CREATED, {'key': key})

    def _model(self, caller: CallerRequest) -> CallerResponse:
        _require_post(caller.environ)
        kind = MODEL_BODIES_BY_PATH[caller.path]
        parsed, is_stream = self._builder.model_request(
            caller, kind, self._configuration
        )
        if is_stream:
            return self._stream(caller, parsed)
        return self._send(caller, parsed)

    def _plain(self, caller: CallerRequest) -> CallerResponse:
        parsed = self._builder.plain_request(caller, self._configuration)
        return self._send(caller, parsed)

    def _send(self, caller: CallerRequest, parsed: ParsedRequest) -> CallerResponse:
        watch = CallerWatch(caller.environ.get(CALLER_SOCKET))
        with closing(watch):
            response = watch.call(lambda: self._path.send(parsed))
        return relayed_response(response)

    def _stream(self, caller: CallerRequest, parsed: ParsedRequest) -> CallerResponse:
        watch = CallerWatch(caller.environ.get(CALLER_SOCKET))
        try:
            events = watch.call(lambda: self._path.stream(parsed))
        except BaseException:
            watch.close()
            raise
        return EventRelay(events, watch, caller.record.request_id)


def _require_post(environ: Environ) -> None:
    if environ['REQUEST_METHOD'] != 'POST':
        raise MethodNotAllowedError('the endpoint takes only POST')
