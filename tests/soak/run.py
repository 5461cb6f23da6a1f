"""Inject a seeded series of faults into a system and check its guarantees."""

import random
import signal
import tempfile
from collections import Counter
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent.pywsgi import WSGIServer

from marjoramfall_standins.store import StoreStandin
from tests.platform_records import CONFIG
from tests.soak.backend import CountingBackend
from tests.soak.caller import Response, find_violation, send_request
from tests.soak.entries import EntryProcess, choose_base_port
from tests.soak.proxy import LinkFault, LoopbackProxy

ENTRIES = 3
BACKENDS = 4
CALLERS = 6
STARTUP_S = 2.5
REQUEST_PAUSE_S = 0.02
# The share of disruptions that close all connections of a link; the others apply a
# random `LinkFault` for a time.
RESET_PERCENT = 30
RECOVERY_S = 6
PATHS = (('POST', '/pufi791/1'), ('GET', '/read/1'), ('POST', '/summary/1'))
SUMMARY_ROUTE = {
    **CONFIG['routes'][1],
    'name': 'r-4',
    'prefix': '/summary/',
    'resumable': False,
    'trafficSplit': [],
    'service': 'ledger',
    'maxAttempts': 1,
}


@dataclass(slots=True)
class Report:
    """Hold the responses, faults and violations of one run."""

    seed: int
    responses: list[Response] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    injected_faults: list[str] = field(default_factory=list)
    served_after_faults: int = 0

    @property
    def served(self) -> int:
        """Return the number of successful requests."""
        return sum(response.status == 200 for response in self.responses)


