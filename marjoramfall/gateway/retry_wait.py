"""Let a request wait for the retry budget instead of failing it at once."""

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.retry_gate import RetryGate
from marjoramfall.gateway.servers.demand import build_demand
from marjoramfall.gateway.servers.outcome import Outcome
from marjoramfall.gateway.versions.version_moves import ANY_VERSION


class RetryWait:
    """Ask the retry budget again as long as the caller of a request has use of it."""

    def __init__(self, gate: RetryGate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock

    def try_retry(self, call: Call, outcome: Outcome) -> bool:
        """Return whether the budget allows a retry, at once or after a wait.

        The wait ends with the greenlet if the caller disconnects.
        """
        if self._gate.try_retry(call):
            return True
        if not self._may_wait(call, outcome):
            return False
        return self._wait(call)

    def _may_wait(self, call: Call, outcome: Outcome) -> bool:
        if not call.may_repeat or call.attempts_left <= 0:
            return False
        # The error response of a server is better than a late one of the entry.
        return call.is_begun_stream or outcome.response is None

    def _wait(self, call: Call) -> bool:
        started_ms = self._clock.monotonic_ms()
        while True:
            left_ms = self._give_up_ms(call) - self._clock.monotonic_ms()
            if left_ms <= 0:
                return False
            with self._gate.waiting(call):
                self._clock.sleep_ms(min(left_ms, self._gate.pause_ms))
            has_time = call.remaining_ms(self._clock.monotonic_ms()) > 0
            if has_time and self._gate.try_retry(call, has_waited=True):
                self._log_end(call, self._clock.monotonic_ms() - started_ms)
                return True

    def _give_up_ms(self, call: Call) -> float:
        if call.is_begun_stream:
            return call.deadline_ms
        return build_demand(call, self._clock.monotonic_ms(), ANY_VERSION).give_up_ms

    def _log_end(self, call: Call, waited_ms: float) -> None:
        logger.bind(
            request=call.fields.attempt_id,
            service=call.service_id,
            waited_ms=round(waited_ms),
            left_ms=round(call.remaining_ms(self._clock.monotonic_ms())),
            is_begun=call.is_begun_stream,
        ).info('retry allowed after a wait for the budget')
