"""Write down what was sent, run and answered."""

import time
from pathlib import Path


class Record:
    """Append lines with the time since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def write(self, line: str) -> None:
        """Append a line."""
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f'{elapsed_s:8.3f} {line}\n')
        self._file.flush()

    def conclude(self, line: str) -> None:
        """Append a line and print it."""
        self.write(line)
        print(line)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
