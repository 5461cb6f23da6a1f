"""Start entries as the deploy file does, and end them."""

import asyncio
import os
import secrets
import signal
import socket
import subprocess
import sys
import tomllib
from contextlib import closing
from pathlib import Path

from review.harness2.http_wire import read_head

ROOT = Path(__file__).resolve().parents[2]
READY_WAIT_S = 30.0
POLL_S = 0.1
OK = 200
# What each machine of a deployment listens on; the addresses differ.
FRONT_PORT = 8221
READY_PORT = 8224
INTERNAL_PORTS = (7600, 7615)
STORE_PORT = 8225
MOST_NUMBERS = 250

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region"
internalPorts = [{first_port}, {last_port}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "quota", "rollout", "platform",
]
[zones]
zone-a = "region"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
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
writesPerS = 400
readsPerS = 2000
"""


def free_hosts(count: int) -> list[str]:
    """Return loopback addresses on which all ports of a machine are free."""
    found: list[str] = []
    while len(found) < count:
        numbers = (2 + secrets.randbelow(MOST_NUMBERS) for _ in range(3))
        host = '.'.join(('127', *map(str, numbers)))
        if host not in found and _is_free(host):
            found.append(host)
    return found


def _is_free(host: str) -> bool:
    for port in (FRONT_PORT, READY_PORT, *INTERNAL_PORTS, STORE_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Entry:
    """Run one entry process."""

    def __init__(self, name: str, host: str, store: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self._settings = folder / f'{name}.toml'
        self._store = store
        self._log = (folder / f'{name}.log').open('ab')
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program that the deploy file names."""
        # True only when the whole system starts for the first time.
        self._write_settings(bootstrap=self.process is None)
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'MARJORAMFALL_NODE_FILE': str(self._settings),
        }
        self.process = subprocess.Popen(
            [sys.executable, *command[1:]],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Return whether the process says that it is ready."""
        try:
            return await asyncio.wait_for(self._ask_ready(), timeout_s)
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        async with asyncio.timeout(READY_WAIT_S):
            while not await self.is_ready():
                await asyncio.sleep(POLL_S)

    def _write_settings(self, *, bootstrap: bool) -> None:
        settings = SETTINGS.format(
            name=self.name,
            ip=self.host,
            store=self._store,
            bootstrap=str(bootstrap).lower(),
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            first_port=INTERNAL_PORTS[0],
            last_port=INTERNAL_PORTS[1],
        )
        self._settings.write_text(settings)

    async def _ask_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(self.host, READY_PORT)
        with closing(writer):
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: entry\r\n\r\n')
            head = await read_head(reader)
        return head is not None and head.status == OK
