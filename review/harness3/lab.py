"""Start entries with the command of the deploy file, and record what happens."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import closing
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path

from review.harness3.engine import Engine
from review.harness3.store import LOOPBACK, Store

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'lab.example'
KEY = 'lab-key-1'
READY_LIMIT_S = 20.0
POLL_S = 0.1
STOP_LIMIT_S = 10.0
PORTS = range(20_000, 32_000)
given_ports: set[int] = set()
OK = 200
HELD = 0
BROKEN = 1
NOT_RUN = 2
# Sizes and bounds of the small deployment `snowdome-host`.
BOUNDS = (
    'seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n'
    'drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\n'
    'rollbackSlackMs = 250\nmaxStretchMs = 5000\nfailClosed = false\n'
    'revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\n'
    'quotaWindowS = 8\nquotaOver = 0.1\nquotaSlack = 190000\nexposeShare = 0.1\n'
    'exposeSlack = 50\nrollbackMs = 5000\nrecoveryS = 12\npassMs = 120\n'
    'reuseWindowS = 10\n'
)
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "dc-a"
region = "region-a"
internalPorts = [{peer_port}, {last_port}]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
dc-a = "region-a"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
memoryMb = 300
maxFds = 4100
[bounds]
{bounds}[platform]
address = "{store}"
form = "table"
"""


class LabError(Exception):
    """Report that a case could not run."""


@dataclass(frozen=True)
class Answer:
    """Hold what a caller got; status 0 for no complete answer."""

    attempt_id: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b''
    seal: str = ''


class Record:
    """Write what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started_s = time.monotonic()

    def note(self, **fields: object) -> None:
        """Write one line."""
        seconds = round(time.monotonic() - self._started_s, 3)
        self._file.write(json.dumps({'at_s': seconds, **fields}) + '\n')
        self._file.flush()

    def seconds(self, monotonic_s: float) -> float:
        """Return a time as it is written in the record."""
        return round(monotonic_s - self._started_s, 3)


class EntryProcess:
    """Run one entry on loopback addresses of its own."""

    def __init__(self, name: str, store: Store, folder: Path) -> None:
        self.name = name
        self.front = free_address()
        self.ready = free_address()
        self._folder = folder
        self._settings = folder / f'{name}.toml'
        peer_port = free_ports(2)
        text = SETTINGS.format(
            name=name,
            ip=LOOPBACK,
            front=self.front,
            ready=self.ready,
            peer_port=peer_port,
            last_port=peer_port + 1,
            bounds=BOUNDS,
            store=store.address,
        )
        # Entries of one host can't share the usual port of the metrics.
        listen = f'[listen]\nmetrics = "{free_address()}"'
        self._settings.write_text(text.replace('[listen]', listen))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        words = deploy['roles']['entry']['run'].split(' ')
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment = {
            **kept,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'MARJORAMFALL_NODE_FILE': str(self._settings),
        }
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        if self.process.poll() is not None:
            raise LabError(f'{self.name} has ended')
        try:
            return _get_status(self.ready, '/-/ready') == OK
        except (OSError, HTTPException):
            return False

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(STOP_LIMIT_S)


class Lab:
    """Hold the store, the engines and the entries of a case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.engines: list[Engine] = []
        self.entries: list[EntryProcess] = []
        self._directory = tempfile.TemporaryDirectory()
        self.folder = Path(self._directory.name)
        self._numbers = count(1)

    def add_engine(self, engine: Engine, *, slots: int = 6) -> Engine:
        """Register an engine in the store."""
        self.engines.append(engine)
        self.store.put('servers', engine.engine_id, engine.entry(slots=slots))
        return engine

    def start_entries(self, number: int) -> None:
        """Start entries and wait until all are ready."""
        for index in range(1, number + 1):
            entry = EntryProcess(f'front-{index}', self.store, self.folder)
            self.entries.append(entry)
            entry.start()
        end_s = time.monotonic() + READY_LIMIT_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end_s:
                raise LabError('the entries are not ready')
            time.sleep(POLL_S)
        self.record.note(event='entries ready', entries=number)

    def send(
        self, entry: EntryProcess, method: str, path: str, *, deadline_ms: int = 1000
    ) -> Answer:
        """Send one request on a connection of its own and return its answer."""
        attempt_id = f'a-{next(self._numbers)}'
        headers = {
            'Host': HOST,
            'Marjoramfall-Attempt-Id': attempt_id,
            'Marjoramfall-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
        }
        sent_s = time.monotonic()
        status, body, seal = _exchange(entry.front, method, path, headers)
        ended_s = time.monotonic()
        answer = Answer(attempt_id, sent_s, ended_s, status, body, seal)
        self.record.note(
            event='answer',
            entry=entry.name,
            attempt=attempt_id,
            path=path,
            sent_s=self.record.seconds(sent_s),
            status=status,
        )
        return answer

    def note_runs(self) -> None:
        """Write all runs of the engines to the record."""
        for engine in self.engines:
            for run in engine.runs:
                self.record.note(
                    event='run',
                    engine=run.engine,
                    attempt=run.attempt_id,
                    target=run.target,
                    run_s=self.record.seconds(run.at_s),
                )

    def close(self) -> None:
        """End all processes."""
        for entry in self.entries:
            entry.end()
        self._directory.cleanup()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_address() -> str:
    """Return a loopback address whose port is free, and is given out once."""
    return f'{LOOPBACK}:{free_ports(1)}'


def free_ports(number: int) -> int:
    """Return the first of some free ports in a row, below those of clients."""
    while True:
        first = random.choice(PORTS)
        ports = set(range(first, first + number))
        if ports.isdisjoint(given_ports) and all(map(_is_free, ports)):
            given_ports.update(ports)
            return first


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def _get_status(address: str, path: str) -> int:
    host, _, port = address.partition(':')
    with closing(HTTPConnection(host, int(port), timeout=1)) as client:
        client.request('GET', path)
        return client.getresponse().status


def _exchange(
    address: str, method: str, path: str, headers: dict[str, str]
) -> tuple[int, bytes, str]:
    host, _, port = address.partition(':')
    client = HTTPConnection(host, int(port), timeout=10)
    body = b'{}' if method == 'POST' else None
    try:
        client.request(method, path, body=body, headers=headers)
        response = client.getresponse()
        seal = response.getheader('Marjoramfall-Response-Seal') or ''
        return response.status, response.read(), seal
    except (OSError, HTTPException):
        return 0, b'', ''
    finally:
        client.close()
