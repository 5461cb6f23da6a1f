"""Stand in for the metadata store of the users' platform."""

import base64
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import msgspec
from gevent import sleep
from gevent.event import Event

REASONS = {
    200: '200 OK',
    404: '404 Not Found',
    410: '410 Gone',
    412: '412 Precondition Failed',
    429: '429 Too Many Requests',
    503: '503 Service Unavailable',
}
MAX_ROWS = 500
MS_PER_SECOND = 1000
# Longer than any client waits.
SWALLOWED_S = 60


@dataclass(slots=True)
class StoredRow:
    """Hold a row; `value` is None once it was dropped."""

    table: str
    key: str
    value: str | None
    ver: int


@dataclass(slots=True)
class StoreFaults:
    """Hold the faults that are injected now.

    `status` answers every call, `lose_writes` performs writes and answers
    nothing, `delay_s` slows every call down, `swallow` never answers calls
    that arrive meanwhile, `refused_table` can't be read.
    """

    status: int = 0
    lose_writes: bool = False
    delay_s: float = 0
    swallow: bool = False
    refused_table: str = ''


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold the rows of the store at a revision."""

    revision: int
    row_by_name: dict[tuple[str, str], StoredRow]


@dataclass(slots=True)
class StoreStandin:
    """Keep rows of one part and answer the calls of the store."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0
    waits: int = 0
    era: int = 1
    _revision: int = 0
    _row_by_name: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    _oldest_change: int = 0
    _changed: Event = field(default_factory=Event)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer a call as a WSGI application."""
        self.calls += 1
        if self.faults.delay_s:
            sleep(self.faults.delay_s)
        if self.faults.swallow:
            sleep(SWALLOWED_S)
        if self.faults.status:
            return self._respond(start_response, self.faults.status, {})
        parsed = parse_qs(environ['QUERY_STRING'])
        query = {name: values[0] for name, values in parsed.items()}
        path = environ['PATH_INFO']
        if (
            self.faults.refused_table
            and query.get('table') == self.faults.refused_table
        ):
            return self._respond(start_response, 503, {})
        if path == '/-/rows-get':
            return self._respond(start_response, 200, self._read(query))
        if path == '/-/rows-feed':
            return self._follow(query, start_response)
        if path == '/-/rows-tx':
            return self._transact(environ['wsgi.input'].read(), start_response)
        return self._respond(start_response, 404, {})

    def put(self, table: str, key: str, document: object) -> int:
        """Write a document as the operator or a server does."""
        return self.put_raw(table, key, msgspec.json.encode(document))

    def put_raw(self, table: str, key: str, content: bytes) -> int:
        """Write bytes and return the revision."""
        return self._store(table, key, base64.b64encode(content).decode())

    def drop(self, table: str, key: str) -> int:
        """Drop a row and return the revision."""
        return self._store(table, key, None)

    def get(self, table: str, key: str) -> bytes | None:
        """Return the content of a row."""
        row = self._row_by_name.get((table, key))
        if row is None or row.value is None:
            return None
        return base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Drop all changes up to now; followers have to read again."""
        self._oldest_change = self._revision
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy for `restore`."""
        return StoreCopy(self._revision, dict(self._row_by_name))

    def restore(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy; revisions are given out again."""
        self.era += 1
        self._revision = copy.revision
        self._row_by_name = dict(copy.row_by_name)
        self._wake()

    def _store(self, table: str, key: str, value: str | None) -> int:
        self._revision += 1
        row = StoredRow(table, key, value, self._revision)
        self._row_by_name[(table, key)] = row
        self._wake()
        return self._revision

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _read(self, query: dict[str, str]) -> dict[str, object]:
        start = query.get('from', '')
        rows = [
            row
            for row in self._rows(query['table'])
            if row.value is not None and row.key >= start
        ]
        rows.sort(key=lambda row: row.key.encode())
        limit = int(query.get('limit', MAX_ROWS))
        return {
            **self._document(rows[:limit]),
            'hasMore': len(rows) > limit,
        }

    def _follow(
        self, query: dict[str, str], start_response: Callable
    ) -> Iterable[bytes]:
        after = int(query['after'])
        wait_s = float(query.get('waitMs', 0)) / MS_PER_SECOND
        rows = self._changes(query['table'], after)
        self.waits += wait_s > 0
        while not rows and self._has_history(after) and wait_s > 0:
            if not self._changed.wait(wait_s):
                break
            rows = self._changes(query['table'], after)
        if not self._has_history(after):
            return self._respond(start_response, 410, {})
        return self._respond(start_response, 200, self._document(rows))

    def _has_history(self, after: int) -> bool:
        return self._oldest_change <= after <= self._revision

    def _transact(self, body: bytes, start_response: Callable) -> Iterable[bytes]:
        call = msgspec.json.decode(body)
        for condition in call['expectedRevision']:
            row = self._row_by_name.get((condition['table'], condition['key']))
            known = 0 if row is None or row.value is None else row.ver
            if known != condition['ver']:
                return self._respond(start_response, 412, self._document([]))
        for put in call['puts']:
            self._store(put['table'], put['key'], put['value'])
        for dropped in call['remove']:
            self._store(dropped['table'], dropped['key'], None)
        if self.faults.lose_writes:
            raise ConnectionResetError('the answer is lost')
        return self._respond(start_response, 200, self._document([]))

    def _respond(
        self, start_response: Callable, status: int, document: dict[str, object]
    ) -> Iterable[bytes]:
        body = msgspec.json.encode(document)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            ('Store-Era', str(self.era)),
        ]
        start_response(REASONS[status], headers)
        return [body]

    def _rows(self, table: str) -> list[StoredRow]:
        return [row for row in self._row_by_name.values() if row.table == table]

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        rows = [row for row in self._rows(table) if row.ver > after]
        return sorted(rows, key=lambda row: row.ver)

    def _document(self, rows: list[StoredRow]) -> dict[str, object]:
        return {
            'rows': [_to_wire(row) for row in rows],
            'ver': self._revision,
            'nowMs': self._revision,
        }


def _to_wire(row: StoredRow) -> dict[str, object]:
    wire = {'table': row.table, 'part': '', 'key': row.key, 'ver': row.ver}
    if row.value is None:
        return {**wire, 'tombstone': True}
    return {**wire, 'value': row.value}
