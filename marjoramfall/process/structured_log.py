"""Write log records as JSON lines."""

import sys
import traceback
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def _write_line(message: 'Message') -> None:
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name.lower(),
        'event': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = ''.join(
            traceback.format_exception(record['exception'].value)
        )
    encoded = msgspec.json.encode(line, enc_hook=str)
    # Serving goes on when whoever reads the log has gone.
    with suppress(BrokenPipeError):
        sys.stdout.buffer.write(encoded + b'\n')
        sys.stdout.buffer.flush()


def configure_logging(*, vm: str, level: str = 'INFO') -> None:
    """Send all records to standard output, one JSON object a line."""
    logger.remove()
    logger.configure(extra={'vm': vm})
    logger.add(_write_line, level=level.upper(), catch=True)
