"""Serve the engine stand-in over HTTP."""

from collections import Counter, deque
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall_standins.engine.batch import Batch, EngineSpeed
from marjoramfall_standins.engine.cache import CacheEventLog, PrefixCache
from marjoramfall_standins.engine.core import EngineCore
from marjoramfall_standins.engine.faults import EngineFaults, FaultState
from marjoramfall_standins.engine.prompt import ChatMessage, chat_prompt
from marjoramfall_standins.engine.stream import Stream, StreamState
from marjoramfall_standins.engine.wire import (
    DONE_EVENT,
    Shape,
    token_event,
    whole_response,
)
from marjoramfall_standins.http import (
    Application,
    HttpError,
    Request,
    Response,
    break_connection,
    decode_json,
    is_closed,
    json_response,
)

CLOSED_CHECK_S = 0.25
DEFAULT_EVENT_LIMIT = '1000'
STREAMS_PATH = '/v1/streams/'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """Set what an engine is and how late its reports are."""

    version: str
    vm: str
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    cache_blocks: int = 1024
    checks_fencing: bool = False
    load_lag_ms: float = 250
    cache_event_delay_ms: float = 200
    cache_event_gap_every: int = 50
    resume_grace_ms: float = 2000


class CompletionBody(msgspec.Struct):
    """Hold the members of a request body that the engine uses."""

    model: str = ''
    prompt: str = ''
    messages: list[ChatMessage] = []
    max_tokens: int = 16
    stream: bool = False


class OrderBody(msgspec.Struct):
    """Hold an order; `fencing` grows with each holder of the lease."""

    order: str
    fencing: int


