"""Run the tasks of a process that must not end while it serves."""

from collections.abc import Callable

from gevent import Greenlet, spawn
from loguru import logger

from marjoramfall.clock import Clock

RESTART_DELAY_MS = 100.0


def start_task(run: Callable[[], None], clock: Clock, *, name: str) -> Greenlet:
    """Start a task in a greenlet, and again whenever an unexpected error ends it."""
    return spawn(_run_to_end, run, clock, name)


def _run_to_end(run: Callable[[], None], clock: Clock, name: str) -> None:
    while not _has_ended(run, name):
        clock.sleep_ms(RESTART_DELAY_MS)


def _has_ended(run: Callable[[], None], name: str) -> bool:
    try:
        run()
    except Exception:
        logger.bind(task=name).exception(
            'task ended by an unexpected error, started again'
        )
        return False
    return True
