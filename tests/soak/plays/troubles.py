"""Bring trouble to the entries and servers of a play, one at a time."""

import itertools
import signal
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import TypeVar

import gevent

from tests.soak.plays.paths import ALL_PORTS, local_ports
from tests.soak.plays.system import GRACE_S, PlayEntry, PlaySystem

RESTART_S = 1
LOST_PATH_S = 2
SILENCE_S = 1
ERRORS_S = 1
FREEZE_S = 1.5
KILL_INTERVAL_S = 2.5
BUSY_S = 8
IDLE_S = 6
CONFIG_INTERVAL_S = 3
ADDED_ROUTES = 1500
# The share of entries that freeze at once.
FROZEN_SHARE = 4
# The longest wait for the end of a stopped process, and its checks.
STOP_TIMEOUT_S = GRACE_S + 2
CHECK_INTERVAL_S = 0.1
REST_SPREAD = 0.3

Victim = TypeVar('Victim')


class Troubles:
    """Bring the troubles of a plan, each in a greenlet of its own."""

    def __init__(self, system: PlaySystem, kills_at_once: int) -> None:
        self._system = system
        self._kills_at_once = kills_at_once
        self._rng = system.rng
        self._greenlets: list[gevent.Greenlet] = []
        self.trouble_by_name: dict[str, Callable[[], None]] = {
            'restart': self._restart_servers,
            'resets': self._reset_connections,
            'path': self._lose_paths,
            'silence': self._silence_servers,
            'answers': self._answer_errors,
            'kills': self._kill_entries,
            'stops': self._stop_entries,
            'freeze': self._freeze_entries,
            'idle': self._pause_callers,
            'configs': self._change_configs,
        }

    def start(self) -> None:
        """Begin all troubles of the plan."""
        for name in self._system.plan.troubles:
            self._greenlets.append(gevent.spawn(self.trouble_by_name[name]))

    def stop(self) -> None:
        """End all troubles; what they broke is not mended."""
        gevent.killall(self._greenlets)

    def _restart_servers(self) -> None:
        for server in self._in_turn(self._system.servers):
            server.close()
            gevent.sleep(RESTART_S)
            server.open()

    def _reset_connections(self) -> None:
        for server in self._in_turn(self._system.servers):
            server.lose_path(_all_ports)
            gevent.sleep(RESTART_S)
            server.lost_ports = None

    def _lose_paths(self) -> None:
        for entry in self._in_turn(self._system.entries):
            for server in self._system.servers:
                server.lose_path(partial(_ports_of, entry))
            gevent.sleep(LOST_PATH_S)
            for server in self._system.servers:
                server.lost_ports = None

    def _silence_servers(self) -> None:
        for server in self._in_turn(self._system.servers):
            server.fall_silent(SILENCE_S)
            gevent.sleep(SILENCE_S)

    def _answer_errors(self) -> None:
        for server in self._in_turn(self._system.servers):
            server.answers_errors = True
            gevent.sleep(ERRORS_S)
            server.answers_errors = False

    def _kill_entries(self) -> None:
        while True:
            gevent.sleep(KILL_INTERVAL_S)
            for entry in self._rng.sample(self._system.entries, self._kills_at_once):
                entry.fail()
                entry.start()

    def _stop_entries(self) -> None:
        for entry in itertools.cycle(self._system.entries):
            entry.signal(signal.SIGTERM)
            with gevent.Timeout(STOP_TIMEOUT_S, exception=False):
                while entry.pid:
                    gevent.sleep(CHECK_INTERVAL_S)
            entry.is_ready = False
            entry.kill()
            entry.start()
            while not entry.is_ready:
                gevent.sleep(CHECK_INTERVAL_S)

    def _freeze_entries(self) -> None:
        entries = self._system.entries
        count = max(1, len(entries) // FROZEN_SHARE)
        for start in self._in_turn(range(0, len(entries), count)):
            for entry in entries[start : start + count]:
                entry.signal(signal.SIGSTOP)
            gevent.sleep(FREEZE_S)
            for entry in entries[start : start + count]:
                entry.signal(signal.SIGCONT)

    def _pause_callers(self) -> None:
        while True:
            gevent.sleep(BUSY_S)
            self._system.is_idle = True
            gevent.sleep(IDLE_S)
            self._system.is_idle = False

    def _change_configs(self) -> None:
        while True:
            gevent.sleep(CONFIG_INTERVAL_S)
            self._system.change_config(ADDED_ROUTES)

    def _in_turn(self, victims: Iterable[Victim]) -> Iterator[Victim]:
        """Yield the victims over and over, with a rest before each."""
        rest_s = self._system.plan.rest_s
        for victim in itertools.cycle(victims):
            gevent.sleep(rest_s * self._rng.uniform(1 - REST_SPREAD, 1 + REST_SPREAD))
            yield victim


def _ports_of(entry: PlayEntry) -> frozenset[int]:
    return local_ports(entry.pid)


def _all_ports() -> frozenset[int]:
    return ALL_PORTS
