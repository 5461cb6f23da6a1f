"""Run entries of the project as separate processes, as the deploy file says."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import time
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'
COMMAND = ('python3', '-m', 'marjoramfall.platform')
PASSED_ON = ('PATH', 'HOME', 'LANG')
START_TIMEOUT_S = 20
READY_TIMEOUT_S = 1
CHECK_INTERVAL_S = 0.1
FIRST_PORT = 20_000
PORT_COUNT = 9_000
PORTS_OF_ENTRY = 20
LOG_TAIL_CHARS = 500
READY_REQUEST = b'GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internalPorts = [{internal_port},{last_internal_port}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
metrics = "{ip}:{metrics_port}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 190000
exposeShare = 0.1
exposeSlack = 50
rollbackMs = 5000
recoveryS = 12
passMs = 120
[platform]
address = "{store}"
form = "table"
"""


class CannotRunError(Exception):
    """Indicate that a case could not be run."""


@dataclass(frozen=True, slots=True)
class Ports:
    """Hold the first of the ports that an entry uses at its own address."""

    first: int

    @property
    def front(self) -> int:
        """Return the port for clients."""
        return self.first

    @property
    def ready(self) -> int:
        """Return the port for the load balancer."""
        return self.first + 1


class EntryProcess:
    """Manage one entry; signals go only to its own process id."""

    def __init__(self, number: int, store: str, directory: Path) -> None:
        self.name = f'front-zone-a-{number}'
        self.ip = f'127.0.8.{number + 1}'
        self.ports = Ports(_choose_first_port(self.ip))
        self._directory = directory
        self._process: subprocess.Popen | None = None
        first_port = self.ports.first
        self._settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            store=store,
            front_port=self.ports.front,
            ready_port=self.ports.ready,
            metrics_port=first_port + 2,
            internal_port=first_port + 3,
            last_internal_port=first_port + PORTS_OF_ENTRY - 1,
        )

    def start(self) -> None:
        """Start the process with the environment that the platform gives it."""
        path = self._directory / f'{self.name}.toml'
        path.write_text(self._settings, encoding='utf-8')
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        environment['MARJORAMFALL_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        log_path = self._directory / f'{self.name}.log'
        with log_path.open('ab') as log:
            self._process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def memory_kb(self) -> int:
        """Return the resident memory of the process, in KB."""
        status = Path(f'/proc/{self._process.pid}/status').read_text(encoding='utf-8')
        found = re.search(r'VmRSS:\s+(\d+) kB', status)
        return int(found.group(1)) if found else 0

    async def is_ready(self) -> bool:
        """Ask the entry whether it is ready, as the load balancer does."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self._ask_ready()
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until the entry is ready; raises `CannotRunError`."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f'{self.name} is not ready: {self._last_lines()}')
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _last_lines(self) -> str:
        log_path = self._directory / f'{self.name}.log'
        return log_path.read_text(encoding='utf-8')[-LOG_TAIL_CHARS:]

    async def _ask_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(self.ip, self.ports.ready)
        with closing(writer):
            writer.write(READY_REQUEST)
            line = await reader.readline()
        return b' 200' in line


def _choose_first_port(ip: str) -> int:
    """Return the first of `PORTS_OF_ENTRY` ports that were all free just now."""
    while True:
        first_port = FIRST_PORT + random.randrange(PORT_COUNT)
        ports = range(first_port, first_port + PORTS_OF_ENTRY)
        if all(_is_free(ip, port) for port in ports):
            return first_port


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
