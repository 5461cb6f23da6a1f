"""Stand in for the platform's store: rows, a feed of changes and transactions."""

import base64
import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

LOOPBACK = '127.0.0.1'
MAX_ROWS = 500
MS_PER_SECOND = 1000
OK = 200
GONE = 410
CONFLICT = 412
RowId = tuple[str, str, str]


@dataclass(frozen=True)
class StoredRow:
    """Hold a row; `text` is None once it was dropped."""

    row_id: RowId
    text: str | None
    ver: int

    def to_wire(self) -> dict[str, object]:
        """Return the row as the store shows it."""
        table, part, key = self.row_id
        wire = {'table': table, 'part': part, 'key': key, 'ver': self.ver}
        shown = {'tombstone': True} if self.text is None else {'value': self.text}
        return {**wire, **shown}


class Store:
    """Keep rows in one order of versions and serve them on a loopback address."""

    def __init__(self) -> None:
        self._rows: dict[RowId, StoredRow] = {}
        self._ver = 0
        self._changed = threading.Condition()
        self._server = _StoreServer((LOOPBACK, 0), _StoreHandler)
        self._server.store = self
        self.address = f'{LOOPBACK}:{self._server.server_port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, table: str, key: str, document: object, part: str = '') -> int:
        """Write a document as the operator, an engine or another writer does."""
        return self.put_bytes(table, key, json.dumps(document).encode(), part)

    def put_bytes(self, table: str, key: str, content: bytes, part: str = '') -> int:
        """Write bytes and return the version."""
        with self._changed:
            return self._write((table, part, key), base64.b64encode(content).decode())

    def drop(self, table: str, key: str, part: str = '') -> int:
        """Drop a row and return the version."""
        with self._changed:
            return self._write((table, part, key), None)

    def get(self, table: str, key: str) -> object:
        """Return the document in a row, None if there is none."""
        row = self._rows.get((table, '', key))
        if row is None or row.text is None:
            return None
        return json.loads(base64.b64decode(row.text))

    def read(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        """Answer a read of a range of rows."""
        with self._changed:
            found = [
                row
                for (table, part, key), row in self._rows.items()
                if table == query['table']
                and part == query.get('part', '')
                and row.text is not None
                and key >= query.get('from', '')
            ]
            found.sort(key=lambda row: row.row_id[2].encode())
            shown = found[: int(query.get('limit', MAX_ROWS))]
            return OK, {**self._document(shown), 'hasMore': len(shown) < len(found)}

    def follow(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        """Answer a call for changes once there is one, or the wait is over."""
        after = int(query['after'])
        end_s = time.monotonic() + float(query.get('waitMs', 0)) / MS_PER_SECOND
        with self._changed:
            if after > self._ver:
                return GONE, {}
            while True:
                found = self._changes(query['table'], after)
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    return OK, self._document(found)
                self._changed.wait(left_s)

    def transact(self, body: dict[str, list]) -> tuple[int, dict[str, object]]:
        """Apply a transaction if all of its conditions hold."""
        with self._changed:
            for condition in body['expectedRevision']:
                row = self._rows.get(_row_id(condition))
                known = 0 if row is None or row.text is None else row.ver
                if known != condition['ver']:
                    return CONFLICT, self._document([])
            for put in body['puts']:
                self._write(_row_id(put), put['value'])
            for dropped in body['remove']:
                self._write(_row_id(dropped), None)
            return OK, self._document([])

    def _write(self, row_id: RowId, text: str | None) -> int:
        self._ver += 1
        self._rows[row_id] = StoredRow(row_id, text, self._ver)
        self._changed.notify_all()
        return self._ver

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        found = [
            row
            for row in self._rows.values()
            if row.row_id[0] == table and row.ver > after
        ]
        return sorted(found, key=lambda row: row.ver)

    def _document(self, rows: list[StoredRow]) -> dict[str, object]:
        return {
            'rows': [row.to_wire() for row in rows],
            'ver': self._ver,
            'nowMs': int(time.monotonic() * MS_PER_SECOND),
        }


class _StoreServer(ThreadingHTTPServer):
    """Serve each connection in a thread of its own."""

    daemon_threads = True

    def handle_error(self, *_words: object) -> None:
        """Ignore a connection that the system has ended."""


class _StoreHandler(BaseHTTPRequestHandler):
    """Answer the calls of the system on a kept connection."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Answer a read or a long poll."""
        parts = urlsplit(self.path)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        store = self.server.store
        if parts.path == '/-/rows-get':
            self._answer(*store.read(query))
        elif parts.path == '/-/rows-feed':
            self._answer(*store.follow(query))
        else:
            self._answer(404, {})

    def do_POST(self) -> None:
        """Answer a transaction."""
        body = self.rfile.read(int(self.headers['Content-Length']))
        self._answer(*self.server.store.transact(json.loads(body)))

    def log_message(self, *_words: object) -> None:
        """Log nothing."""

    def _answer(self, status: int, document: dict[str, object]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Store-Era', '1')
        self.end_headers()
        self.wfile.write(body)


def _row_id(wire: dict[str, str]) -> RowId:
    return wire['table'], wire.get('part', ''), wire['key']
