"""Find the log lines of requests in the logs of all entries."""

from pathlib import Path

MAX_LINE_CHARS = 600
MAX_LINES = 30


def find_lines(directory: Path, attempt_id: str) -> list[str]:
    """Return the first lines of a request in order of time, shortened."""
    found = [
        line
        for path in directory.glob('*.log')
        for line in path.read_text(errors='replace').splitlines()
        if attempt_id in line
    ]
    # Each line begins with its time.
    return [line[:MAX_LINE_CHARS] for line in sorted(found)[:MAX_LINES]]
