"""Run entry processes and send signals to them."""

import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SETTINGS = """
nodeName = "{vm}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{peer_port},{delegation_port}]
bootstrap = {is_first_start}
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
metrics = "{ip}:{metrics_port}"
[bounds]
graceS = {grace_s}
retryBudgetRatio = 0.2
budgetSlack = 58
quotaOver = 0.1
quotaSlack = 190000
[platform]
address = "{store}"
"""


class FirstStart(Enum):
    """List the starts at which entries are told that the system never ran before."""

    NEVER = 'never'
    ONCE = 'once'
    ALWAYS = 'always'


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """Hold what is set for the entries of a run."""

    root: Path = ROOT
    data_centres: int = 2
    grace_s: int = 4
    first_start: FirstStart = FirstStart.NEVER


DEFAULT_OPTIONS = EntryOptions()


class EntryProcess:
    """Manage one entry process; signals go only to its own process id."""

    def __init__(
        self,
        number: int,
        base_port: int,
        store: str,
        directory: Path,
        options: EntryOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.vm = f'entry-{number}'
        ip = f'127.0.1.{number + 1}'
        self.address = (ip, base_port)
        self.ready_address = (ip, base_port + 1)
        self.log_path = directory / f'{self.vm}.log'
        self._options = options
        self._process: subprocess.Popen | None = None
        self._settings = {
            'vm': self.vm,
            'ip': ip,
            'zone': f'dc-{number % options.data_centres}',
            'front_port': base_port,
            'ready_port': base_port + 1,
            'peer_port': base_port + 2,
            'delegation_port': base_port + 3,
            'metrics_port': base_port + 4,
            'grace_s': options.grace_s,
            'store': store,
        }
        self._settings_path = directory / f'{self.vm}.toml'

    @property
    def pid(self) -> int:
        """Return the process id, 0 if the process does not run."""
        is_running = self._process is not None and self._process.poll() is None
        return self._process.pid if is_running else 0

    def start(self) -> None:
        """Start the process if it is not running."""
        if self.pid:
            return
        self._write_settings()
        root = str(self._options.root)
        with self.log_path.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marjoramfall.platform'],
                cwd=root,
                env={
                    **os.environ,
                    'PYTHONPATH': root,
                    'MARJORAMFALL_NODE_FILE': str(self._settings_path),
                },
                stdout=output,
                stderr=output,
            )

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.pid:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()

    def _write_settings(self) -> None:
        first_start = self._options.first_start
        is_first_start = first_start is FirstStart.ALWAYS or (
            first_start is FirstStart.ONCE and self._process is None
        )
        settings = SETTINGS.format(
            **self._settings, is_first_start=str(is_first_start).lower()
        )
        self._settings_path.write_text(settings)


def choose_base_port() -> int:
    """Return the first of five ports, derived from a free one but not checked."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return 20_000 + probe.getsockname()[1] % 8000
