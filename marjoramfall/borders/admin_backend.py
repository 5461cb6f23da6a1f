"""Define what the operator interface needs from an entry."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from marjoramfall.model import Configuration
from marjoramfall.process.config.log import Submission, WrittenChange
from marjoramfall.process.config.replication import Confirmation
from marjoramfall.process.config.state import LogRecord


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Describe one listed member; `revision` is the one it confirmed."""

    entry_id: str
    address: str
    state: str
    revision: int


@dataclass(frozen=True, slots=True)
class DispatcherStatus:
    """Name the dispatcher of an engine group."""

    group_id: str
    entry_id: str


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Describe the entry that was asked and what it knows of the others."""

    entry_id: str
    ready: bool
    unready_reasons: tuple[str, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    dispatchers: tuple[DispatcherStatus, ...] = ()


class AdminBackend(ABC):
    """Change and report the configuration on behalf of operators."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the configuration that this entry has applied."""

    @abstractmethod
    def submit(self, submission: Submission) -> WrittenChange:
        """Write a change to the log, apply it and send it to the peers.

        Raises a `ConfigChangeError`, `ChangeOutcomeUnknownError` or
        `PlatformError`.
        """

    @abstractmethod
    def confirmation(self, revision: int) -> Confirmation:
        """Return which members have not confirmed a revision yet."""

    @abstractmethod
    def audit(self, *, after_revision: int, limit: int) -> list[LogRecord]:
        """Return log records in order; raises a `PlatformError`."""

    @abstractmethod
    def status(self) -> EntryStatus:
        """Return the state of this entry."""
