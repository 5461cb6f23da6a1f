"""Read the true counts of stand-in backend servers."""

from collections import Counter
from collections.abc import Sequence

import msgspec
from geventhttpclient import HTTPClient

from marjoramfall.replay.outcome import Outcome, OutcomeKind


class ServerStats(msgspec.Struct):
    """Hold the counts of one stand-in."""

    version: str = ''
    requests: int = 0
    runs_by_id: dict[str, int] = {}
    runs_by_key: dict[str, int] = {}
    counts: dict[str, int] = {}


def read_stats(address: str) -> ServerStats:
    """Return the counts of the stand-in at `IP:port`; raises `OSError`."""
    host, port = address.rsplit(':', 1)
    client = HTTPClient(host, int(port))
    response = client.get('/stats')
    return msgspec.json.decode(response.read(), type=ServerStats)


def total_counts(stats: Sequence[ServerStats]) -> Counter[str]:
    """Return the sums of the counts of several stand-ins."""
    total: Counter[str] = Counter()
    for server in stats:
        total.update(server.counts)
    return total


def find_key_violations(
    outcomes: Sequence[Outcome], stats: Sequence[ServerStats]
) -> list[str]:
    """Return a line for each request with a key that ran too often.

    A good request ran exactly once, a refused one never, any other at most
    once. The counts hold only if all backend servers are among `stats`.
    """
    runs: Counter[str] = Counter()
    for server in stats:
        runs.update(server.runs_by_key)
    found = []
    for outcome in outcomes:
        ran = runs[outcome.key]
        if outcome.key and not _may_have_run(outcome.kind, ran):
            found.append(f'{outcome.kind} request with key {outcome.key} ran {ran}x')
    return found


def _may_have_run(kind: OutcomeKind, ran: int) -> bool:
    if kind == OutcomeKind.REFUSED:
        return ran == 0
    if kind in {OutcomeKind.GOOD, OutcomeKind.LATE}:
        return ran == 1
    return ran <= 1
