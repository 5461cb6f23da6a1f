"""Provide a client of the platform's metadata store."""

import base64
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.http_messages import (
    Response,
    ResponseBounds,
    find_header,
    read_count,
)
from marjoramfall.gateway.message_bounds import Amount, Count
from marjoramfall.gateway.revision import era_of, make_revision, number_of
from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    BrokenExchangeError,
    NotReachedError,
)
from marjoramfall.platform.json_records import InvalidRecordError, decode_record

CONNECT_TIMEOUT_MS = 500
CALL_TIMEOUT_MS = 1500
# The store answers a long poll without changes only when the requested wait is over,
# so the client has to wait a little longer.
POLL_TIMEOUT_MARGIN_MS = 1000

# The store returns at most 1 MB of rows in a call, and encodes them for JSON.
STORE_RESPONSE_BOUNDS = ResponseBounds(body_bytes=4_194_304)

# Counts how often the store came back from an older copy.
ERA_HEADER = b'store-era'

OK = 200
GONE = 410
PRECONDITION_FAILED = 412


class StoreError(Exception):
    """Report a call that failed or returned no valid response."""


class HistoryLostError(StoreError):
    """Report that changes since the requested revision are no longer available.

    The store has dropped them, or was restored from an older copy.
    """


class _WireRow(msgspec.Struct):
    table: str = ''
    part: str = ''
    key: str = ''
    value: str = ''
    ver: Count = 0
    # Set by the store on deleted rows.
    tombstone: bool | int | None = None


