"""Measure what one entry adds to a request, against a bare pass-through.

All processes run on loopback ports. The figures read a wall clock and
depend on the load of the machine; only figures of one run are comparable.
"""

import os
import time
from collections.abc import Callable
from contextlib import closing
from functools import partial
from pathlib import Path
from statistics import median, quantiles

import gevent
import msgspec
from geventhttpclient import HTTPClient

from benchmarks.table_writer import TableWriter
from marjoramfall.borders.platform_http import HttpTableService
from marjoramfall.clock import RuntimeClock
from marjoramfall.model import BackendServer, Delivery, Service, ServiceKind
from marjoramfall.process.config.changes import PutBackendServer, PutService
from marjoramfall.process.config.log import ConfigLog, Submission
from marjoramfall.process.config.state import ConfigState
from marjoramfall_standins.loopback import free_address
from tests.process_harness import AUTHORIZATION, System

VM = 'entry-1'
PAIRS = 300
CLIENTS = 8
PHASE_SECONDS = 4
MAX_TOKENS = 200
P95 = 94
MS_PER_SECOND = 1000
EVENT_END = b'\n\n'
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
CALL_PATH = '/services/schedules/lookup'
STREAM_PATH = '/v1/completions'
CALL_BODY = b'{"class": "igloo-1"}'
STREAM_BODY = msgspec.json.encode(
    {
        'model': 'drafting',
        'prompt': 'Describe how to cut the blocks of a dome.',
        'stream': True,
        'max_tokens': MAX_TOKENS,
    }
)
HEADERS = {**AUTHORIZATION, 'Content-Type': 'application/json'}
# Rates above what one entry relays, so that the engine is not the limit.
ENGINE_OPTIONS = ('--decode-rate', '2000', '--prefill-rate', '1000000')


def run(table_writer: TableWriter) -> None:
    """Compare an entry with a pass-through in one run."""
    with closing(ComparedSystem()) as system:
        system.wait_configured()
        _write_latency(table_writer, system)
        rows = [_throughput(system, name) for name in ('pass-plain', VM)]
        table_writer.write(
            'plain calls: one process',
            ('process', 'requests/s', 'per core second', 'CPU ms each'),
            rows,
        )
        rows = [_token_rate(system, name) for name in ('pass-model', VM)]
        table_writer.write(
            'streamed tokens: one process',
            ('process', 'tokens/s', 'per core second', 'CPU ms each'),
            rows,
        )


class ComparedSystem(System):
    """Run one entry and a pass-through to each backend server."""

    def __init__(self) -> None:
        self._children = {}
        self.address_by_name = {}
        self.schedules = free_address()
        try:
            super().__init__(entries=1)
        except BaseException:
            self.close()
            raise
        self.address_by_name[VM] = self.callers_by_vm[VM]
        self._start_pass_through('pass-plain', self.schedules)
        self._start_pass_through('pass-model', self.engine)

    def cpu_seconds(self, name: str) -> float:
        """Return the processor time that a child process has used."""
        stat = Path(f'/proc/{self._children[name].pid}/stat').read_text()
        user, kernel = stat.rpartition(')')[2].split()[11:13]
        return (int(user) + int(kernel)) / CLOCK_TICKS

    def client(self, name: str) -> HTTPClient:
        """Return a client with one connection to a process."""
        host, _, port = self.address_by_name[name].partition(':')
        return HTTPClient(host, int(port), network_timeout=10)

    def wait_configured(self) -> None:
        """Wait until all processes answer both kinds of request."""
        for name, ask in (
            ('pass-plain', _call),
            ('pass-model', _stream),
            (VM, _call),
            (VM, _stream),
        ):
            self.wait(partial(self._answers_to, name, ask))

    def _answers_to(self, name: str, ask: Callable[[HTTPClient], int]) -> bool:
        with closing(self.client(name)) as client:
            try:
                return ask(client) > 0
            except (OSError, RuntimeError):
                return False

    def _start_pass_through(self, name: str, backend: str) -> None:
        address = free_address()
        self.address_by_name[name] = address
        self._spawn(
            name, 'benchmarks.pass_through', '--listen', address, '--backend', backend
        )

    def _standin(self, name: str, kind: str, address: str, *options: str) -> None:
        chosen = {'engine': ENGINE_OPTIONS, 'service': ('--work-ms', '0')}
        super()._standin(name, kind, address, *chosen.get(kind, options))

    def _configure(self) -> None:
        super()._configure()
        self._standin('schedules', 'service', self.schedules)
        self.wait(partial(self._answers, self.schedules))
        log = ConfigLog(HttpTableService(self.platform), RuntimeClock())
        state = ConfigState()
        service = Service(
            'schedules', ServiceKind.PLAIN, Delivery.IDEMPOTENT, 'schedules-v1'
        )
        server = BackendServer('schedules-1', self.schedules, 'a', 'schedules-v1')
        changes = (PutService(entity=service), PutBackendServer(entity=server))
        log.catch_up(state)
        for number, change in enumerate(changes):
            log.submit(Submission(change, f'bench-{number}', 'bench', 0), state)


