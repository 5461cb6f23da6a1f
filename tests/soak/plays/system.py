"""Assemble the entries, the servers and the store of a play."""

import itertools
import random
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, replace
from pathlib import Path

import gevent
from gevent.pywsgi import WSGIServer
from gevent.socket import create_connection

from marjoramfall.clock import MS_PER_SECOND, RuntimeClock
from marjoramfall_standins.loopback import HOST
from marjoramfall_standins.store import StoreStandin
from tests.platform_records import CONFIG
from tests.soak.entries import (
    ROOT,
    EntryOptions,
    EntryProcess,
    FirstStart,
    choose_base_port,
)
from tests.soak.plays.servers import PlayServer

READY_REQUEST = b'GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
READY_LINE = b'HTTP/1.1 200'
READY_TIMEOUT_S = 1
CHECK_INTERVAL_S = 0.5
START_TIMEOUT_S = 60
LAG_INTERVAL_S = 0.05
GRACE_S = 8
FIRST_CONFIG_VERSION = 10
BOOKING_ROUTE, STREAM_ROUTE, READING_ROUTE = CONFIG['routes']


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold what is played."""

    entries: int
    servers: int
    callers: int
    troubles: tuple[str, ...]
    seconds: float
    seed: int
    max_attempts: int = 2
    # The mean pause between two troubles of a kind, such as two restarts.
    rest_s: float = 1.5
    root: Path = ROOT
    mixed_root: Path | None = None
    first_start: FirstStart = FirstStart.ONCE


class PlayEntry(EntryProcess):
    """Manage an entry, and know when it is ready and when it was killed."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.is_ready = False
        self._killed_ms: list[float] = []

    def watch(self) -> None:
        """Ask at an interval whether the entry is ready; never returns."""
        while True:
            self.is_ready = self.asks_for_callers()
            gevent.sleep(CHECK_INTERVAL_S)

    def asks_for_callers(self) -> bool:
        """Return whether the entry says that it is ready."""
        with suppress(OSError):
            with create_connection(self.ready_address, READY_TIMEOUT_S) as asked:
                asked.sendall(READY_REQUEST)
                return asked.recv(len(READY_LINE)) == READY_LINE
        return False

    def fail(self) -> None:
        """Kill the process; its callers are sent elsewhere from now on."""
        self.is_ready = False
        self._killed_ms.append(RuntimeClock().monotonic_ms())
        self.kill()

    def was_killed(self, since_ms: float, until_ms: float) -> bool:
        """Return whether the entry was killed between two times."""
        return any(since_ms <= killed_ms <= until_ms for killed_ms in self._killed_ms)


class PlaySystem:
    """Run the store and the entries of a play, which share servers."""

    def __init__(
        self,
        plan: Plan,
        servers: Sequence[PlayServer],
        team: dict[str, object],
        directory: Path,
    ) -> None:
        self.plan = plan
        self.servers = servers
        self.rng = random.Random(plan.seed)
        self.clock = RuntimeClock()
        # How late this process, which is also the callers and servers, was at worst.
        self.longest_lag_ms = float(0)
        self.is_idle = False
        self._greenlets: list[gevent.Greenlet] = []
        self._team = team
        self._versions = itertools.count(FIRST_CONFIG_VERSION)
        self._turns = itertools.count()
        self._store = StoreStandin()
        self._store_server = WSGIServer(
            (HOST, 0), self._store, log=None, error_log=None
        )
        self._store_server.start()
        store = f'{HOST}:{self._store_server.server_port}'
        self.entries = [
            PlayEntry(number, choose_base_port(), store, directory, options)
            for number, options in enumerate(_list_options(plan))
        ]

    @contextmanager
    def running(self) -> Iterator[None]:
        """Start all parts, and end the processes afterwards."""
        for server in self.servers:
            self._store.put('servers', server.server_id, server.registration)
        self.change_config(0)
        with ExitStack() as stack:
            stack.callback(self._stop)
            self._start()
            yield

    def wait_until_ready(self) -> None:
        """Wait for all entries; raises `gevent.Timeout`."""
        with gevent.Timeout(START_TIMEOUT_S):
            while not all(entry.is_ready for entry in self.entries):
                gevent.sleep(CHECK_INTERVAL_S)

    def change_config(self, added_routes: int) -> None:
        """Write a new version of the configuration, with more routes."""
        version = next(self._versions)
        routes = [
            BOOKING_ROUTE,
            {
                **STREAM_ROUTE,
                'service': 'tutor',
                'trafficSplit': [],
                'maxAttempts': self.plan.max_attempts,
            },
        ]
        for number in range(added_routes):
            added = {'name': f'v{version}-{number}', 'prefix': f'/v{version}/{number}/'}
            routes.append({**READING_ROUTE, **added})
        config = {**CONFIG, 'version': version, 'routes': routes}
        self._store.put('op', 'config', {**config, 'tenants': [self._team]})

    def choose_entry(self) -> PlayEntry:
        """Return the entry that gets the next connection, in turn."""
        ready = [entry for entry in self.entries if entry.is_ready] or self.entries
        return ready[next(self._turns) % len(ready)]

    def _start(self) -> None:
        for entry in self.entries:
            entry.start()
            self._greenlets.append(gevent.spawn(entry.watch))
        self._greenlets.append(gevent.spawn(self._measure_lag))

    def _stop(self) -> None:
        gevent.killall(self._greenlets)
        for entry in self.entries:
            entry.kill()
        for server in self.servers:
            server.close()
        self._store_server.stop(timeout=0)

    def _measure_lag(self) -> None:
        while True:
            due_ms = self.clock.monotonic_ms() + LAG_INTERVAL_S * MS_PER_SECOND
            gevent.sleep(LAG_INTERVAL_S)
            lag_ms = self.clock.monotonic_ms() - due_ms
            self.longest_lag_ms = max(self.longest_lag_ms, lag_ms)


def _list_options(plan: Plan) -> list[EntryOptions]:
    """Return the options of each entry; every second one may be of another build."""
    options = EntryOptions(
        root=plan.root,
        data_centres=1,
        grace_s=GRACE_S,
        first_start=plan.first_start,
    )
    second_options = replace(options, root=plan.mixed_root or plan.root)
    pairs = itertools.cycle((options, second_options))
    return list(itertools.islice(pairs, plan.entries))
