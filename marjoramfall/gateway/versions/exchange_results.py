"""Tell what results of exchanges say of servers from what they say of the path."""

from collections import defaultdict, deque
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.model import ServerRun
from marjoramfall.gateway.servers.outcome import Ending, Outcome
from marjoramfall.gateway.servers.service_queue import Assignment
from marjoramfall.gateway.versions.version_results import VersionResult

# A server that answers this entry within this time of a failure was reachable.
ANSWER_WINDOW_MS = 1000.0
FIRST_SERVER_ERROR_STATUS = 500
# The status of a server that did not finish a request before its deadline.
GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class _Unanswered:
    result: VersionResult
    ended_ms: float


def result_of(
    call: Call, assignment: Assignment, outcome: Outcome, *, status: int, now_ms: float
) -> VersionResult:
    """Return the result of an exchange; `status` is what its caller got."""
    started_ms = assignment.request.started_ms
    server = assignment.load.server
    first_response_ms = None
    if call.first_byte_ms is not None:
        first_response_ms = call.first_byte_ms - started_ms
    if outcome.response is not None:
        status = outcome.response.status
    failure = outcome.reason
    if outcome.ending is Ending.DELIVERED:
        has_failed = status >= FIRST_SERVER_ERROR_STATUS
        failure = f'answered {status}' if has_failed else ''
    is_timeout = outcome.is_timeout or status == GATEWAY_TIMEOUT
    return VersionResult(
        service_id=server.service_id,
        version=server.version,
        route=call.route.name,
        failure=failure,
        first_response_ms=first_response_ms,
        timed_out_ms=now_ms - started_ms if is_timeout else None,
        attempt_id=call.fields.attempt_id,
    )


class UnansweredResults:
    """Withhold results without an answer until their servers answer again.

    A request that got no answer may have been lost on the way: only a server that
    answers this entry soon afterwards is known to have had it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_run: dict[ServerRun, deque[_Unanswered]] = defaultdict(deque)

    def add(self, run: ServerRun, result: VersionResult) -> None:
        """Withhold the result of a request that got no answer."""
        now_ms = self._clock.monotonic_ms()
        self._drop_expired(now_ms)
        self._by_run[run].append(_Unanswered(result, now_ms))

    def take_answered(self, run: ServerRun) -> list[VersionResult]:
        """Return the withheld results of a server that has just answered."""
        if not self._by_run:
            return []
        self._drop_expired(self._clock.monotonic_ms())
        return [unanswered.result for unanswered in self._by_run.pop(run, ())]

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - ANSWER_WINDOW_MS
        for run, results in tuple(self._by_run.items()):
            while results and results[0].ended_ms < oldest_ms:
                results.popleft()
            if not results:
                self._by_run.pop(run)
