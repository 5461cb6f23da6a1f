"""Run entry processes and send signals to them."""

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SETTINGS = """
nodeName = "{vm}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{peer_port},{delegation_port}]
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
metrics = "{ip}:{metrics_port}"
[bounds]
graceS = 4
retryBudgetRatio = 0.2
budgetSlack = 58
[platform]
address = "{store}"
"""


class EntryProcess:
    """Manage one entry process; signals go only to its own process id."""

    def __init__(
        self, number: int, base_port: int, store: str, directory: Path
    ) -> None:
        self.vm = f'entry-{number}'
        ip = f'127.0.1.{number + 1}'
        self.address = (ip, base_port)
        self._directory = directory
        self._process: subprocess.Popen | None = None
        settings = SETTINGS.format(
            vm=self.vm,
            ip=ip,
            zone=f'dc-{number % 2}',
            front_port=base_port,
            ready_port=base_port + 1,
            peer_port=base_port + 2,
            delegation_port=base_port + 3,
            metrics_port=base_port + 4,
            store=store,
        )
        self._settings_path = directory / f'{self.vm}.toml'
        self._settings_path.write_text(settings)

    def start(self) -> None:
        """Start the process if it is not running."""
        if self._process is not None and self._process.poll() is None:
            return
        log = self._directory / f'{self.vm}.log'
        with log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marjoramfall.platform'],
                cwd=ROOT,
                env={**os.environ, 'MARJORAMFALL_NODE_FILE': str(self._settings_path)},
                stdout=output,
                stderr=output,
            )

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while the process runs or before its start."""
        return None if self._process is None else self._process.poll()

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()
