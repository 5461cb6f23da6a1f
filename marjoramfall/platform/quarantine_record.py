"""Keep quarantined causes of crashes in the store, for a restart of all entries."""

from collections.abc import Callable

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.crashes.crash_report import CrashReport, EvidenceReport
from marjoramfall.gateway.message_bounds import Amount
from marjoramfall.platform.json_records import InvalidRecordError, decode_record
from marjoramfall.platform.store import Row, RowSet, StoreClient, StoreError

QUARANTINE_TABLE = 'quarantine'
CHECK_INTERVAL_MS = 250
# All entries of a large system may try at once after an outage of the store.
RETRY_INTERVAL_MS = 2000


class _EvidenceRecord(msgspec.Struct, rename='camel'):
    # The store's clock at the write, at which the ages of the crashes hold.
    written_ms: Amount
    crashes: list[CrashReport]


class QuarantineRecorder:
    """Write one row for each quarantined cause, and read the rows after a restart.

    An entry writes the causes that crashed a server under one of its own requests.
    The rows of causes that were released are removed by whoever knows of them.
    """

    def __init__(
        self,
        client: StoreClient,
        quarantine: CrashQuarantine,
        clock: Clock,
        *,
        is_first_start: bool,
        store_era: Callable[[], int],
    ) -> None:
        self._store_era = store_era
        self._known_era = 0
        self._client = client
        self._quarantine = quarantine
        self._clock = clock
        self._has_read = is_first_start
        self._known_cause_ids: set[str] = set()

    def run(self) -> None:
        """Read the rows, then keep them up to date; never returns."""
        while True:
            try:
                self.update()
            except StoreError as error:
                logger.bind(details=str(error)).warning(
                    'cannot read or write quarantined causes of crashes in the store'
                )
                self._clock.sleep_ms(RETRY_INTERVAL_MS)
            else:
                self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def update(self) -> None:
        """Read the rows once, and write what has changed; raises `StoreError`."""
        self._check_era()
        if not self._has_read:
            self._read()
        new_cause_ids = self._quarantine.cause_ids_seen_here() - self._known_cause_ids
        released_cause_ids = self._known_cause_ids - self._quarantine.cause_ids()
        if new_cause_ids or released_cause_ids:
            rows = self._client.read_table(QUARANTINE_TABLE)
            for cause_id in new_cause_ids:
                self._write(cause_id, rows)
            for cause_id in released_cause_ids:
                self._remove(cause_id, rows)

    def _check_era(self) -> None:
        """Read the rows again after a restoration, which may have lost some."""
        era = self._store_era()
        if self._known_era and era != self._known_era:
            self._has_read = False
            self._known_cause_ids.clear()
        self._known_era = era

    def _read(self) -> None:
        rows = self._client.read_table(QUARANTINE_TABLE)
        for row in rows.rows:
            record = _decode_record(row)
            if record is not None:
                self._quarantine.merge(_to_report(record, rows.store_ms))
                self._known_cause_ids.add(row.key)
        self._has_read = True

    def _write(self, cause_id: str, rows: RowSet) -> None:
        if _find_row(rows, cause_id) is None:
            crashes = self._quarantine.crashes_of(cause_id)
            record = _EvidenceRecord(rows.store_ms, crashes)
            self._client.write_row(
                QUARANTINE_TABLE,
                cause_id,
                msgspec.json.encode(record),
                expected_revision=0,
            )
        self._known_cause_ids.add(cause_id)

    def _remove(self, cause_id: str, rows: RowSet) -> None:
        row = _find_row(rows, cause_id)
        if row is not None:
            self._client.remove_row(
                QUARANTINE_TABLE, cause_id, expected_revision=row.revision
            )
        self._known_cause_ids.discard(cause_id)


def _find_row(rows: RowSet, cause_id: str) -> Row | None:
    return next((row for row in rows.rows if row.key == cause_id), None)


def _to_report(record: _EvidenceRecord, store_ms: float) -> EvidenceReport:
    elapsed_ms = max(0, int(store_ms - record.written_ms))
    return EvidenceReport(
        crashes=[
            CrashReport(
                crash.server_id,
                crash.born_ms,
                crash.age_ms + elapsed_ms,
                crash.requests,
            )
            for crash in record.crashes
        ],
        served=[],
    )


def _decode_record(row: Row) -> _EvidenceRecord | None:
    try:
        return decode_record(row.content or b'', _EvidenceRecord)
    except InvalidRecordError as error:
        logger.bind(key=row.key, details=str(error)).warning(
            'invalid quarantine record'
        )
        return None
