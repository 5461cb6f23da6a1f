"""Read and write the configuration log in the table service."""

from dataclasses import dataclass, replace

import msgspec

from marjoramfall.clock import Clock
from marjoramfall.model import Configuration
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformError,
    PlatformUnavailableError,
    RowCondition,
    RowWrite,
    TableService,
)
from marjoramfall.process.config.changes import Change
from marjoramfall.process.config.draft import ConfigDraft, find_entity
from marjoramfall.process.config.errors import (
    ChangeIdReusedError,
    ChangeOutcomeUnknownError,
    ConfigChangeError,
    RevisionConflictError,
)
from marjoramfall.process.config.state import (
    ConfigState,
    LogRecord,
    RecordCodec,
)

CONFIG_TABLE = 'config'
HEAD_KEY = 'head'
LOG_PREFIX = 'log/'
# Scans return rows in key order; zero padding makes that the order of revisions.
REVISION_DIGITS = 16
MAX_TRIES = 6
RETRY_DELAY_MS = 10
READ_LIMIT = 100
UNKNOWN_OUTCOME_MESSAGE = 'the store did not answer; repeat with the same change id'


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold a change that an operator or an entry requests.

    `base_revision` is the revision that the change was based on; 0 stands
    for the current one.
    """

    change: Change
    change_id: str
    operator: str
    base_revision: int


@dataclass(frozen=True, slots=True)
class WrittenChange:
    """Hold the revision and the log record text of a written change.

    `repeated` tells that an earlier submission of the change id wrote it.
    """

    revision: int
    text: str
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class LogTail:
    """Hold the head revision and the consecutive log records after a revision.

    `verified` tells that no later revision existed when the read was sent.
    """

    head: int
    first_revision: int
    texts: list[str]
    verified: bool = False


def log_key(revision: int) -> str:
    """Return the row key of a log record."""
    return f'{LOG_PREFIX}{revision:0{REVISION_DIGITS}}'


def change_key(change_id: str) -> str:
    """Return the key of the row that maps a change id to its revision."""
    return f'change/{change_id}'


class ConfigLog:
    """Append each change to the log in one conditional transaction."""

    def __init__(self, tables: TableService, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock

    def read_head(self) -> int:
        """Return the last revision, 0 before the first change.

        Raises `PlatformUnavailableError`.
        """
        text = self._tables.read(CONFIG_TABLE, HEAD_KEY)
        return int(text) if text else 0

    def read_tail(self, after_revision: int, *, limit: int = READ_LIMIT) -> LogTail:
        """Return the head and the records after a revision, up to the limit.

        Raises `PlatformUnavailableError`.
        """
        head = self.read_head()
        texts = []
        if head > after_revision:
            rows = self._tables.scan(
                CONFIG_TABLE,
                prefix=LOG_PREFIX,
                after=log_key(after_revision),
                limit=limit,
            )
            for revision, row in enumerate(rows, start=after_revision + 1):
                if row.key != log_key(revision):
                    break
                texts.append(row.value)
        return LogTail(head, after_revision + 1, texts)

    def poll(self, after_revision: int) -> LogTail:
        """Return the log after a revision; verify the head if the tail reaches it.

        A plain read may be stale and must not extend a lease; a transaction
        without writes shows that the head is still the one that was read.
        Raises `PlatformUnavailableError`.
        """
        tail = self.read_tail(after_revision)
        if tail.head != after_revision + len(tail.texts):
            return tail
        verified = self._condition_holds(_head_condition(tail.head))
        return replace(tail, verified=verified)

    def catch_up(self, state: ConfigState) -> int:
        """Apply the log to the state up to the head and return the head."""
        while True:
            tail = self.read_tail(state.revision)
            state.apply_records(tail.first_revision, tail.texts)
            if state.revision >= tail.head or not tail.texts:
                return tail.head

    def submit(self, submission: Submission, state: ConfigState) -> WrittenChange:
        """Validate a change against the state and write it.

        Raises a `ConfigChangeError` if the change is refused and not written,
        `ChangeOutcomeUnknownError` if the change may have been written, or
        `PlatformUnavailableError`.
        """
        written = self._find_written(submission)
        outcome_unknown = False
        for attempt in range(MAX_TRIES):
            if written is not None:
                return written
            self._clock.sleep_ms(attempt * RETRY_DELAY_MS)
            try:
                written = self._try_write(submission, state)
            except PlatformAnswerLostError:
                outcome_unknown = True
            except (ConfigChangeError, PlatformUnavailableError) as error:
                if outcome_unknown:
                    return self._resolve_lost_answer(submission, error)
                raise
        if written is None and outcome_unknown:
            raise ChangeOutcomeUnknownError(UNKNOWN_OUTCOME_MESSAGE)
        return written or self._resolve_conflict(submission)

    def _try_write(
        self, submission: Submission, state: ConfigState
    ) -> WrittenChange | None:
        """Try one write; return None if another change took the revision.

        After a lost answer, trying again is safe: the conditions allow at
        most one of the attempts, even if the first takes effect only now.
        """
        self._catch_up_to_base(submission, state)
        submission.change.validate(state.configuration)
        record = self._make_record(submission, state.configuration)
        text = RecordCodec.encode(record)
        if self._transact(record, text):
            return WrittenChange(record.revision, text)
        written = self._find_written(submission)
        if written is None and submission.base_revision:
            raise RevisionConflictError(
                f'another change followed revision {submission.base_revision}'
            )
        return written

    def _catch_up_to_base(self, submission: Submission, state: ConfigState) -> None:
        base = submission.base_revision
        if base == 0 or base > state.revision:
            self.catch_up(state)
        if base not in {0, state.revision}:
            raise RevisionConflictError(
                f'the base revision is {base}, the current one is {state.revision}'
            )

    def _make_record(
        self, submission: Submission, configuration: Configuration
    ) -> LogRecord:
        change = submission.change
        revision = configuration.revision + 1
        draft = ConfigDraft(configuration)
        change.edit(draft)
        edited = draft.finish(revision)
        return LogRecord(
            revision=revision,
            change_id=submission.change_id,
            operator=submission.operator,
            wall_ms=self._clock.wall_ms(),
            change=change,
            before=_target_as_dict(configuration, change),
            after=_target_as_dict(edited, change),
        )

    def _transact(self, record: LogRecord, text: str) -> bool:
        base = record.revision - 1
        change_id_key = change_key(record.change_id)
        conditions = (
            _head_condition(base),
            RowCondition(CONFIG_TABLE, change_id_key, None),
        )
        writes = (
            RowWrite(CONFIG_TABLE, log_key(record.revision), text),
            RowWrite(CONFIG_TABLE, change_id_key, str(record.revision)),
            RowWrite(CONFIG_TABLE, HEAD_KEY, str(record.revision)),
        )
        return self._tables.transact(conditions, writes)

    def _resolve_lost_answer(
        self, submission: Submission, error: Exception
    ) -> WrittenChange:
        """Return what an earlier attempt wrote.

        Raises `ChangeOutcomeUnknownError` if no record of it is found.
        """
        try:
            written = self._find_written(submission)
        except PlatformError:
            written = None
        if written is None:
            raise ChangeOutcomeUnknownError(UNKNOWN_OUTCOME_MESSAGE) from error
        return written

    def _resolve_conflict(self, submission: Submission) -> WrittenChange:
        written = self._find_written(submission)
        if written is None:
            raise RevisionConflictError(
                f'gave up after {MAX_TRIES} concurrent changes; repeat the change'
            )
        return written

    def _find_written(self, submission: Submission) -> WrittenChange | None:
        """Return the result of an earlier submission of the same change id, if any.

        A plain read may be stale; only a conditional transaction shows for
        certain that the row does not exist.
        """
        change_id_key = change_key(submission.change_id)
        if self._condition_holds(RowCondition(CONFIG_TABLE, change_id_key, None)):
            return None
        for attempt in range(MAX_TRIES):
            self._clock.sleep_ms(attempt * RETRY_DELAY_MS)
            written = self._read_written(change_id_key)
            if written is not None:
                return _require_same_change(written, submission)
        raise ChangeOutcomeUnknownError(UNKNOWN_OUTCOME_MESSAGE)

    def _condition_holds(self, condition: RowCondition) -> bool:
        try:
            return self._tables.transact((condition,), ())
        except PlatformAnswerLostError as error:
            raise PlatformUnavailableError('the check was not answered') from error

    def _read_written(self, change_id_key: str) -> WrittenChange | None:
        revision_text = self._tables.read(CONFIG_TABLE, change_id_key)
        if revision_text is None:
            return None
        revision = int(revision_text)
        text = self._tables.read(CONFIG_TABLE, log_key(revision))
        if text is None:
            return None
        return WrittenChange(revision, text, repeated=True)


def _require_same_change(
    written: WrittenChange, submission: Submission
) -> WrittenChange:
    earlier = RecordCodec.decode(written.text).change
    if not submission.change.is_repeat_of(earlier):
        raise ChangeIdReusedError(
            f'change id {submission.change_id!r} stands for another change'
        )
    return written


def _head_condition(revision: int) -> RowCondition:
    return RowCondition(CONFIG_TABLE, HEAD_KEY, str(revision) if revision else None)


def _target_as_dict(configuration: Configuration, change: Change) -> dict | None:
    entity = find_entity(configuration, *change.target)
    return None if entity is None else msgspec.to_builtins(entity)
