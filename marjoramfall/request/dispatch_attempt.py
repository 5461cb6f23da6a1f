"""Measure one dispatch under a grant and release the grant exactly once."""

from collections.abc import Callable, Generator, Iterator
from http import HTTPStatus

import msgspec

from marjoramfall.clock import Clock
from marjoramfall.connection.answer import StreamEvent
from marjoramfall.connection.backend_errors import BackendStatusError
from marjoramfall.errors import BackendServerError, MarjoramfallError, RunState
from marjoramfall.request.grants import (
    DispatchResult,
    GrantClient,
    GrantRequest,
    HeldGrant,
)

USAGE_FIELD = b'"usage"'


class CallerGoneError(MarjoramfallError):
    """Stop processing a request whose caller has disconnected."""

    code = 'caller_gone'
    http_status = 499


class PromptTokenDetails(msgspec.Struct):
    """Parse the count of prompt tokens that the inference engine had cached."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Parse the token counts of a response."""

    completion_tokens: int = 0
    prompt_tokens_details: PromptTokenDetails | None = None


class ResponseUsage(msgspec.Struct):
    """Parse the `usage` field of a response or stream event, ignoring the rest."""

    usage: Usage | None = None


class DispatchAttempt:
    """Hold a grant during one dispatch and report the result on its release."""

    def __init__(
        self,
        grants: GrantClient,
        clock: Clock,
        grant_request: GrantRequest,
        grant: HeldGrant,
    ) -> None:
        self.grant_request = grant_request
        self.grant = grant
        self._grants = grants
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._first_token_ms: float | None = None
        self._usage = Usage()
        self._event_count = 0
        self._is_finished = False

    def is_permitted(self) -> bool:
        """Confirm the grant just before the dispatch; restarts the time measurement."""
        self._started_ms = self._clock.monotonic_ms()
        return not self._is_finished and self._grants.confirm(self.grant)

    def on_event(self, event: StreamEvent) -> None:
        """Count a stream event; the first one sets the time to first token."""
        if self._first_token_ms is None:
            self._first_token_ms = self._elapsed_ms()
        if not event.is_done:
            self._event_count += 1
            self.record_usage(event.data)

    def record_usage(self, body: bytes) -> None:
        """Read the token counts from a response body, if it has any."""
        if USAGE_FIELD not in body:
            return
        try:
            usage = msgspec.json.decode(body, type=ResponseUsage).usage
        except msgspec.MsgspecError:
            return
        self._usage = usage or self._usage

    def finish(self, *, succeeded: bool, run_state: RunState = RunState.RUN) -> None:
        """Report the result and release the grant; later calls do nothing."""
        if self._is_finished:
            return
        self._is_finished = True
        details = self._usage.prompt_tokens_details or PromptTokenDetails()
        result = DispatchResult(
            succeeded=succeeded,
            dispatched=run_state is not RunState.NOT_RUN,
            first_token_ms=self._first_token_ms,
            total_ms=self._elapsed_ms(),
            cached_tokens=details.cached_tokens,
            decode_tokens=self._usage.completion_tokens or self._event_count,
        )
        self._grants.finish(self.grant, self.grant_request, result)

    def finish_cancelled(self) -> None:
        """Release the grant after the caller has disconnected.

        This counts as a failure of the server only after the deadline, so that
        callers that disconnect early do not raise the error rate of a version.
        """
        is_before_deadline = self._clock.monotonic_ms() < self.grant_request.deadline_ms
        self.finish(succeeded=is_before_deadline, run_state=RunState.UNKNOWN)

    def _elapsed_ms(self) -> float:
        return self._clock.monotonic_ms() - self._started_ms


class FinishOnFailure:
    """Release the grant if the block raises; on success, the block releases it.

    `StopIteration` is not a failure.
    """

    def __init__(self, attempt: DispatchAttempt) -> None:
        self._attempt = attempt

    def __enter__(self) -> None:
        """Do nothing; the attempt already holds the grant."""

    def __exit__(
        self, error_type: object, error: BaseException | None, traceback: object
    ) -> None:
        """Release the grant with the run state of the error, if there is one."""
        if error is None or isinstance(error, StopIteration):
            return
        if isinstance(error, BackendServerError):
            self._attempt.finish(
                succeeded=is_client_error(error), run_state=error.actual_run_state
            )
        else:
            self._attempt.finish_cancelled()


class ResponseStream(Iterator[StreamEvent]):
    """Iterate over the events of a stream; must be read to the end or closed."""

    def __init__(
        self,
        first: StreamEvent,
        events: Generator[StreamEvent, None, None],
        attempt: DispatchAttempt,
    ) -> None:
        self._first: StreamEvent | None = first
        self._events = events
        self._attempt = attempt
        self._on_end: Callable[[bool], None] | None = None
        attempt.on_event(first)

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Set a callback for the end; its argument tells if the stream was complete."""
        self._on_end = callback

    def __next__(self) -> StreamEvent:
        """Return the next event; raises a `BackendServerError`."""
        first = self._first
        if first is not None:
            self._first = None
            return first
        with FinishOnFailure(self._attempt):
            event = next(self._events, None)
        if event is None:
            self._attempt.finish(succeeded=True)
            self._notify_end(is_complete=True)
            raise StopIteration
        self._attempt.on_event(event)
        return event

    def close(self) -> None:
        """Cancel the stream at its backend server if it has not ended."""
        self._events.close()
        self._attempt.finish_cancelled()
        self._notify_end(is_complete=False)

    def _notify_end(self, *, is_complete: bool) -> None:
        callback = self._on_end
        self._on_end = None
        if callback is not None:
            callback(is_complete)


def is_client_error(error: BackendServerError) -> bool:
    """Return whether the backend server answered with a status below 500."""
    if not isinstance(error, BackendStatusError):
        return False
    return error.status < HTTPStatus.INTERNAL_SERVER_ERROR
