"""Play a case and turn what it found into the exit status of its script."""

import signal
import sys
from collections.abc import Callable
from pathlib import Path

from review.harness3.lab import BROKEN, HELD, NOT_RUN, Lab


def _stop(_number: int, _frame: object) -> None:
    # The signal may come twice, and must not end the cleaning up.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(NOT_RUN)


def play(case_file: str, case: Callable[[Lab], bool]) -> None:
    """Exit with 1 if the case says that the rule was broken, 0 if it held."""
    # A run that takes too long ends its processes as well.
    signal.signal(signal.SIGTERM, _stop)
    lab = Lab(Path(case_file).parent)
    try:
        status = BROKEN if case(lab) else HELD
    except Exception as error:
        # An unhandled exception would end with the status of a broken rule.
        lab.record.note(event='not run', reason=repr(error))
        status = NOT_RUN
    finally:
        lab.close()
    sys.exit(status)
