"""Apply the records of the configuration log strictly in order."""

from typing import ClassVar

import msgspec

from marjoramfall.model import Configuration
from marjoramfall.process.config.draft import ConfigDraft
from marjoramfall.process.config.errors import (
    ContradictingRecordError,
    MalformedRecordError,
)
from marjoramfall.process.config.moves import AnyChange

# A day has about 1,700 changes. A peer that lacks more records than are retained
# loads a snapshot.
MAX_RETAINED_RECORDS = 4096
MAX_BUFFERED_RECORDS = 1024


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a change and its audit data: who made it, when, and its effect.

    `wall_ms` is Unix time in milliseconds; `before` and `after` are the
    changed entity, None where it does not exist.
    """

    revision: int
    change_id: str
    operator: str
    wall_ms: int
    change: AnyChange
    before: dict[str, object] | None
    after: dict[str, object] | None


class RecordCodec:
    """Encode log records as JSON texts and decode them."""

    _decoder: ClassVar[msgspec.json.Decoder] = msgspec.json.Decoder(LogRecord)

    @classmethod
    def encode(cls, record: LogRecord) -> str:
        """Return the JSON text of a record."""
        return msgspec.json.encode(record).decode()

    @classmethod
    def decode(cls, text: str) -> LogRecord:
        """Return the record of a text; raises `MalformedRecordError`."""
        try:
            return cls._decoder.decode(text)
        except msgspec.MsgspecError as error:
            raise MalformedRecordError(f'log record: {error}') from error


class ConfigState:
    """Hold the configuration of one entry; its revision never decreases."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        self._configuration = configuration or Configuration()
        self._texts_by_revision: dict[int, str] = {}
        self._buffered_by_revision: dict[int, str] = {}

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the applied revision."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the applied revision; 0 before the first change."""
        return self._configuration.revision

    @property
    def oldest_retained_revision(self) -> int:
        """Return the revision of the oldest record that `records_after` can return."""
        return min(self._texts_by_revision, default=self.revision + 1)

    def restore(self, configuration: Configuration) -> bool:
        """Replace the configuration if the given one is later; return whether it is."""
        if configuration.revision <= self.revision:
            return False
        self._configuration = configuration
        self._texts_by_revision.clear()
        self._apply_buffered()
        return True

    def apply_records(self, first_revision: int, texts: list[str]) -> int:
        """Apply consecutive records; return how many were applied.

        Records after a gap are buffered until the gap is filled. Raises
        `ContradictingRecordError` for a record that differs from the one
        already held for its revision, and `MalformedRecordError`; records
        before the faulty one are applied.
        """
        before = self.revision
        for revision, text in enumerate(texts, start=first_revision):
            self._add_record(revision, text)
        return self.revision - before

    def records_after(self, revision: int, *, limit: int = 100) -> list[str]:
        """Return the texts of the retained records after a revision.

        The list is empty if the next record is no longer retained.
        """
        texts = []
        next_revision = revision + 1
        while next_revision in self._texts_by_revision and len(texts) < limit:
            texts.append(self._texts_by_revision[next_revision])
            next_revision += 1
        return texts

    def _add_record(self, revision: int, text: str) -> None:
        self._require_no_contradiction(revision, text)
        if revision <= self.revision:
            return
        if revision - self.revision <= MAX_BUFFERED_RECORDS:
            self._buffered_by_revision[revision] = text
        self._apply_buffered()

    def _require_no_contradiction(self, revision: int, text: str) -> None:
        for known_texts in (self._texts_by_revision, self._buffered_by_revision):
            if known_texts.get(revision, text) != text:
                self._buffered_by_revision.pop(revision, None)
                raise ContradictingRecordError(
                    f'another record of revision {revision} is held already'
                )

    def _apply_buffered(self) -> None:
        next_revision = self.revision + 1
        while next_revision in self._buffered_by_revision:
            self._apply(next_revision, self._buffered_by_revision.pop(next_revision))
            next_revision += 1
        for revision in tuple(self._buffered_by_revision):
            if revision <= self.revision:
                self._buffered_by_revision.pop(revision)

    def _apply(self, revision: int, text: str) -> None:
        record = RecordCodec.decode(text)
        if record.revision != revision:
            raise MalformedRecordError(
                f'record of revision {record.revision} at place {revision}'
            )
        draft = ConfigDraft(self._configuration)
        record.change.edit(draft)
        self._configuration = draft.finish(revision)
        self._texts_by_revision[revision] = text
        self._texts_by_revision.pop(revision - MAX_RETAINED_RECORDS, None)
