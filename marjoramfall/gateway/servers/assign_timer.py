"""Schedule the assignment of waiting requests."""

from collections.abc import Callable

from gevent import spawn_later

from marjoramfall.clock import MS_PER_SECOND


class AssignTimer:
    """Run an action once after a delay, however often it is scheduled meanwhile."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._is_scheduled = False

    def schedule(self, delay_ms: float) -> None:
        """Run the action after the delay, unless it is due already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            spawn_later(delay_ms / MS_PER_SECOND, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self._action()
