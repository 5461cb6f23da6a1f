"""Stand in for the platform's metadata store, as its page describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.harness2.http_wire import Head, encode, read_body, read_head

MS_PER_S = 1000
OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412
REASONS = {OK: 'OK', NOT_FOUND: 'Not Found', PRECONDITION_FAILED: 'Failed'}


class Store:
    """Keep rows under one counter and serve reads, feeds and transactions."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._ver = 0
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._serve, host, port)

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row as the operator or an engine does."""
        self.put_raw(table, key, json.dumps(document).encode())

    def put_raw(self, table: str, key: str, content: bytes) -> None:
        """Write a row of any content."""
        row_id = {'table': table, 'part': '', 'key': key}
        self._store(row_id, base64.b64encode(content).decode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._store({'table': table, 'part': '', 'key': key}, None)

    def document(self, table: str, key: str) -> object | None:
        """Return the decoded value of a row."""
        row = self._rows.get((table, '', key))
        if row is None or 'value' not in row:
            return None
        return json.loads(base64.b64decode(row['value']))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_calls(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The entry has gone, or has given up waiting for changes.
            return
        finally:
            writer.close()

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await read_head(reader)
        while head is not None:
            body = await read_body(reader, head)
            status, document = await self._answer(head, body)
            writer.write(
                encode(
                    f'HTTP/1.1 {status} {REASONS[status]}',
                    {'Content-Type': 'application/json'},
                    json.dumps(document).encode(),
                )
            )
            await writer.drain()
            head = await read_head(reader)

    async def _answer(self, head: Head, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(head.target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        if parts.path == '/-/rows-get':
            return OK, self._page(self._live(query))
        if parts.path == '/-/rows-feed':
            return OK, await self._feed(query)
        if parts.path == '/-/rows-tx':
            return self._transact(json.loads(body))
        return NOT_FOUND, {}

    async def _feed(self, query: dict[str, str]) -> dict:
        end_s = time.monotonic() + float(query.get('waitMs', '0')) / MS_PER_S
        after = int(query['after'])
        while True:
            found = [
                row
                for (table, _, _), row in self._rows.items()
                if table == query['table'] and row['ver'] > after
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return self._page(sorted(found, key=lambda row: row['ver']))
            await self._wait(left_s)

    async def _wait(self, left_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), left_s)
        except TimeoutError:
            return

    def _live(self, query: dict[str, str]) -> list[dict]:
        start = query.get('from', '')
        found = [
            row
            for (table, part, key), row in self._rows.items()
            if table == query['table']
            and part == query.get('part', '')
            and key >= start
            and 'value' in row
        ]
        return sorted(found, key=lambda row: row['key'].encode())

    def _transact(self, call: dict) -> tuple[int, dict]:
        for condition in call.get('expectedRevision', []):
            row = self._rows.get(_id_of(condition))
            known = row['ver'] if row is not None and 'value' in row else 0
            if known != condition['ver']:
                return PRECONDITION_FAILED, self._page([])
        for put in call.get('puts', []):
            self._store(put, put['value'])
        for removed in call.get('remove', []):
            self._store(removed, None)
        return OK, self._page([])

    def _store(self, row_id: dict, content: str | None) -> None:
        self._ver += 1
        row = {
            'table': row_id['table'],
            'part': row_id.get('part', ''),
            'key': row_id['key'],
            'ver': self._ver,
        }
        row.update({'tombstone': True} if content is None else {'value': content})
        self._rows[_id_of(row)] = row
        self._changed.set()
        self._changed = asyncio.Event()

    def _page(self, rows: list[dict]) -> dict:
        now_ms = time.monotonic() * MS_PER_S
        return {'rows': rows, 'hasMore': False, 'ver': self._ver, 'nowMs': now_ms}


def _id_of(row: dict) -> tuple[str, str, str]:
    return row['table'], row.get('part', ''), row['key']
