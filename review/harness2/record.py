"""Write down what a case has sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Append lines with the time since the start to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._begun_s = time.monotonic()
        self._path = folder / 'record.txt'
        self._path.write_text('')

    def add(self, line: str) -> None:
        """Add a line, and show it."""
        elapsed_s = time.monotonic() - self._begun_s
        text = f'{elapsed_s:8.3f} s  {line}'
        with self._path.open('a') as record_file:
            record_file.write(f'{text}\n')
        print(text, flush=True)