class _WireRows(msgspec.Struct, rename='camel'):
    rows: list[_WireRow] = []
    ver: Count = 0
    now_ms: Amount = 0
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a row; `content` is None if the row was deleted."""

    table: str
    key: str
    content: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class RowSet:
    """Hold rows, the store's revision at the read and its clock in ms.

    Revisions here and in rows include the era of the store.
    """

    rows: tuple[Row, ...]
    revision: int
    store_ms: float


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    era: int


class StoreClient:
    """Make calls to the store, one at a time, on a single connection."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._connection: BackendConnection | None = None
        self._era: int | None = None
        self.call_count = 0

    def read_table(self, table: str) -> RowSet:
        """Return all rows of a table; raises `StoreError`.

        The revision is that of the first page, as its rows may have changed before
        the last one was read.
        """
        query = {'table': table, 'part': ''}
        answer = self._get('/-/rows-get', query, CALL_TIMEOUT_MS)
        first_era = answer.era
        first = _decode_rows(answer)
        rows = [_to_row(row, first_era) for row in first.rows]
        found = first
        while found.has_more and found.rows:
            query['from'] = f'{found.rows[-1].key}\0'
            answer = self._get('/-/rows-get', query, CALL_TIMEOUT_MS)
            if answer.era != first_era:
                raise StoreError('the store was restored during a read')
            found = _decode_rows(answer)
            rows.extend(_to_row(row, first_era) for row in found.rows)
        return _to_row_set(rows, first, first_era)

    def follow_table(self, table: str, after: int, *, wait_ms: int) -> RowSet:
        """Return the changes after a revision; wait up to `wait_ms` for the first.

        Raises `HistoryLostError` if the table has to be read again, and
        `StoreError` on any other failure.
        """
        query = {'table': table, 'after': number_of(after), 'waitMs': wait_ms}
        timeout_ms = wait_ms + POLL_TIMEOUT_MARGIN_MS
        answer = self._get('/-/rows-feed', query, timeout_ms)
        if answer.era != era_of(after):
            raise HistoryLostError('the store was restored from an older copy')
        found = _decode_rows(answer)
        rows = [_to_row(row, answer.era) for row in found.rows]
        return _to_row_set(rows, found, answer.era)

    def write_row(
        self,
        table: str,
        key: str,
        content: bytes,
        *,
        expected_revision: int | None = None,
    ) -> bool:
        """Write a row; return False if its revision is not the expected one."""
        encoded = base64.b64encode(content).decode('ascii')
        return self._transact(table, key, expected_revision, encoded_content=encoded)

    def remove_row(
        self, table: str, key: str, *, expected_revision: int | None = None
    ) -> bool:
        """Delete a row; return False if its revision is not the expected one."""
        return self._transact(table, key, expected_revision, encoded_content=None)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _transact(
        self,
        table: str,
        key: str,
        expected_revision: int | None,
        *,
        encoded_content: str | None,
    ) -> bool:
        # Without content, the row is deleted.
        row_id = {'table': table, 'part': '', 'key': key}
        conditions = []
        if expected_revision is not None:
            conditions.append({**row_id, 'ver': number_of(expected_revision)})
        body = {
            'expectedRevision': conditions,
            'puts': []
            if encoded_content is None
            else [{**row_id, 'value': encoded_content}],
            'remove': [row_id] if encoded_content is None else [],
        }
        answer = self._call(
            'POST', '/-/rows-tx', msgspec.json.encode(body), CALL_TIMEOUT_MS
        )
        if answer.status not in {OK, PRECONDITION_FAILED}:
            raise StoreError(f'write to table {table} returned status {answer.status}')
        if expected_revision and era_of(expected_revision) != answer.era:
            raise StoreError(f'the store was restored before a write to {table}')
        return answer.status == OK

    def _get(self, path: str, query: dict[str, object], timeout_ms: float) -> _Answer:
        target = f'{path}?{urlencode(query, quote_via=quote)}'
        answer = self._call('GET', target, b'', timeout_ms)
        if answer.status == GONE:
            raise HistoryLostError('the store no longer has the requested history')
        if answer.status != OK:
            raise StoreError(f'{path} returned status {answer.status}')
        return answer

    def _call(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> _Answer:
        self.call_count += 1
        try:
            connection = self._connect()
            connection.send(self._encode(method, target, body))
            response = connection.read_response(timeout_ms)
            response_body = connection.read_all(response, CALL_TIMEOUT_MS)
        except (NotReachedError, BrokenExchangeError) as error:
            self.close()
            raise StoreError(str(error)) from error
        if not connection.finish(response, self._clock.monotonic_ms()):
            self.close()
        era = _read_era(response)
        self._note_era(era, target)
        return _Answer(response.status, response_body, era)

    def _note_era(self, era: int, target: str) -> None:
        if not era:
            # Not every answer of a store in trouble names it.
            return
        if self._era is not None and era != self._era:
            logger.bind(previous=self._era, era=era, call=target).warning(
                'store restored from an older copy'
            )
        self._era = era

    def _connect(self) -> BackendConnection:
        connection = self._connection
        if connection is not None and not connection.is_reusable():
            self.close()
        if self._connection is None:
            self._connection = BackendConnection(
                self._address,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                bounds=STORE_RESPONSE_BOUNDS,
            )
        return self._connection

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {self._address}',
            f'Content-Length: {len(body)}',
        ]
        if body:
            lines.append('Content-Type: application/json')
        return '\r\n'.join((*lines, '', '')).encode('ascii') + body


def _read_era(response: Response) -> int:
    """Return the era that the store names, 0 if none."""
    return read_count(find_header(response.headers, ERA_HEADER)) or 0


def _decode_rows(answer: _Answer) -> _WireRows:
    try:
        return decode_record(answer.body, _WireRows)
    except InvalidRecordError as error:
        raise StoreError(f'invalid response: {error}') from error


def _to_row_set(rows: Iterable[Row], found: _WireRows, era: int) -> RowSet:
    return RowSet(tuple(rows), make_revision(era, found.ver), found.now_ms)


def _to_row(wire: _WireRow, era: int) -> Row:
    revision = make_revision(era, wire.ver)
    if wire.tombstone:
        return Row(wire.table, wire.key, None, revision)
    try:
        content = base64.b64decode(wire.value)
    except ValueError:
        # Empty content makes the decoder of the record report the row as invalid.
        content = b''
    return Row(wire.table, wire.key, content, revision)
