"""Count the store transactions that keyed requests take.

Run with `python -m benchmarks store_writes`.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from benchmarks.table_writer import TableWriter
from marjoramfall.clock import RuntimeClock
from marjoramfall.platform_services import Row, TableService
from marjoramfall.request.key_claim import (
    AlreadyDispatchedError,
    ClaimOutcome,
    KeyStoreUnavailableError,
    ScopedKey,
)
from marjoramfall.request.key_claims import TableKeyClaims
from marjoramfall.request.swap_batcher import MAX_BATCH_ROWS, SwapBatcher

STORE_LATENCY_SECONDS = 0.005
REQUESTS = 600
SEED = 7
DISPATCHED = ClaimOutcome(dispatched=True, status=200)
RECORDED = ClaimOutcome(dispatched=True, status=200, body=b'{}', recorded=True)


class CountingTable(TableService):
    """Keep rows in memory and count transactions and reads."""

    def __init__(self) -> None:
        self.transactions = 0
        self.reads = 0
        self._rows = {}

    def transact(self, conditions, writes) -> bool:
        """Apply all writes if all conditions hold."""
        self.transactions += 1
        gevent.sleep(STORE_LATENCY_SECONDS)
        holds = all(self._rows.get(row.key) == row.equals for row in conditions)
        if holds:
            self._rows.update({row.key: row.value for row in writes})
        return holds

    def read(self, table: str, key: str) -> str | None:
        """Return a row."""
        self.reads += 1
        gevent.sleep(STORE_LATENCY_SECONDS)
        return self._rows.get(key)

    def scan(self, table, *, prefix='', after='', limit=100) -> list[Row]:
        """Return nothing; claims never scan."""
        return []


@dataclass(frozen=True)
class Load:
    """Describe keyed requests at one entry."""

    per_second: int
    repeated_share: float
    rows_per_batch: int
    outcome: ClaimOutcome = DISPATCHED


class Caller:
    """Send keyed requests and count those refused for lack of the store."""

    def __init__(self, claims: TableKeyClaims, outcome: ClaimOutcome) -> None:
        self.unavailable = 0
        self._outcome = outcome
        self._claims = claims

    def request(self, key: str, claim_id: str) -> None:
        """Claim and release one key."""
        scope = ScopedKey(team_id='t', service_id='s', key=key, fingerprint='f')
        try:
            self._claims.claim(scope, claim_id)
        except KeyStoreUnavailableError:
            self.unavailable += 1
        except AlreadyDispatchedError:
            return
        else:
            self._claims.release(scope, claim_id, self._outcome)


def measure(load: Load) -> tuple[float, float, int]:
    """Return transactions and reads per request, and refused requests."""
    generator = random.Random(SEED)
    clock = RuntimeClock()
    table = CountingTable()
    batcher = SwapBatcher(table, clock, max_rows=load.rows_per_batch)
    claims = TableKeyClaims(table, clock, 'entry', batcher=batcher)
    caller = Caller(claims, load.outcome)
    workers = Pool()
    for number in range(REQUESTS):
        is_repeated = number > 0 and generator.random() < load.repeated_share
        key = generator.randrange(number) if is_repeated else number
        workers.spawn(caller.request, f'key-{key}', f'claim-{number}')
        gevent.sleep(generator.expovariate(load.per_second))
    workers.join()
    claims.drain(60_000)
    transactions = table.transactions / REQUESTS
    return transactions, table.reads / REQUESTS, caller.unavailable


def loads() -> Iterator[Load]:
    """Yield the loads to be measured."""
    for per_second in (20, 100, 300, 1000):
        for repeated_share in (0, 0.05):
            yield Load(per_second, repeated_share, 1)
            yield Load(per_second, repeated_share, MAX_BATCH_ROWS)
        yield Load(per_second, 0, MAX_BATCH_ROWS, RECORDED)


def run(table_writer: TableWriter) -> None:
    """Print a table of loads and their store calls."""
    columns = (
        'requests/s',
        'repeated',
        'recorded',
        'batch',
        'writes',
        'reads',
        'failed',
    )
    rows = [
        (
            load.per_second,
            f'{load.repeated_share:.0%}',
            load.outcome.recorded,
            load.rows_per_batch,
            *measure(load),
        )
        for load in loads()
    ]
    table_writer.write('store calls per keyed request', columns, rows)
