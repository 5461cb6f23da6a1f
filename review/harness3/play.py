"""Play a case and turn what it found into the exit status of its script."""

import sys
from collections.abc import Callable
from pathlib import Path

from review.harness3.lab import BROKEN, HELD, NOT_RUN, Lab


def play(case_file: str, case: Callable[[Lab], bool]) -> None:
    """Exit with 1 if the case says that the rule was broken, 0 if it held."""
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
