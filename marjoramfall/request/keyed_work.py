"""Run a request under the claim of its idempotency key and record the outcome."""

from collections.abc import Callable
from enum import Enum, auto
from typing import Generic, TypeVar

import gevent
from gevent.pool import Pool

from marjoramfall.errors import MarjoramfallError, RunState
from marjoramfall.model import Delivery
from marjoramfall.request.dispatch_attempt import CallerGoneError, ResponseStream
from marjoramfall.request.key_claim import (
    MAX_KEY_LENGTH,
    ClaimOutcome,
    InvalidKeyError,
    KeyClaims,
    KeyRequiredError,
    ScopedKey,
)
from marjoramfall.request.parsed_request import ParsedRequest

Result = TypeVar('Result')


class WorkPhase(Enum):
    """Track the progress of a keyed request."""

    CLAIMING = auto()
    WAITING = auto()
    DISPATCHED = auto()
    ENDING = auto()


class KeyedWork(Generic[Result]):
    """Claim a key, run the work and release the key.

    All of this runs in its own greenlet, because a caller that disconnects must
    not interrupt a claim or a release halfway.
    """

    def __init__(
        self,
        claims: KeyClaims,
        request: ParsedRequest,
        work: Callable[[Callable[[], bool]], Result],
        on_result: Callable[['KeyedWork', Result], None],
        *,
        workers: Pool,
    ) -> None:
        """Check the key; raises `KeyRequiredError` or `InvalidKeyError`.

        `work` gets a function that it must call just before the dispatch.
        `on_result` gets the result and must release the key, now or later.
        """
        self._claims = claims
        self._request = request
        self._work = work
        self._on_result = on_result
        self._workers = workers
        self._scoped_key = _scoped_key_of(request)
        self._phase = WorkPhase.CLAIMING
        self._caller_is_gone = False

    def run(self) -> Result:
        """Claim the key and return the result; raises a `MarjoramfallError`."""
        worker = self._workers.spawn(self._run_catching_errors)
        try:
            result = worker.get()
        except CallerGoneError:
            self._on_caller_gone(worker)
            raise
        if isinstance(result, MarjoramfallError):
            raise result
        return result

    def release_later(self, outcome: ClaimOutcome) -> None:
        """Record the outcome in the background."""
        self._workers.spawn(self.release, outcome)

    def release(self, outcome: ClaimOutcome) -> None:
        """Record the outcome; may wait for the owner of the key."""
        self._phase = WorkPhase.ENDING
        self._claims.release(self._scoped_key, self._request.request_id, outcome)

    def _run_catching_errors(self) -> Result | MarjoramfallError:
        try:
            return self._claim_and_work()
        except MarjoramfallError as error:
            return error

    def _claim_and_work(self) -> Result:
        self._claims.claim(self._scoped_key, self._request.request_id)
        try:
            result = self._work_unless_caller_gone()
        except MarjoramfallError as error:
            self._release_after_error(error)
            raise
        self._on_result(self, result)
        return result

    def _work_unless_caller_gone(self) -> Result:
        self._phase = WorkPhase.WAITING
        if self._caller_is_gone:
            raise CallerGoneError('the caller disconnected', run_state=RunState.NOT_RUN)
        return self._work(self._on_dispatch)

    def _on_dispatch(self) -> bool:
        self._phase = WorkPhase.DISPATCHED
        return True

    def _release_after_error(self, error: MarjoramfallError) -> None:
        is_waiting = self._phase is WorkPhase.WAITING
        may_have_run = error.actual_run_state is not RunState.NOT_RUN and not is_waiting
        self.release(ClaimOutcome(dispatched=may_have_run))

    def _on_caller_gone(self, worker: gevent.Greenlet) -> None:
        self._caller_is_gone = True
        # A dispatched run-once request continues, so that its response is recorded.
        must_complete = self._request.service.delivery is Delivery.RUN_ONCE
        is_dispatched = self._phase is WorkPhase.DISPATCHED
        if self._phase is WorkPhase.WAITING or (is_dispatched and not must_complete):
            worker.kill(CallerGoneError('the caller disconnected'), block=False)
        worker.link_value(_close_unread_stream)


def _close_unread_stream(worker: gevent.Greenlet) -> None:
    # The result may have arrived just before the disconnect was noticed.
    if isinstance(worker.value, ResponseStream):
        worker.value.close()


def _scoped_key_of(request: ParsedRequest) -> ScopedKey:
    key = request.idempotency_key
    if not key:
        raise KeyRequiredError('the service requires an Idempotency-Key')
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise InvalidKeyError(f'a key has at most {MAX_KEY_LENGTH} characters')
    return ScopedKey(
        team_id=request.team_id,
        service_id=request.service.service_id,
        key=key,
        fingerprint=request.fingerprint,
    )
