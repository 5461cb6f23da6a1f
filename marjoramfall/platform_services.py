"""Define what the platform offers: tables, objects and the VM list."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.errors import PlatformError, RunState


class PlatformUnavailableError(PlatformError):
    """Report a call that certainly took no effect."""

    code = 'platform_unavailable'
    run_state = RunState.NOT_RUN


class PlatformAnswerLostError(PlatformError):
    """Report a write that may or may not have taken effect."""

    code = 'platform_answer_lost'
    run_state = RunState.UNKNOWN


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Require a row to equal a JSON text, or to be absent if None."""

    table: str
    key: str
    equals: str | None


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Set a row to a JSON text, or delete it if None."""

    table: str
    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of a table; the value is a JSON text."""

    key: str
    value: str


class TableService(ABC):
    """Keep rows in tables, with conditional multi-row transactions."""

    @abstractmethod
    def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> bool:
        """Apply all writes if all conditions hold; return whether they did.

        Raises `PlatformUnavailableError` or `PlatformAnswerLostError`.
        """

    @abstractmethod
    def read(self, table: str, key: str) -> str | None:
        """Return the JSON text of a row; None if there is no such row.

        Raises `PlatformUnavailableError`.
        """

    @abstractmethod
    def scan(
        self, table: str, *, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[Row]:
        """Return rows in key order whose keys start with `prefix`.

        Raises `PlatformUnavailableError`.
        """


class ObjectStore(ABC):
    """Keep immutable blobs by name."""

    @abstractmethod
    def put(self, name: str, blob: bytes) -> None:
        """Store a blob; raises a `PlatformError`."""

    @abstractmethod
    def get(self, name: str) -> bytes | None:
        """Return a blob or None; raises `PlatformUnavailableError`."""


class VmState(StrEnum):
    """Say whether the platform is about to take a VM away."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmRole(StrEnum):
    """Tell entry VMs from those of backend servers."""

    ENTRY = 'entry'
    BACKEND = 'backend'


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Describe one VM as the lagging list shows it.

    The address is `host:port` of the peer listener of an entry and of the
    HTTP listener of a backend server.
    """

    vm: str
    address: str
    role: VmRole
    state: VmState
    data_centre: str


class VmList(ABC):
    """List the live and leaving VMs, with a lag."""

    @abstractmethod
    def list_vms(self) -> list[VmRecord]:
        """Return all VMs; raises `PlatformUnavailableError`."""
