"""Hold a lease with a fencing token in the table service."""

import msgspec

from marjoramfall.clock import Clock
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
    RowCondition,
    RowWrite,
    TableService,
)

LEASE_TABLE = 'leases'
# The holder counts the time to live from before it sent its write and lets the
# lease expire early; others count it from after they read the row and wait
# longer. This tolerates clock rates that differ by up to 10%.
HOLDER_TTL_FACTOR = 0.9
WAITING_TTL_FACTOR = 1.1


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the row of a lease; `attempt` makes each written text unique."""

    holder: str
    token: int
    attempt: int


class Lease:
    """Acquire, renew and release one lease on behalf of one incarnation.

    The holders' clocks are independent: a lease is taken over only after its
    row has not changed for longer than the time to live, by the clock of the
    new holder. Check `is_valid` immediately before each operation that the
    lease protects, and send `token` with it.
    """

    def __init__(
        self, table: TableService, clock: Clock, *, name: str, holder: str, ttl_ms: int
    ) -> None:
        self._table = table
        self._clock = clock
        self._name = name
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._attempts = 0
        self._sent_ms_by_text: dict[str, float] = {}
        self._row_text: str | None = None
        self._row_changed_ms: float | None = None
        self._valid_until_ms = float('-inf')
        self._token = 0

    @property
    def token(self) -> int:
        """Return the fencing token of this holder's last confirmed acquisition."""
        return self._token

    def is_valid(self) -> bool:
        """Return whether this holder has the lease now."""
        return self._clock.monotonic_ms() < self._valid_until_ms

    def try_acquire(self) -> bool:
        """Acquire or renew the lease if possible; return whether it is valid.

        Call it every third of the time to live. Failures of the table service
        are not raised; the lease then expires unless a later call renews it.
        """
        try:
            self._read_row()
        except PlatformUnavailableError:
            return self.is_valid()
        if self._owns_row() or self._can_acquire():
            self._write(self._holder)
        return self.is_valid()

    def release(self) -> None:
        """Release the lease, so that others need not wait until it expires."""
        owned_row = self._owns_row()
        self._valid_until_ms = float('-inf')
        # The release may be applied late, so no earlier write may confirm the lease.
        self._sent_ms_by_text.clear()
        if owned_row:
            self._write('')

    def _read_row(self) -> None:
        """Read the row; it may confirm an own write whose answer was lost."""
        text = self._table.read(LEASE_TABLE, self._name)
        if self._row_changed_ms is None or text != self._row_text:
            self._row_text = text
            self._row_changed_ms = self._clock.monotonic_ms()
        sent_ms = self._sent_ms_by_text.get(text or '')
        if text is not None and sent_ms is not None:
            self._confirm(text, sent_ms)

    def _owns_row(self) -> bool:
        row = self._decoded_row()
        return row is not None and row.holder == self._holder

    def _can_acquire(self) -> bool:
        row = self._decoded_row()
        if row is None or not row.holder:
            return True
        waited_ms = self._clock.monotonic_ms() - (self._row_changed_ms or 0)
        return waited_ms > self._ttl_ms * WAITING_TTL_FACTOR

    def _decoded_row(self) -> LeaseRow | None:
        if self._row_text is None:
            return None
        return msgspec.json.decode(self._row_text, type=LeaseRow)

    def _write(self, holder: str) -> None:
        text = self._next_row_text(holder)
        condition = RowCondition(LEASE_TABLE, self._name, self._row_text)
        sent_ms = self._clock.monotonic_ms()
        if holder:
            self._sent_ms_by_text[text] = sent_ms
        try:
            applied = self._table.transact(
                [condition], [RowWrite(LEASE_TABLE, self._name, text)]
            )
        except PlatformUnavailableError:
            self._sent_ms_by_text.pop(text, None)
            return
        except PlatformAnswerLostError:
            return
        if not applied:
            self._sent_ms_by_text.pop(text, None)
            return
        self._row_text = text
        self._row_changed_ms = self._clock.monotonic_ms()
        if holder:
            self._confirm(text, sent_ms)

    def _next_row_text(self, holder: str) -> str:
        self._attempts += 1
        row = self._decoded_row()
        token = 1 if row is None else row.token
        if row is not None and row.holder != holder and holder:
            token += 1
        written = LeaseRow(holder=holder, token=token, attempt=self._attempts)
        return msgspec.json.encode(written).decode()

    def _confirm(self, text: str, sent_ms: float) -> None:
        """Set the expiry, counted from before the confirmed write was sent."""
        row = msgspec.json.decode(text, type=LeaseRow)
        self._token = row.token
        self._valid_until_ms = sent_ms + self._ttl_ms * HOLDER_TTL_FACTOR
        self._sent_ms_by_text = {text: sent_ms}
