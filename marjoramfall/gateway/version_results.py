"""Tell what results of requests say of versions from what they say of the path."""

from collections import defaultdict, deque
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import ServerRun

# A server that answers this entry within this time of a failure was reachable.
ANSWER_WINDOW_MS = 1000.0


@dataclass(frozen=True, slots=True)
class VersionResult:
    """Hold the result of a request at a server of some version.

    `failure` says why the request failed, empty if it did not. `timed_out_ms` is
    how long the server had it, set if the time of the request ended it.
    """

    service_id: str
    version: str
    route: str
    failure: str = ''
    first_response_ms: float | None = None
    timed_out_ms: float | None = None
    attempt_id: str = ''


@dataclass(frozen=True, slots=True)
class _Unanswered:
    result: VersionResult
    ended_ms: float


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
