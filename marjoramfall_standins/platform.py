"""Stand in for the platform: table service, object store and VM list."""

from collections import deque
from http import HTTPStatus

import msgspec

from marjoramfall.clock import Clock
from marjoramfall_standins.faults import Faults
from marjoramfall_standins.http import (
    Application,
    HttpError,
    Request,
    Response,
    break_connection,
    decode_json,
    json_response,
)
from marjoramfall_standins.tables import Database, Transaction
from marjoramfall_standins.throttle import Throttle

DEFAULT_SCAN_LIMIT = '100'
MAX_VM_LISTS = 10_000


class PlatformFaults(Faults):
    """Name the faults of the platform.

    `lose_writes` counts down: so many writes take effect, and then the
    connection is closed without a response. `vm_lag_ms` is the age of the VM
    list. `stale_reads` serves reads as of the moment when it was set.
    """

    outage: bool = False
    delay_ms: float = 0
    lose_writes: int = 0
    stale_reads: bool = False
    vm_lag_ms: float = 0


class VmHistory:
    """Remember VM lists, so that an old one can be shown."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lists = deque([(clock.monotonic_ms(), [])], maxlen=MAX_VM_LISTS)

    def set_vms(self, vms: list[object]) -> None:
        """Set the true list from now on."""
        self._lists.append((self._clock.monotonic_ms(), vms))

    def vms(self, lag_ms: float) -> list[object]:
        """Return the list as it was `lag_ms` ago."""
        as_of_ms = self._clock.monotonic_ms() - lag_ms
        shown = self._lists[0][1]
        for set_ms, vms in self._lists:
            if set_ms <= as_of_ms:
                shown = vms
        return shown


class PlatformStandin(Application):
    """Serve tables, objects and the VM list over HTTP and JSON."""

    def __init__(self, clock: Clock, *, write_rate: float, read_rate: float) -> None:
        self._clock = clock
        self._faults = PlatformFaults()
        self._database = Database()
        self._snapshot: Database | None = None
        self._vms = VmHistory(clock)
        self._writes = Throttle(clock, rate=write_rate)
        self._reads = Throttle(clock, rate=read_rate)
        self._counts = {'reads': 0, 'writes': 0, 'vm_lists': 0, 'lost': 0}

    def handle(self, request: Request) -> Response:
        """Serve one request."""
        kind = request.path.split('/')[1]
        if kind == 'faults' and request.method == 'POST':
            return self._change_faults(request.body)
        if kind == 'stats':
            return json_response(self._counts)
        if kind == 'vms' and request.method == 'PUT':
            self._vms.set_vms(decode_json(request.body, dict)['vms'])
            return json_response({})
        self._suffer_faults()
        if kind == 'vms':
            self._counts['vm_lists'] += 1
            return json_response({'vms': self._vms.vms(self._faults.vm_lag_ms)})
        if kind in {'tables', 'objects'}:
            return self._serve_store(request, kind)
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such path')

    def _change_faults(self, body: bytes) -> Response:
        response = self._faults.change(body)
        if not self._faults.stale_reads:
            self._snapshot = None
        elif self._snapshot is None:
            self._snapshot = self._database.copy()
        return response

    def _suffer_faults(self) -> None:
        if self._faults.delay_ms:
            self._clock.sleep_ms(self._faults.delay_ms)
        if self._faults.outage:
            raise HttpError(HTTPStatus.SERVICE_UNAVAILABLE, 'outage')

    def _serve_store(self, request: Request, kind: str) -> Response:
        name = request.path.removeprefix(f'/{kind}/')
        if request.method != 'GET':
            return self._serve_write(request, kind, name)
        self._reads.wait()
        self._counts['reads'] += 1
        database = self._snapshot or self._database
        if kind == 'objects':
            return _show_object(database, name)
        return _show_table(database, name, request)

    def _serve_write(self, request: Request, kind: str, name: str) -> Response:
        self._writes.wait()
        self._counts['writes'] += 1
        if kind == 'objects' and request.method == 'PUT':
            self._database.put_object(name, request.body)
            response = json_response({})
        elif name == 'transact' and request.method == 'POST':
            transaction = decode_json(request.body, Transaction)
            response = _show_result(self._database.transact(transaction))
        else:
            raise HttpError(HTTPStatus.METHOD_NOT_ALLOWED, 'no such method')
        if self._faults.lose_writes > 0:
            self._faults.lose_writes -= 1
            self._counts['lost'] += 1
            break_connection(request.connection)
        return response


def _show_result(failed: int | None) -> Response:
    if failed is None:
        return json_response({'applied': True})
    refusal = {'applied': False, 'failed': failed}
    return json_response(refusal, status=HTTPStatus.CONFLICT)


def _show_object(database: Database, name: str) -> Response:
    blob = database.get_object(name)
    if blob is None:
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such object')
    return Response(body=blob, content_type='application/octet-stream')


def _show_table(database: Database, name: str, request: Request) -> Response:
    table, _, key = name.partition('/')
    if key:
        found = database.read(table, key)
        if found is None:
            raise HttpError(HTTPStatus.NOT_FOUND, 'no such row')
        return json_response({'key': key, 'value': msgspec.Raw(found.encode())})
    query = request.query
    rows = database.scan(
        table,
        query.get('prefix', ''),
        query.get('after', ''),
        int(query.get('limit', DEFAULT_SCAN_LIMIT)),
    )
    shown = [{'key': key, 'value': msgspec.Raw(text.encode())} for key, text in rows]
    return json_response({'rows': shown})