class SoakRun:
    """Run entries, backend servers and callers for one seed."""

    def __init__(self, seed: int, directory: Path) -> None:
        self._rng = random.Random(seed)
        self._report = Report(seed)
        self._runs: Counter[str] = Counter()
        self._config_version = 10
        self._next_attempt = 0
        self._is_over = False
        self._store = StoreStandin()
        self._store_server = WSGIServer(
            ('127.0.0.1', 0), self._store, log=None, error_log=None
        )
        self._store_server.start()
        target = ('127.0.0.1', self._store_server.server_port)
        self._store_proxies = [LoopbackProxy(target) for _ in range(ENTRIES)]
        self._backend_proxies: list[LoopbackProxy] = []
        self._backends: list[CountingBackend] = []
        self._all_server_ids: set[str] = set()
        for number in range(BACKENDS):
            self._add_backend(f'i-{number}')
        self._change_config()
        self._copy = self._store.copy()
        self._entries = [
            EntryProcess(number, choose_base_port(), proxy.address, directory)
            for number, proxy in enumerate(self._store_proxies)
        ]

    def run(self, seconds: float) -> Report:
        """Inject faults for some seconds, wait for recovery and check the responses."""
        with closing(self):
            self._run(seconds)
        for response in self._report.responses:
            violation = find_violation(response, self._runs[response.attempt_id])
            if violation:
                self._report.violations.append(violation)
        return self._report

    def close(self) -> None:
        """Stop all processes, proxies and servers of this run."""
        self._is_over = True
        for entry in self._entries:
            entry.kill()
        for proxy in (*self._store_proxies, *self._backend_proxies):
            proxy.stop()
        for backend in self._backends:
            backend.stop()
        self._store_server.stop(timeout=0)

    def _run(self, seconds: float) -> None:
        for entry in self._entries:
            entry.start()
        gevent.sleep(STARTUP_S)
        callers = [gevent.spawn(self._send_requests) for _ in range(CALLERS)]
        with gevent.Timeout(seconds, exception=False):
            while True:
                self._inject_fault()
                gevent.sleep(self._rng.uniform(0.1, 0.8))
        self._end_faults()
        gevent.sleep(RECOVERY_S)
        served_before = self._report.served
        gevent.sleep(1)
        self._report.served_after_faults = self._report.served - served_before
        self._is_over = True
        gevent.joinall(callers)

    def _send_requests(self) -> None:
        while not self._is_over:
            self._next_attempt += 1
            method, path = self._rng.choice(PATHS)
            entry = self._rng.choice(self._entries)
            attempt_id = f'a{self._report.seed}-{self._next_attempt}'
            self._report.responses.append(
                send_request(entry.address, attempt_id, method, path)
            )
            gevent.sleep(REQUEST_PAUSE_S)

    def _inject_fault(self) -> None:
        inject_fault = self._rng.choice(
            (
                self._pause_entry,
                self._kill_entry,
                self._stop_entry,
                self._reload_entry,
                self._disrupt_store_link,
                self._disrupt_backend_link,
                self._fail_store,
                self._replace_backend,
                self._change_config,
                self._store.forget_history,
                self._lose_writes,
            )
        )
        self._report.injected_faults.append(inject_fault.__name__)
        inject_fault()

    def _pause_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        entry.signal(signal.SIGSTOP)
        delay_s = self._rng.uniform(0.1, 2)
        gevent.spawn_later(delay_s, entry.signal, signal.SIGCONT)

    def _kill_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        entry.signal(signal.SIGCONT)
        entry.signal(signal.SIGKILL)
        gevent.spawn_later(self._rng.uniform(0.1, 1), entry.start)

    def _stop_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        entry.signal(signal.SIGTERM)
        # A start has no effect on an entry that is still stopping, which then stays
        # down until a later start.
        gevent.spawn_later(self._rng.uniform(3, 5), entry.start)

    def _reload_entry(self) -> None:
        self._rng.choice(self._entries).signal(signal.SIGHUP)

    def _disrupt_store_link(self) -> None:
        self._disrupt_link(self._rng.choice(self._store_proxies))

    def _disrupt_backend_link(self) -> None:
        self._disrupt_link(self._rng.choice(self._backend_proxies))

    def _disrupt_link(self, proxy: LoopbackProxy) -> None:
        if self._rng.randrange(100) < RESET_PERCENT:
            proxy.reset()
            return
        proxy.apply_fault(self._rng.choice(list(LinkFault)))
        delay_s = self._rng.uniform(0.3, 2)
        gevent.spawn_later(delay_s, proxy.apply_fault, LinkFault.NONE)

    def _fail_store(self) -> None:
        self._store.faults.status = self._rng.choice((429, 503))
        delay_s = self._rng.uniform(0.3, 2)
        gevent.spawn_later(delay_s, self._end_store_failure)

    def _end_store_failure(self) -> None:
        self._store.faults.status = 0

    def _lose_writes(self) -> None:
        """Restore the store from a copy; operator and servers write again."""
        self._store.restore(self._copy)
        self._write_config()
        for backend, proxy in zip(self._backends, self._backend_proxies, strict=True):
            self._register(backend, proxy)
        gevent.spawn_later(self._rng.uniform(0.1, 3), self._drop_silent_servers)
        self._copy = self._store.copy()

    def _drop_silent_servers(self) -> None:
        live_ids = {backend.server_id for backend in self._backends}
        for server_id in self._all_server_ids - live_ids:
            if self._store.get('servers', server_id) is not None:
                self._store.drop('servers', server_id)

    def _replace_backend(self) -> None:
        index = self._rng.randrange(len(self._backends))
        old_backend = self._backends.pop(index)
        proxy = self._backend_proxies.pop(index)
        self._store.drop('servers', old_backend.server_id)
        old_backend.stop()
        proxy.stop()
        self._add_backend(f'{old_backend.server_id}x')

    def _add_backend(self, server_id: str) -> None:
        backend = CountingBackend(server_id, self._runs, self._rng)
        proxy = LoopbackProxy(('127.0.0.1', backend.port))
        self._backends.append(backend)
        self._backend_proxies.append(proxy)
        self._all_server_ids.add(server_id)
        self._register(backend, proxy)

    def _register(self, backend: CountingBackend, proxy: LoopbackProxy) -> None:
        record = {
            'service': 'ledger',
            'address': proxy.address,
            'zone': 'dc-0',
            'slots': 6,
            'state': 'ready',
        }
        self._store.put('servers', backend.server_id, record)

    def _change_config(self) -> None:
        self._config_version += 1
        self._write_config()

    def _write_config(self) -> None:
        routes = [*CONFIG['routes'], SUMMARY_ROUTE]
        config = {**CONFIG, 'version': self._config_version, 'routes': routes}
        config['tenants'] = [{'name': 'hule930', 'apiKeys': ['key-a']}]
        self._store.put('op', 'config', config)

    def _end_faults(self) -> None:
        self._end_store_failure()
        for proxy in (*self._store_proxies, *self._backend_proxies):
            proxy.apply_fault(LinkFault.NONE)
        for entry in self._entries:
            entry.signal(signal.SIGCONT)
            entry.start()


def run_soak(seed: int, seconds: float, directory: Path | None = None) -> Report:
    """Run one seed; the entries write their logs to the directory."""
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        return SoakRun(seed, directory).run(seconds)
    with tempfile.TemporaryDirectory() as temporary:
        return SoakRun(seed, Path(temporary)).run(seconds)
