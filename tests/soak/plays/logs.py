"""Find the log lines of requests in the logs of all entries."""

from pathlib import Path

import msgspec

MAX_LINE_CHARS = 600
MAX_LINES = 30


class _Line(msgspec.Struct):
    time: str


def find_lines(directory: Path, attempt_id: str) -> list[str]:
    """Return the first lines of a request in order of time, shortened."""
    found = [
        line
        for path in directory.glob('*.log')
        for line in path.read_bytes().splitlines()
        if attempt_id.encode() in line
    ]
    found.sort(key=lambda line: msgspec.json.decode(line, type=_Line).time)
    return [line.decode()[:MAX_LINE_CHARS] for line in found[:MAX_LINES]]
