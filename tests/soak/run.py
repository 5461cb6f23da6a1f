"""Play a seeded series of faults against entry processes and check promises."""

import random
import signal
import socket as plain_socket
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
from tests.soak.caller import Answer, ask, find_fault
from tests.soak.entries import EntryProcess
from tests.soak.proxy import Disturbance, LoopbackProxy

ENTRIES = 3
BACKENDS = 4
CALLERS = 6
START_S = 2.5
PAUSE_S = 0.02
RESET_PERCENT = 30
SETTLE_S = 6
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
    """Hold the outcome of one run."""

    seed: int
    answers: list[Answer] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    played: list[str] = field(default_factory=list)
    served_after: int = 0

    @property
    def served(self) -> int:
        """Return how many requests succeeded."""
        return sum(answer.status == 200 for answer in self.answers)


class SoakRun:
    """Run entries, backend servers and callers for one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._report = Report(seed)
        self._runs: Counter[str] = Counter()
        self._version = 10
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
        for number in range(BACKENDS):
            self._add_backend(f'i-{number}')
        self._change_config()
        self._entries = [
            EntryProcess(number, _free_ports(), proxy.address, folder)
            for number, proxy in enumerate(self._store_proxies)
        ]

    def play(self, seconds: float) -> Report:
        """Play faults for some seconds, then let all settle and check."""
        with closing(self):
            self._play(seconds)
        for answer in self._report.answers:
            fault = find_fault(answer, self._runs[answer.attempt])
            if fault:
                self._report.faults.append(fault)
        return self._report

    def close(self) -> None:
        """End everything that this run has started."""
        self._is_over = True
        for entry in self._entries:
            entry.end()
        for proxy in (*self._store_proxies, *self._backend_proxies):
            proxy.stop()
        for backend in self._backends:
            backend.stop()
        self._store_server.stop(timeout=0)

    def _play(self, seconds: float) -> None:
        for entry in self._entries:
            entry.start()
        gevent.sleep(START_S)
        callers = [gevent.spawn(self._call_on) for _ in range(CALLERS)]
        with gevent.Timeout(seconds, exception=False):
            while True:
                self._play_fault()
                gevent.sleep(self._rng.uniform(0.1, 0.8))
        self._calm()
        gevent.sleep(SETTLE_S)
        before = self._report.served
        gevent.sleep(1)
        self._report.served_after = self._report.served - before
        self._is_over = True
        gevent.joinall(callers)

    def _call_on(self) -> None:
        while not self._is_over:
            self._next_attempt += 1
            method, path = self._rng.choice(PATHS)
            entry = self._rng.choice(self._entries)
            attempt = f'a{self._report.seed}-{self._next_attempt}'
            self._report.answers.append(ask(entry.address, attempt, method, path))
            gevent.sleep(PAUSE_S)

    def _play_fault(self) -> None:
        play = self._rng.choice(
            (
                self._pause_entry,
                self._kill_entry,
                self._stop_entry,
                self._reload_entry,
                self._disturb_store,
                self._disturb_backend,
                self._fail_store,
                self._replace_backend,
                self._change_config,
                self._store.forget_history,
            )
        )
        self._report.played.append(play.__name__)
        play()

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
        gevent.spawn_later(self._rng.uniform(3, 5), entry.start)

    def _reload_entry(self) -> None:
        self._rng.choice(self._entries).signal(signal.SIGHUP)

    def _disturb_store(self) -> None:
        self._disturb(self._rng.choice(self._store_proxies))

    def _disturb_backend(self) -> None:
        self._disturb(self._rng.choice(self._backend_proxies))

    def _disturb(self, proxy: LoopbackProxy) -> None:
        if self._rng.randrange(100) < RESET_PERCENT:
            proxy.reset()
            return
        proxy.disturb(self._rng.choice(list(Disturbance)))
        delay_s = self._rng.uniform(0.3, 2)
        gevent.spawn_later(delay_s, proxy.disturb, Disturbance.NONE)

    def _fail_store(self) -> None:
        self._store.faults.status = self._rng.choice((429, 503))
        delay_s = self._rng.uniform(0.3, 2)
        gevent.spawn_later(delay_s, self._heal_store)

    def _heal_store(self) -> None:
        self._store.faults.status = 0

    def _replace_backend(self) -> None:
        index = self._rng.randrange(len(self._backends))
        old = self._backends.pop(index)
        proxy = self._backend_proxies.pop(index)
        self._store.drop('servers', old.server_id)
        old.stop()
        proxy.stop()
        self._add_backend(f'{old.server_id}x')

    def _add_backend(self, server_id: str) -> None:
        backend = CountingBackend(server_id, self._runs, self._rng)
        proxy = LoopbackProxy(('127.0.0.1', backend.port))
        self._backends.append(backend)
        self._backend_proxies.append(proxy)
        record = {
            'service': 'ledger',
            'address': proxy.address,
            'zone': 'dc-0',
            'slots': 6,
            'state': 'ready',
        }
        self._store.put('servers', server_id, record)

    def _change_config(self) -> None:
        self._version += 1
        routes = [*CONFIG['routes'], SUMMARY_ROUTE]
        config = {**CONFIG, 'version': self._version, 'routes': routes}
        config['tenants'] = [{'name': 'hule930', 'apiKeys': ['key-a']}]
        self._store.put('op', 'config', config)

    def _calm(self) -> None:
        self._heal_store()
        for proxy in (*self._store_proxies, *self._backend_proxies):
            proxy.disturb(Disturbance.NONE)
        for entry in self._entries:
            entry.signal(signal.SIGCONT)
            entry.start()


def _free_ports() -> int:
    """Return the first of four ports that nothing listens on."""
    with plain_socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return 20_000 + probe.getsockname()[1] % 8000


def run_soak(seed: int, seconds: float, folder: Path | None = None) -> Report:
    """Play one seed; logs of the entries go to the folder."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return SoakRun(seed, folder).play(seconds)
    with tempfile.TemporaryDirectory() as temporary:
        return SoakRun(seed, Path(temporary)).play(seconds)
