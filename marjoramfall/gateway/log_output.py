"""Write log records as JSON lines to a descriptor without blocking on it."""

import errno
import os
import sys
import traceback
from collections import Counter, deque
from typing import TYPE_CHECKING

import gevent
import msgspec
from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.tasks import start_task

if TYPE_CHECKING:
    from loguru import Message

# The lines of requests at full load stay below this.
MAX_LINES_PER_EVENT_PER_S = 200
MAX_QUEUED_LINES = 5000
FLUSH_INTERVAL_MS = 100
RATE_WINDOW_MS = 1000
DROPPED_LINES_EVENT = 'log lines dropped'


class LogOutput:
    """Queue lines and write them in the background.

    Lines that exceed the rate limit of their event, or the queue while nothing
    reads the descriptor, are dropped; a line reports how many.
    """

    def __init__(self, clock: Clock, *, descriptor: int = 1) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._queued_lines: deque[bytes] = deque()
        self._unwritten = b''
        self._count_by_event: Counter[str] = Counter()
        self._dropped_by_event: Counter[str] = Counter()
        self._window_start_ms = clock.monotonic_ms()

    def start(self) -> None:
        """Make the descriptor non-blocking and start to write queued lines."""
        os.set_blocking(self._descriptor, False)
        start_task(self._flush_loop, self._clock, name='write log lines')

    def write(self, message: 'Message') -> None:
        """Queue one record; serves as a loguru sink."""
        record = message.record
        event = record['message']
        if not self._admit(event):
            self._dropped_by_event[event] += 1
            return
        line = {
            'time': record['time'].isoformat(),
            'level': record['level'].name.lower(),
            'event': event,
            **record['extra'],
        }
        if record['exception'] is not None:
            line['exception'] = ''.join(
                traceback.format_exception(record['exception'].value)
            )
        self._queued_lines.append(msgspec.json.encode(line, enc_hook=str) + b'\n')

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queued_lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b''.join(self._queued_lines)
                self._queued_lines.clear()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError as error:
                self._unwritten = b''
                if error.errno != errno.EPIPE:
                    sys.stderr.write(f'writing log lines failed: {error}\n')
                return
            self._unwritten = self._unwritten[written:]

    def _admit(self, event: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._window_start_ms >= RATE_WINDOW_MS:
            self._window_start_ms = now_ms
            self._count_by_event.clear()
            self._report_dropped()
        self._count_by_event[event] += 1
        if len(self._queued_lines) >= MAX_QUEUED_LINES:
            return False
        return self._count_by_event[event] <= MAX_LINES_PER_EVENT_PER_S

    def _report_dropped(self) -> None:
        if not self._dropped_by_event:
            return
        line = {
            'event': DROPPED_LINES_EVENT,
            'count_by_event': dict(self._dropped_by_event),
        }
        self._dropped_by_event.clear()
        self._queued_lines.append(msgspec.json.encode(line) + b'\n')

    def _flush_loop(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_MS / MS_PER_SECOND)
            self.flush()


def install_log_output(output: LogOutput, *, vm: str, level: str = 'INFO') -> None:
    """Make the output the only handler of loguru."""
    logger.remove()
    logger.configure(extra={'vm': vm})
    logger.add(output.write, level=level, format='{message}', catch=True)
