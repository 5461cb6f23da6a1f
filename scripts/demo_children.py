"""Start the demo's processes and end them by their ids."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

STOP_TIMEOUT_S = 10
POLL_S = 0.05
LOG_TAIL_LINES = 15


class DemoError(Exception):
    """Say why the demo cannot go on."""


class Child:
    """Hold one process; its output goes to a file."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        # A session of its own keeps Ctrl-C for the demo, which then ends its
        # processes in order.
        with log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def check(self) -> None:
        """Raise `DemoError` if the process has ended."""
        code = self.process.poll()
        if code is not None:
            raise DemoError(f'{self.name} ended with {code}\n{self.log_tail()}')

    def log_tail(self) -> str:
        """Return the last lines of the process's output."""
        lines = self.log_path.read_text('utf-8', 'replace').splitlines()
        return '\n'.join(lines[-LOG_TAIL_LINES:])


class Children:
    """Start processes and end all of them, the last one first."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._children: list[Child] = []

    def start(self, name: str, *arguments: str) -> Child:
        """Start `python -m` with the arguments."""
        child = Child(name, list(arguments), self._directory / f'{name}.log')
        self._children.append(child)
        return child

    def check(self) -> None:
        """Raise `DemoError` if any process has ended."""
        for child in self._children:
            child.check()

    def stop(self, names: set[str] | None = None) -> dict[str, int]:
        """End processes (all if no names) and return their exit codes."""
        chosen = [
            one
            for one in reversed(self._children)
            if names is None or one.name in names
        ]
        for child in chosen:
            _send(child, signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        while time.monotonic() < end_s and any(map(_runs, chosen)):
            time.sleep(POLL_S)
        for late in filter(_runs, chosen):
            _send(late, signal.SIGKILL)
        self._children = [one for one in self._children if one not in chosen]
        return {ended.name: ended.process.wait() for ended in chosen}


def run_to_end(*arguments: str, timeout_s: float) -> str:
    """Run `python -m` with the arguments and return its output.

    Raises `DemoError` if it fails.
    """
    finished = subprocess.run(
        [sys.executable, '-m', *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=timeout_s,
    )
    if finished.returncode:
        shown = f'{finished.stdout}{finished.stderr}'
        raise DemoError(f'{" ".join(arguments)} failed: {shown}')
    return finished.stdout


def _runs(child: Child) -> bool:
    return child.process.poll() is None


def _send(child: Child, signal_number: int) -> None:
    if _runs(child):
        with contextlib.suppress(ProcessLookupError):
            os.kill(child.process.pid, signal_number)