class EngineStandin(Application):
    """Serve completions, streams, reports, orders and faults."""

    def __init__(
        self, clock: Clock, options: EngineOptions, faults: EngineFaults
    ) -> None:
        self._clock = clock
        self._options = options
        self._log = CacheEventLog(
            delay_ms=options.cache_event_delay_ms,
            gap_every=options.cache_event_gap_every,
        )
        cache = PrefixCache(capacity=options.cache_blocks, log=self._log)
        self._batch = Batch(options.speed, cache)
        self._faults = FaultState(faults)
        self._core = EngineCore(
            clock, self._batch, self._faults, resume_grace_ms=options.resume_grace_ms
        )
        self._runs_by_id: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._orders: list[dict[str, object]] = []
        self._highest_fencing = 0

    def start(self) -> None:
        """Start computing."""
        self._core.start()

    def handle(self, request: Request) -> Response:
        """Serve one request."""
        path = request.path
        if path.startswith(STREAMS_PATH):
            return self._serve_stream(request, path.removeprefix(STREAMS_PATH))
        match request.method, path:
            case 'POST', (Shape.TEXT | Shape.CHAT):
                return self._complete(request)
            case 'POST', '/faults':
                return self._faults.faults.change(request.body)
            case 'POST', '/orders':
                return self._take_order(request.body)
            case 'GET', '/load':
                return self._report_load()
            case 'GET', '/cache-events':
                return self._report_cache(request)
            case 'GET', '/stats':
                return json_response(self._stats())
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such path')

    def _complete(self, request: Request) -> Response:
        if self._faults.faults.leaving:
            raise HttpError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'leaving',
                headers=(('Connection', 'close'),),
            )
        body = decode_json(request.body, CompletionBody)
        stream = self._make_stream(request, body)
        self._count_run(request)
        if self._faults.fails(request.path, len(self._batch.running)):
            raise HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, 'fault')
        self._core.add(stream)
        if body.stream:
            return self._stream_response(request, stream, 0)
        # Only the end matters here, so the indexes are discarded.
        deque(self._read(request, stream, 0), maxlen=0)
        if stream.state != StreamState.DONE:
            raise HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, 'cancelled')
        return json_response(whole_response(stream, self._now_s()))

    def _make_stream(self, request: Request, body: CompletionBody) -> Stream:
        request_id = request.header('X-Request-Id')
        if not request_id or body.max_tokens < 1:
            raise HttpError(HTTPStatus.BAD_REQUEST, 'X-Request-Id and max_tokens')
        if self._core.find(request_id):
            raise HttpError(HTTPStatus.CONFLICT, 'request id in use')
        return Stream(
            request_id=request_id,
            path=request.path,
            model=body.model,
            prompt=chat_prompt(body.messages) if body.messages else body.prompt,
            max_tokens=body.max_tokens,
        )

    def _count_run(self, request: Request) -> None:
        self._faults.requests += 1
        self._runs_by_id[request.header('X-Request-Id')] += 1
        key = request.header('Idempotency-Key')
        if key:
            self._runs_by_key[key] += 1

    def _serve_stream(self, request: Request, request_id: str) -> Response:
        stream = self._core.find(request_id)
        if stream is None or stream.state == StreamState.CANCELLED:
            raise HttpError(HTTPStatus.NOT_FOUND, 'no such stream')
        if request.method == 'DELETE':
            self._core.cancel(stream)
            return json_response({})
        last_id = request.header('Last-Event-ID')
        if not last_id:
            return self._stream_response(request, stream, 0)
        owner, _, index = last_id.rpartition(':')
        if owner != request_id or not index.isdecimal():
            raise HttpError(HTTPStatus.BAD_REQUEST, 'foreign Last-Event-ID')
        return self._stream_response(request, stream, int(index) + 1)

    def _stream_response(
        self, request: Request, stream: Stream, first: int
    ) -> Response:
        return Response(
            body=self._events(request, stream, first), content_type='text/event-stream'
        )

    def _events(self, request: Request, stream: Stream, first: int) -> Iterator[bytes]:
        sent = 0
        for index in self._read(request, stream, first):
            yield token_event(stream, index, self._now_s())
            sent += 1
            if sent == self._faults.faults.break_after_tokens:
                break_connection(request.connection)
        if stream.state == StreamState.DONE:
            yield DONE_EVENT

    def _read(self, request: Request, stream: Stream, first: int) -> Iterator[int]:
        index = first
        self._core.attach(stream)
        with ExitStack() as stack:
            stack.callback(self._core.detach, stream)
            while not (stream.ended and index >= stream.emitted):
                if index < stream.emitted:
                    yield index
                    index += 1
                elif is_closed(request.connection):
                    break
                else:
                    stream.wait(CLOSED_CHECK_S)

    def _take_order(self, body: bytes) -> Response:
        order = decode_json(body, OrderBody)
        if self._options.checks_fencing and order.fencing < self._highest_fencing:
            raise HttpError(HTTPStatus.CONFLICT, 'outdated_fencing_token')
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._orders.append(decode_json(body, dict))
        return json_response({'accepted': True})

    def _report_load(self) -> Response:
        if self._faults.faults.load_lost:
            raise HttpError(HTTPStatus.SERVICE_UNAVAILABLE, 'fault')
        sample = self._core.load(self._options.load_lag_ms)
        age_ms = self._clock.monotonic_ms() - sample.sampled_ms
        return json_response(
            {
                'running': sample.running,
                'waiting': sample.waiting,
                'queued_prefill_tokens': sample.queued_prefill_tokens,
                'measured_ms': self._clock.wall_ms() - int(age_ms),
                'age_ms': age_ms,
                'version': self._options.version,
                'leaving': self._faults.faults.leaving,
            }
        )

    def _report_cache(self, request: Request) -> Response:
        records = self._log.published(
            int(request.query.get('after', '0')),
            int(request.query.get('limit', DEFAULT_EVENT_LIMIT)),
            self._clock.monotonic_ms(),
        )
        return json_response({'events': records})

    def _stats(self) -> dict[str, object]:
        return {
            'vm': self._options.vm,
            'version': self._options.version,
            'requests': self._faults.requests,
            'runs_by_id': self._runs_by_id,
            'runs_by_key': self._runs_by_key,
            'orders': self._orders,
            'counts': self._batch.counts,
        }

    def _now_s(self) -> int:
        return self._clock.wall_ms() // MS_PER_SECOND
