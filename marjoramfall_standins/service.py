"""Stand in for a plain service that runs each call once."""

from collections import Counter
from http import HTTPStatus

import xxhash

from marjoramfall.clock import Clock
from marjoramfall_standins.faults import FaultDice, Faults
from marjoramfall_standins.http import (
    Application,
    HttpError,
    Request,
    Response,
    break_connection,
    json_response,
)


class ServiceFaults(Faults):
    """Name the faults of a plain service.

    `lose_responses` counts down: so many calls run, and then the connection
    is closed without a response. A failed call counts as run.
    """

    slow_ms: float = 0
    error_rate: float = 0
    seed: int = 1
    lose_responses: int = 0
    leaving: bool = False


class ServiceStandin(Application):
    """Run calls and count them by id and idempotency key."""

    def __init__(self, clock: Clock, *, work_ms: float, version: str, vm: str) -> None:
        self._clock = clock
        self._work_ms = work_ms
        self._version = version
        self._vm = vm
        self._faults = ServiceFaults()
        self._dice = FaultDice()
        self._runs_by_id: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._running = 0

    def handle(self, request: Request) -> Response:
        """Serve one request; any other path is a call."""
        match request.method, request.path:
            case 'POST', '/faults':
                return self._faults.change(request.body)
            case 'GET', '/stats':
                return json_response(self._stats())
            case 'GET', '/load':
                return json_response(self._load())
        if self._faults.leaving:
            raise HttpError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'leaving',
                headers=(('Connection', 'close'),),
            )
        return self._run(request)

    def _run(self, request: Request) -> Response:
        request_id = request.header('X-Request-Id')
        key = request.header('Idempotency-Key')
        self._runs_by_id[request_id] += 1
        if key:
            self._runs_by_key[key] += 1
        self._running += 1
        self._clock.sleep_ms(self._work_ms + self._faults.slow_ms)
        self._running -= 1
        if self._faults.lose_responses > 0:
            self._faults.lose_responses -= 1
            break_connection(request.connection)
        if self._dice.strikes(self._faults.error_rate, self._faults.seed):
            raise HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, 'fault')
        return json_response(
            {
                'id': request_id,
                'path': request.path,
                'key': key,
                'body_hash': xxhash.xxh3_64_hexdigest(request.body),
                'run': self._runs_by_key[key] if key else 1,
                'version': self._version,
            }
        )

    def _load(self) -> dict[str, object]:
        return {
            'running': self._running,
            'waiting': 0,
            'queued_prefill_tokens': 0,
            'measured_ms': self._clock.wall_ms(),
            'age_ms': 0,
            'version': self._version,
            'leaving': self._faults.leaving,
        }

    def _stats(self) -> dict[str, object]:
        return {
            'vm': self._vm,
            'version': self._version,
            'requests': self._runs_by_id.total(),
            'runs_by_id': self._runs_by_id,
            'runs_by_key': self._runs_by_key,
        }
