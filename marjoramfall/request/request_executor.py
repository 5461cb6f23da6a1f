"""Execute requests: acquire a grant, dispatch, retry and return the response."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TypeVar

from gevent.pool import Pool

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.connection.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
)
from marjoramfall.connection.backend_errors import (
    BackendStatusError,
    DispatchNotPermittedError,
)
from marjoramfall.errors import BackendServerError, MarjoramfallError, RunState
from marjoramfall.model import Configuration, Delivery, Service, ServiceKind
from marjoramfall.request.dispatch_attempt import (
    CallerGoneError,
    DispatchAttempt,
    FinishOnFailure,
    ResponseStream,
    is_client_error,
)
from marjoramfall.request.grants import GrantClient
from marjoramfall.request.key_claim import MAX_RECORDED_BYTES, ClaimOutcome, KeyClaims
from marjoramfall.request.keyed_work import KeyedWork
from marjoramfall.request.parsed_request import ParsedRequest

# Attempts that were not run, for example because their grant lapsed or their
# connection was refused, cost the server nothing, so they are limited per request
# instead of by the retry budget.
MAX_NOT_RUN_ATTEMPTS = 8

Result = TypeVar('Result')


class RetryAllowance(ABC):
    """Limit the retries of each service to a share of its recent requests."""

    @abstractmethod
    def on_request(self, service_id: str) -> None:
        """Count the first attempt of a request."""

    @abstractmethod
    def take_retry(self, service_id: str) -> bool:
        """Count and allow one more retry, or return False."""


class RequestExecutor:
    """Execute requests, with retries as far as delivery and allowance permit.

    To report that the caller has disconnected, raise `CallerGoneError` in the
    greenlet that runs `send` or iterates over the result of `stream`.
    """

    def __init__(
        self,
        *,
        grants: GrantClient,
        backend: BackendClient,
        configuration: Callable[[], Configuration],
        clock: Clock,
        retries: RetryAllowance,
        claims: KeyClaims,
    ) -> None:
        self._grants = grants
        self._backend = backend
        self._configuration = configuration
        self._clock = clock
        self._retries = retries
        self._claims = claims
        self._workers = Pool()

    def send(self, request: ParsedRequest) -> BackendResponse:
        """Return the complete response; raises a `MarjoramfallError`."""
        if request.is_idempotent:
            return self._send_with_retries(request, _always_permitted)
        return KeyedWork(
            self._claims,
            request,
            partial(self._send_with_retries, request),
            partial(_release_with_response, request),
            workers=self._workers,
        ).run()

    def stream(self, request: ParsedRequest) -> ResponseStream:
        """Wait for the first event and return an iterator over all events.

        Raises a `MarjoramfallError` here or while iterating. Closing the
        iterator cancels the stream.
        """
        if request.is_idempotent:
            return self._stream_with_retries(request, _always_permitted)
        return KeyedWork(
            self._claims,
            request,
            partial(self._stream_with_retries, request),
            _release_when_stream_ends,
            workers=self._workers,
        ).run()

    def drain(self, timeout_ms: float) -> bool:
        """Wait for keyed requests, also of disconnected callers, before a planned stop.

        Returns whether all ended in time.
        """
        return self._workers.join(timeout=timeout_ms / MS_PER_SECOND)

    def _send_with_retries(
        self, request: ParsedRequest, on_dispatch: Callable[[], bool]
    ) -> BackendResponse:
        return self._dispatch_with_retries(
            request, partial(self._send_once, on_dispatch)
        )

    def _stream_with_retries(
        self, request: ParsedRequest, on_dispatch: Callable[[], bool]
    ) -> ResponseStream:
        return self._dispatch_with_retries(
            request, partial(self._open_stream, on_dispatch)
        )

    def _dispatch_with_retries(
        self,
        request: ParsedRequest,
        dispatch: Callable[[ParsedRequest, DispatchAttempt], Result],
    ) -> Result:
        self._retries.on_request(request.service.service_id)
        policy = _AttemptPolicy(request, self._retries, self._current_service)
        while True:
            try:
                return dispatch(request, self._acquire(request, policy))
            except MarjoramfallError as error:
                if not policy.allows_retry(error):
                    raise

    def _current_service(self, service_id: str) -> Service | None:
        return self._configuration().services_by_id.get(service_id)

    def _acquire(
        self, request: ParsedRequest, policy: '_AttemptPolicy'
    ) -> DispatchAttempt:
        grant_request = request.grant_request(policy.excluded_server_ids)
        try:
            grant = self._grants.acquire(grant_request)
        except (CallerGoneError, GeneratorExit):
            self._grants.withdraw(grant_request)
            raise
        policy.current_server_id = grant.server_id
        return DispatchAttempt(self._grants, self._clock, grant_request, grant)

    def _send_once(
        self,
        on_dispatch: Callable[[], bool],
        request: ParsedRequest,
        attempt: DispatchAttempt,
    ) -> BackendResponse:
        with FinishOnFailure(attempt):
            response = self._backend.send(
                attempt.grant.address, _backend_request(request, attempt, on_dispatch)
            )
            attempt.record_usage(response.body)
            if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                raise BackendStatusError(response.status, response.body)
        attempt.finish(succeeded=True)
        return response

    def _open_stream(
        self,
        on_dispatch: Callable[[], bool],
        request: ParsedRequest,
        attempt: DispatchAttempt,
    ) -> ResponseStream:
        events = self._backend.stream(
            attempt.grant.address, _backend_request(request, attempt, on_dispatch)
        )
        with FinishOnFailure(attempt):
            first = next(events)
        return ResponseStream(first, events, attempt)


class _AttemptPolicy:
    """Decide whether a failed request may be dispatched again.

    The next grant excludes the servers that failed.
    """

    def __init__(
        self,
        request: ParsedRequest,
        retries: RetryAllowance,
        current_service: Callable[[str], Service | None],
    ) -> None:
        self.excluded_server_ids: tuple[str, ...] = ()
        self.current_server_id = ''
        self._request = request
        self._retries = retries
        self._current_service = current_service
        self._not_run_count = 0
        self._possibly_run_count = 0

    def allows_retry(self, error: MarjoramfallError) -> bool:
        if not isinstance(error, BackendServerError):
            self._correct_run_state(error)
            return False
        if not isinstance(error, DispatchNotPermittedError):
            self.excluded_server_ids += (self.current_server_id,)
        if error.actual_run_state is RunState.NOT_RUN:
            self._not_run_count += 1
            self._correct_run_state(error)
            return self._not_run_count < MAX_NOT_RUN_ATTEMPTS
        self._possibly_run_count += 1
        return self._may_retry(error)

    def _may_retry(self, error: BackendServerError) -> bool:
        if not self._request.is_idempotent or is_client_error(error):
            return False
        # Operators may have changed the delivery or removed the service meanwhile.
        service = self._current_service(self._request.service.service_id)
        if service is None or service.delivery is not Delivery.IDEMPOTENT:
            return False
        if self._possibly_run_count >= service.max_attempts:
            return False
        return self._retries.take_retry(service.service_id)

    def _correct_run_state(self, error: MarjoramfallError) -> None:
        # A later attempt that was not run does not show that an earlier one was not.
        if self._possibly_run_count and error.actual_run_state is RunState.NOT_RUN:
            error.actual_run_state = RunState.UNKNOWN


def _always_permitted() -> bool:
    return True


def _response_outcome(
    request: ParsedRequest, response: BackendResponse
) -> ClaimOutcome:
    is_recorded = request.service.delivery is Delivery.RUN_ONCE
    return ClaimOutcome(
        dispatched=True,
        status=response.status,
        body=response.body,
        content_type=response.header('content-type'),
        recorded=is_recorded and len(response.body) <= MAX_RECORDED_BYTES,
    )


def _release_with_response(
    request: ParsedRequest, keyed_work: KeyedWork, response: BackendResponse
) -> None:
    keyed_work.release(_response_outcome(request, response))


def _release_when_stream_ends(keyed_work: KeyedWork, events: ResponseStream) -> None:
    events.on_end(partial(_release_ended_stream, keyed_work))


def _release_ended_stream(keyed_work: KeyedWork, is_complete: bool) -> None:
    status = HTTPStatus.OK if is_complete else 0
    keyed_work.release_later(ClaimOutcome(dispatched=True, status=status))


def _backend_request(
    request: ParsedRequest, attempt: DispatchAttempt, on_dispatch: Callable[[], bool]
) -> BackendRequest:
    return BackendRequest(
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        once=not request.is_idempotent,
        is_cancellable=request.service.kind is ServiceKind.MODEL,
        is_permitted=lambda: attempt.is_permitted() and on_dispatch(),
    )
