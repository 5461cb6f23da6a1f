"""Send the requests of a trace at their times and record each outcome."""

import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPException

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketResponse

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.replay.check import classify
from marjoramfall.replay.outcome import Outcome, OutcomeKind
from marjoramfall.replay.prompt import RequestBody, make_body
from marjoramfall.replay.trace import KeySource, Trace, TraceRequest

# Waiting beyond the deadline tells a late response from none at all.
GRACE_S = 10
CONNECT_TIMEOUT_S = 2
MAX_CONNECTIONS = 10_000
KEYS_PATH = '/v1/idempotency-keys'
SALT_BYTES = 4
_NO_RESPONSE = (OSError, HTTPException, msgspec.MsgspecError, gevent.Timeout)


class IssuedKey(msgspec.Struct):
    """Hold an idempotency key that an entry issued."""

    key: str


class _RequestEndedError(Exception):
    """Carry the outcome of a request that ended before it was sent."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.code)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class _Call:
    number: int
    request: TraceRequest
    body: RequestBody
    headers: Mapping[str, str]
    started_ms: float


class ReplayClient:
    """Spread the requests of a trace over targets (`IP:port`) in turn."""

    def __init__(
        self, clock: Clock, targets: Sequence[str], team_keys: Mapping[str, str]
    ) -> None:
        self._clock = clock
        self._team_keys = team_keys
        self._clients = [_connect(target) for target in targets]
        self._salt = secrets.token_hex(SALT_BYTES)
        self.send_lag_ms = float(0)

    def run(self, trace: Trace) -> list[Outcome]:
        """Return the outcomes in the order of the requests."""
        started_ms = self._clock.monotonic_ms()
        tasks = []
        for number, request in enumerate(trace.requests):
            due_ms = started_ms + request.at_ms
            wait_ms = due_ms - self._clock.monotonic_ms()
            if wait_ms > 0:
                self._clock.sleep_ms(wait_ms)
            self.send_lag_ms = max(self.send_lag_ms, -wait_ms)
            tasks.append(gevent.spawn(self._replay, number, request))
        gevent.joinall(tasks, raise_error=True)
        return [task.get() for task in tasks]

    def _replay(self, number: int, request: TraceRequest) -> Outcome:
        limit_s = request.deadline_ms / MS_PER_SECOND + GRACE_S
        started_ms = self._clock.monotonic_ms()
        headers = self._headers(request, number)
        call = _Call(
            number, request, make_body(request, number, self._salt), headers, started_ms
        )
        try:
            with gevent.Timeout(limit_s):
                return self._perform(call)
        except _RequestEndedError as ended:
            return ended.outcome
        except _NO_RESPONSE as error:
            return self._broken(call, error)

    def _headers(self, request: TraceRequest, number: int) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._team_keys.get(request.team, "")}',
            'Content-Type': 'application/json',
            'X-Request-Id': f'replay-{self._salt}-{number}',
            'X-Tier': request.tier,
        }

    def _perform(self, call: _Call) -> Outcome:
        key = self._find_key(call)
        headers = call.headers
        if key:
            headers = {**headers, 'Idempotency-Key': key}
        response = self._send(call, call.request.path, call.body.encoded, headers)
        first = response.read(1)
        first_byte_ms = self._elapsed_ms(call)
        received = first + response.read()
        outcome = classify(call.request, call.body, response.status_code, received)
        total_ms = self._elapsed_ms(call)
        kind = outcome.kind
        if kind == OutcomeKind.GOOD and total_ms > call.request.deadline_ms:
            kind = OutcomeKind.LATE
        return msgspec.structs.replace(
            outcome, kind=kind, total_ms=total_ms, first_byte_ms=first_byte_ms, key=key
        )

    def _find_key(self, call: _Call) -> str:
        match call.request.idempotency:
            case KeySource.NONE:
                return ''
            case KeySource.CALLER_MADE:
                return f'replay-{self._salt}-{call.number}'
        response = self._send(call, KEYS_PATH, b'{}', call.headers)
        received = response.read()
        if response.status_code not in {HTTPStatus.OK, HTTPStatus.CREATED}:
            raise _RequestEndedError(
                classify(call.request, call.body, response.status_code, received)
            )
        return msgspec.json.decode(received, type=IssuedKey).key

    def _send(
        self, call: _Call, path: str, body: bytes, headers: Mapping[str, str]
    ) -> HTTPSocketResponse:
        """Send to the call's target, or to the next one if it refuses.

        A refused connection carried nothing, so trying another target cannot
        run a request twice.
        """
        refused = OSError('no target')
        first = call.number % len(self._clients)
        for client in self._clients[first:] + self._clients[:first]:
            try:
                return client.request('POST', path, body=body, headers=headers)
            except ConnectionRefusedError as error:
                refused = error
        raise refused

    def _broken(self, call: _Call, error: BaseException) -> Outcome:
        return Outcome(
            kind=OutcomeKind.BROKEN,
            code=type(error).__name__,
            total_ms=self._elapsed_ms(call),
        )

    def _elapsed_ms(self, call: _Call) -> float:
        return self._clock.monotonic_ms() - call.started_ms


def _connect(target: str) -> HTTPClient:
    host, port = target.rsplit(':', 1)
    return HTTPClient(
        host,
        int(port),
        concurrency=MAX_CONNECTIONS,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=None,
    )