def _call(client: HTTPClient) -> int:
    response = client.post(CALL_PATH, CALL_BODY, HEADERS)
    response.read()
    return _checked(response.status_code)


def _stream(client: HTTPClient) -> int:
    response = client.post(STREAM_PATH, STREAM_BODY, HEADERS)
    _checked(response.status_code)
    events = iter(lambda: response.readline(EVENT_END), b'')
    return sum(1 for _ in events) - 1


def _checked(status: int) -> int:
    if status != 200:
        raise RuntimeError(f'a process answered with status {status}')
    return 1


def _write_latency(table_writer: TableWriter, system: ComparedSystem) -> None:
    passed, entry = system.client('pass-plain'), system.client(VM)
    passed_ms, entry_ms = [], []
    # Alternating requests meet the same load of the machine.
    for _ in range(PAIRS):
        passed_ms.append(_timed_ms(passed))
        entry_ms.append(_timed_ms(entry))
    passed.close()
    entry.close()
    rows = [_percentiles('pass-through', passed_ms), _percentiles('entry', entry_ms)]
    added = [
        after - before for before, after in zip(*(row[1:] for row in rows), strict=True)
    ]
    table_writer.write(
        f'latency in ms of {PAIRS} plain calls each, one at a time',
        ('process', 'median', 'p95'),
        [*rows, ('added by the entry', *added)],
    )


def _timed_ms(client: HTTPClient) -> float:
    started = time.perf_counter()
    _call(client)
    return (time.perf_counter() - started) * MS_PER_SECOND


def _percentiles(name: str, times_ms: list[float]) -> tuple[str, float, float]:
    return name, median(times_ms), quantiles(times_ms, n=100)[P95]


def _throughput(system: ComparedSystem, name: str) -> tuple[object, ...]:
    return name, *_rates(system, name, _call)


def _token_rate(system: ComparedSystem, name: str) -> tuple[object, ...]:
    return name, *_rates(system, name, _stream)


def _rates(
    system: ComparedSystem, name: str, ask: Callable[[HTTPClient], int]
) -> tuple[float, float, float]:
    used = system.cpu_seconds(name)
    started = time.perf_counter()
    end = started + PHASE_SECONDS
    workers = [
        gevent.spawn(_repeat, system.client(name), ask, end) for _ in range(CLIENTS)
    ]
    gevent.joinall(workers, raise_error=True)
    count = sum(worker.value for worker in workers)
    elapsed = time.perf_counter() - started
    used = system.cpu_seconds(name) - used
    return count / elapsed, count / used, used * MS_PER_SECOND / count


def _repeat(client: HTTPClient, ask: Callable[[HTTPClient], int], end: float) -> int:
    count = 0
    with closing(client):
        while time.perf_counter() < end:
            count += ask(client)
    return count
