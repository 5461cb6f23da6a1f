"""Start an entry process from a settings file."""

import zmq
from loguru import logger

from marjoramfall.clock import RuntimeClock
from marjoramfall.process.entry import EntryProcess
from marjoramfall.process.structured_log import configure_logging
from marjoramfall.settings.document import DocumentError
from marjoramfall.settings.loader import load_settings

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_SETTINGS = 2


def run_entry(file: str) -> int:
    """Serve until stopped; return the exit status of the process."""
    configure_logging(vm='')
    try:
        settings = load_settings(file)
    except DocumentError as error:
        for fault in error.faults:
            logger.bind(code=error.code).error(str(fault))
        return EXIT_INVALID_SETTINGS
    configure_logging(vm=settings.vm)
    try:
        EntryProcess(settings, RuntimeClock()).run()
    except (OSError, zmq.ZMQError) as error:
        logger.bind(details=str(error)).error('entry cannot listen')
        return EXIT_CANNOT_LISTEN
    return EXIT_OK
