"""Keep until when the registrations of servers are in doubt."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.clock import Clock


@dataclass(frozen=True, slots=True)
class GracePeriod:
    """Name a server whose registration is in doubt for `remaining_ms` more."""

    server_id: str
    remaining_ms: float


class GracePeriods:
    """Hold the end of the grace period of each server that has one."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end_ms_by_id: dict[str, float] = {}

    def __contains__(self, server_id: str) -> bool:
        """Return whether a server has a grace period."""
        return server_id in self._end_ms_by_id

    def begin(self, server_id: str, end_ms: float) -> None:
        """Begin a period that ends at a monotonic time, unless one has begun."""
        self._end_ms_by_id.setdefault(server_id, end_ms)

    def cancel(self, server_id: str) -> None:
        """End the period of a server, if any, before its time."""
        self._end_ms_by_id.pop(server_id, None)

    def take_due(self) -> list[str]:
        """Return the servers whose period has ended, and drop these periods."""
        now_ms = self._clock.monotonic_ms()
        due_ids = [
            server_id
            for server_id, end_ms in self._end_ms_by_id.items()
            if end_ms <= now_ms
        ]
        for server_id in due_ids:
            self._end_ms_by_id.pop(server_id)
        return due_ids

    def report(self) -> tuple[GracePeriod, ...]:
        """Return the periods for transfer to a peer."""
        now_ms = self._clock.monotonic_ms()
        return tuple(
            GracePeriod(server_id, end_ms - now_ms)
            for server_id, end_ms in self._end_ms_by_id.items()
        )

    def merge(self, periods: Iterable[GracePeriod]) -> None:
        """Begin the periods that a peer reports."""
        now_ms = self._clock.monotonic_ms()
        for period in periods:
            self.begin(period.server_id, now_ms + period.remaining_ms)
