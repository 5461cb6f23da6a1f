"""Decide whether an entry may get and take new requests."""

from marjoramfall.clock import Clock
from marjoramfall.errors import RefusedError
from marjoramfall.process.entry_core import EntryCore

RETRY_ELSEWHERE_MS = 1000


class StoppingError(RefusedError):
    """Refuse a new request while the process stops."""

    code = 'stopping'


class StaleConfigurationError(RefusedError):
    """Refuse a new request while the configuration may be outdated."""

    code = 'stale_configuration'


class TooManyWaitingError(RefusedError):
    """Refuse a new request while this entry holds too many."""

    code = 'too_many_waiting'


class Readiness:
    """Answer the balancer's probes and admit callers' requests."""

    def __init__(self, core: EntryCore, clock: Clock, *, max_waiting: int) -> None:
        self._core = core
        self._clock = clock
        self._max_waiting = max_waiting
        self.listening = False
        self.stopping = False
        self.closed = False

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the balancer must not send callers here, if so."""
        reasons = []
        if not self.listening:
            reasons.append('starting')
        if self.stopping:
            reasons.append('stopping')
        if not self._core.is_fresh(self._clock.monotonic_ms()):
            reasons.append('stale_configuration')
        return tuple(reasons)

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return not self.unready_reasons()

    def check_accepting(self) -> None:
        """Raise a `RefusedError` if no new request may be taken.

        A stopping entry takes requests until the balancer has noticed.
        """
        if self.closed:
            raise StoppingError(
                'the entry is stopping', retry_after_ms=RETRY_ELSEWHERE_MS
            )
        if not self._core.is_fresh(self._clock.monotonic_ms()):
            raise StaleConfigurationError(
                'the configuration may be outdated', retry_after_ms=RETRY_ELSEWHERE_MS
            )
        if self._core.state.exchange.client.open_requests >= self._max_waiting:
            raise TooManyWaitingError(
                'this entry holds too many requests', retry_after_ms=RETRY_ELSEWHERE_MS
            )
