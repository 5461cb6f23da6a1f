"""Run the calls to the platform's store beside the message loop."""

from collections.abc import Callable

from gevent.lock import RLock
from gevent.queue import Queue
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.errors import MarjoramfallError
from marjoramfall.model import MoveState
from marjoramfall.platform_services import PlatformError
from marjoramfall.process.config.changes import Change
from marjoramfall.process.config.errors import ConfigChangeError
from marjoramfall.process.config.log import (
    ConfigLog,
    LogTail,
    Submission,
    WrittenChange,
)
from marjoramfall.process.config.moves import EndMove, UpdateMove
from marjoramfall.process.config.state import ConfigState
from marjoramfall.process.metrics import Metrics
from marjoramfall.version.actions import (
    MoveAction,
    MoveAtRisk,
    MoveEnded,
    ShareChanged,
)

RECORD_RETRY_MS = 500
SYSTEM_OPERATOR = 'system'


class ConfigWriter:
    """Submit changes one at a time."""

    def __init__(
        self,
        log: ConfigLog,
        state: ConfigState,
        metrics: Metrics,
        *,
        on_written: Callable[[WrittenChange], None],
    ) -> None:
        self._log = log
        self._state = state
        self._metrics = metrics
        self._on_written = on_written
        self._lock = RLock()

    def submit(self, submission: Submission) -> WrittenChange:
        """Write a change; raises a `MarjoramfallError`."""
        with self._lock:
            try:
                written = self._log.submit(submission, self._state)
            except MarjoramfallError as error:
                self._metrics.config_changes.inc({'outcome': error.code})
                raise
        self._metrics.config_changes.inc({'outcome': 'written'})
        self._on_written(written)
        return written


class MoveRecorder:
    """Write what moves decided to the log, as soon as the store allows.

    The decisions are in force before they are written. A change id per move
    and step lets several entries record the same end only once.
    """

    def __init__(self, writer: ConfigWriter, clock: Clock) -> None:
        self._writer = writer
        self._clock = clock
        self._queue: Queue = Queue()

    def put(self, action: MoveAction) -> None:
        """Queue a decision."""
        self._queue.put(action)

    def run(self) -> None:
        """Record decisions for ever; a task."""
        for action in self._queue:
            if isinstance(action, MoveAtRisk):
                logger.bind(
                    move_id=action.move_id,
                    needed_requests=action.needed_requests,
                    expected_requests=action.expected_requests,
                ).warning('move may miss its deadline: {}', action.reason)
                continue
            change = change_of(action)
            if change is not None:
                self._record(action, change)

    def _record(self, action: MoveAction, change: Change) -> None:
        while True:
            try:
                written = self._writer.submit(
                    Submission(change, change_id_of(action), SYSTEM_OPERATOR, 0)
                )
            except PlatformError as error:
                logger.bind(code=error.code).warning('move not recorded yet')
                self._clock.sleep_ms(RECORD_RETRY_MS)
                continue
            except ConfigChangeError as error:
                logger.bind(move_id=action.move_id, code=error.code).info(
                    'move has been recorded by another entry: {}', error.message
                )
                return
            logger.bind(
                move_id=action.move_id,
                revision=written.revision,
                decision=type(action).__name__,
                details=str(action),
            ).info('move recorded')
            return


class StorePoller:
    """Read the configuration log whenever the spread asks for it."""

    def __init__(
        self,
        log: ConfigLog,
        clock: Clock,
        *,
        on_polled: Callable[[LogTail, float], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._on_polled = on_polled
        self._on_failed = on_failed
        self._queue: Queue = Queue()

    def put(self, after_revision: int) -> None:
        """Queue a poll."""
        self._queue.put(after_revision)

    def run(self) -> None:
        """Poll for ever; a task."""
        for after_revision in self._queue:
            started_ms = self._clock.monotonic_ms()
            try:
                tail = self._log.poll(after_revision)
            except PlatformError as error:
                logger.bind(code=error.code).debug('configuration poll failed')
                self._on_failed()
                continue
            self._on_polled(tail, started_ms)


def change_of(action: MoveAction) -> Change | None:
    """Return the change that records a decision, None if there is none."""
    if isinstance(action, ShareChanged):
        return UpdateMove(move_id=action.move_id, share=action.share)
    if isinstance(action, MoveEnded):
        return EndMove(
            move_id=action.move_id,
            state=action.state,
            reason=action.reason,
            withdraw_version=action.state is MoveState.TAKEN_BACK,
        )
    return None


def change_id_of(action: MoveAction) -> str:
    """Return the id under which a decision is recorded at most once."""
    if isinstance(action, ShareChanged):
        return f'move-share:{action.move_id}:{action.share:.4f}'
    return f'move-end:{action.move_id}'
