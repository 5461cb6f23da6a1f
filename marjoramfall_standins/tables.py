"""Keep tables and objects in sqlite in memory."""

import sqlite3
from collections.abc import Sequence

import msgspec

SCHEMA = """
CREATE TABLE cells (tab TEXT, key TEXT, value TEXT, PRIMARY KEY (tab, key));
CREATE TABLE objects (name TEXT PRIMARY KEY, blob BLOB);
"""
SELECT_ROW = 'SELECT value FROM cells WHERE tab = ? AND key = ?'
SELECT_ROWS = """
SELECT key, value FROM cells
WHERE tab = ? AND key >= ? AND key > ? AND substr(key, 1, length(?)) = ?
ORDER BY key LIMIT ?
"""


class Condition(msgspec.Struct):
    """Require a row to equal a JSON value, or to be absent if None."""

    table: str
    key: str
    equals: object = None


class Write(msgspec.Struct):
    """Set a row to a JSON value, or delete it if None."""

    table: str
    key: str
    value: object = None


class Transaction(msgspec.Struct):
    """Apply all writes if all conditions hold."""

    conditions: list[Condition] = []
    writes: list[Write] = []


def encode_value(value: object) -> str | None:
    """Return the JSON text by which rows are compared; None stays None."""
    if value is None:
        return None
    return msgspec.json.encode(value, order='sorted').decode()


class Database:
    """Hold the rows and objects of one platform."""

    def __init__(self) -> None:
        self._connection = sqlite3.connect(':memory:')
        self._connection.executescript(SCHEMA)

    def copy(self) -> 'Database':
        """Return an independent copy of the present state."""
        copied = Database()
        self._connection.backup(copied._connection)
        return copied

    def transact(self, transaction: Transaction) -> int | None:
        """Apply a transaction; return the index of a failed condition."""
        for index, condition in enumerate(transaction.conditions):
            found = self.read(condition.table, condition.key)
            if found != encode_value(condition.equals):
                return index
        with self._connection:
            self._apply(transaction.writes)
        return None

    def read(self, table: str, key: str) -> str | None:
        """Return the JSON text of a row or None."""
        row = self._connection.execute(SELECT_ROW, (table, key)).fetchone()
        return row[0] if row else None

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[tuple[str, str]]:
        """Return keys and JSON texts in key order."""
        bounds = (table, prefix, after, prefix, prefix, limit)
        return self._connection.execute(SELECT_ROWS, bounds).fetchall()

    def put_object(self, name: str, blob: bytes) -> None:
        """Store an object."""
        with self._connection:
            self._connection.execute(
                'INSERT OR REPLACE INTO objects VALUES (?, ?)', (name, blob)
            )

    def get_object(self, name: str) -> bytes | None:
        """Return an object or None."""
        row = self._connection.execute(
            'SELECT blob FROM objects WHERE name = ?', (name,)
        ).fetchone()
        return row[0] if row else None

    def _apply(self, writes: Sequence[Write]) -> None:
        for write in writes:
            encoded = encode_value(write.value)
            self._connection.execute(
                'DELETE FROM cells WHERE tab = ? AND key = ?', (write.table, write.key)
            )
            if encoded is not None:
                self._connection.execute(
                    'INSERT INTO cells VALUES (?, ?, ?)',
                    (write.table, write.key, encoded),
                )
