"""Hand a running stream over from one server to another."""

from collections.abc import Callable
from enum import StrEnum

from gevent.event import Event

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.servers.run_moves import RunMove
from marjoramfall.gateway.servers.service_queue import Assignment

# The calls that stop a run end sooner, also where they are repeated.
MAX_STOP_WAIT_S = 6.0


class Phase(StrEnum):
    """Say how far a move has come.

    The run goes on at its source while `COPYING`, nobody knows while `STOPPING`, and it
    waits for its next server once `STOPPED`. `ENDED` says that no move is left.
    """

    COPYING = 'copying'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    GOING_ON = 'going_on'
    ENDED = 'ended'


class RunHandover:
    """Hold the state of one move, between its calls and the exchange it ends.

    `handle` names the copy, empty if the stream is resumed without one. The place at
    the destination is held until it is taken or released.
    """

    def __init__(
        self,
        move: RunMove,
        place: Assignment,
        *,
        on_resumed: Callable[['RunHandover', float], None],
    ) -> None:
        self.move = move
        self.place: Assignment | None = place
        self.handle = ''
        self.phase = Phase.COPYING
        self.last_event_ms = 0.0
        self.stopped_ms = 0.0
        self.is_used = False
        self.has_returned = False
        # Set while a call may have stopped the run, also where none has said so.
        self.may_have_stopped = False
        self._is_resumed = False
        self._on_resumed = on_resumed
        self._settled = Event()
        self._left = Event()

    @property
    def copy_address(self) -> str:
        """Return what names the copy in a request, empty without one."""
        if not self.handle:
            return ''
        return f'{self.move.stream.source.server.address}/{self.handle}'

    def begin_stop(self) -> bool:
        """Return whether the run may be stopped, as its exchange goes on."""
        if self.phase is not Phase.COPYING:
            return False
        self.phase = Phase.STOPPING
        self.may_have_stopped = True
        return True

    def settle_stopped(self, now_ms: float) -> bool:
        """Say that the run has stopped; return whether its caller still waits."""
        if self.phase is Phase.ENDED:
            return False
        self.phase = Phase.STOPPED
        self.stopped_ms = now_ms
        self._settled.set()
        return True

    def end(self) -> None:
        """Give the move up; a run that goes on stays at its server."""
        self.phase = Phase.ENDED
        self._settled.set()
        self._left.set()

    def await_stop(self, last_event_ms: float) -> bool:
        """Return whether the stream of the source ended because its run has stopped.

        Called once the stream has ended. A run that was not asked to stop has ended
        with its server.
        """
        if self.phase is Phase.COPYING:
            self.end()
        if self.phase is Phase.STOPPING:
            self._settled.wait(MAX_STOP_WAIT_S)
        self._left.set()
        self.last_event_ms = last_event_ms
        return self.phase is Phase.STOPPED

    def await_leave(self, timeout_ms: float) -> bool:
        """Return whether the exchange at the source has ended in time."""
        return self._left.wait(timeout_ms / MS_PER_SECOND)

    def take_place(self) -> Assignment | None:
        """Go on, and return the place at the destination unless it was released."""
        self.phase = Phase.GOING_ON
        place = self.place
        self.place = None
        return place

    def on_event(self, now_ms: float) -> None:
        """Record the first event after the move."""
        if not self._is_resumed:
            self._is_resumed = True
            self._on_resumed(self, now_ms - self.last_event_ms)
