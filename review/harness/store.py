"""Stand in for the platform's metadata store, as PROTOCOL.md tells it."""

import asyncio
import base64
import json
import time
from contextlib import closing, suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from harness.http_wire import (
    IncompleteMessageError,
    Message,
    encode_message,
    read_message,
)

MS_PER_S = 1000
OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412
REASONS = {
    OK: '200 OK',
    NOT_FOUND: '404 Not Found',
    PRECONDITION_FAILED: '412 Precondition Failed',
}

RowName = tuple[str, str]
Document = dict[str, object]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Hold the encoded value of a row, None once it was dropped."""

    encoded: str | None
    ver: int


@dataclass(slots=True)
class MetadataStore:
    """Keep the rows of one part and answer the calls that read and write them."""

    address: str = ''
    _ver: int = 0
    _row_by_name: dict[RowName, StoredRow] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def put(self, table: str, key: str, document: Document) -> None:
        """Write a row as the operator or an engine does."""
        encoded = base64.b64encode(json.dumps(document).encode()).decode()
        self._store((table, key), encoded)

    def drop(self, table: str, key: str) -> None:
        """Drop a row."""
        self._store((table, key), None)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer), suppress(IncompleteMessageError, OSError):
            while True:
                call = await read_message(reader)
                status, document = await self._answer(call)
                writer.write(_encode_answer(status, document))
                await writer.drain()

    async def _answer(self, call: Message) -> tuple[int, Document]:
        path, _, query_text = call.target.partition('?')
        query = {name: texts[0] for name, texts in parse_qs(query_text).items()}
        if path == '/-/rows-get':
            return OK, self._read(query)
        if path == '/-/rows-feed':
            return OK, await self._follow(query)
        if path == '/-/rows-tx':
            return self._transact(json.loads(call.body))
        return NOT_FOUND, {}

    def _read(self, query: dict[str, str]) -> Document:
        start = query.get('from', '')
        rows = [
            _to_wire(name, row)
            for name, row in sorted(self._row_by_name.items())
            if name[0] == query['table'] and name[1] >= start and row.encoded
        ]
        return self._document(rows)

    async def _follow(self, query: dict[str, str]) -> Document:
        wait_until_s = time.monotonic() + int(query.get('waitMs', '0')) / MS_PER_S
        while True:
            changed = self._changed
            rows = self._changes(query['table'], int(query['after']))
            wait_s = wait_until_s - time.monotonic()
            if rows or wait_s <= 0:
                return self._document(rows)
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_s)

    def _changes(self, table: str, after: int) -> list[Document]:
        changed = [
            (row.ver, name)
            for name, row in self._row_by_name.items()
            if name[0] == table and row.ver > after
        ]
        return [_to_wire(name, self._row_by_name[name]) for _, name in sorted(changed)]

    def _transact(self, call: dict[str, list[dict]]) -> tuple[int, Document]:
        for expected in call['expectedRevision']:
            row = self._row_by_name.get(_name_of(expected))
            ver = row.ver if row is not None and row.encoded else 0
            if ver != expected['ver']:
                return PRECONDITION_FAILED, self._document([])
        for put in call['puts']:
            self._store(_name_of(put), put['value'])
        for removed in call['remove']:
            self._store(_name_of(removed), None)
        return OK, self._document([])

    def _store(self, name: RowName, encoded: str | None) -> None:
        self._ver += 1
        self._row_by_name[name] = StoredRow(encoded, self._ver)
        self._changed.set()
        self._changed = asyncio.Event()

    def _document(self, rows: list[Document]) -> Document:
        now_ms = time.monotonic() * MS_PER_S
        return {'rows': rows, 'ver': self._ver, 'nowMs': now_ms, 'hasMore': False}


def _name_of(row: dict[str, str]) -> RowName:
    return row['table'], row['key']


def _to_wire(name: RowName, row: StoredRow) -> Document:
    wire = {'table': name[0], 'part': '', 'key': name[1], 'ver': row.ver}
    if row.encoded is None:
        return {**wire, 'tombstone': True}
    return {**wire, 'value': row.encoded}


def _encode_answer(status: int, document: Document) -> bytes:
    headers = {'Content-Type': 'application/json', 'Store-Era': '1'}
    body = json.dumps(document).encode()
    return encode_message(f'HTTP/1.1 {REASONS[status]}', headers, body)
