"""Provide an entry's state to the operator interface."""

from marjoramfall.borders.admin_backend import (
    AdminBackend,
    DispatcherStatus,
    EntryStatus,
    MemberStatus,
)
from marjoramfall.clock import Clock
from marjoramfall.model import Configuration
from marjoramfall.process.config.log import ConfigLog, Submission, WrittenChange
from marjoramfall.process.config.replication import Confirmation
from marjoramfall.process.config.state import LogRecord, RecordCodec
from marjoramfall.process.entry_core import EntryCore
from marjoramfall.process.readiness import Readiness
from marjoramfall.process.store_tasks import ConfigWriter


class EntryAdmin(AdminBackend):
    """Change and report the configuration through one entry."""

    def __init__(
        self,
        core: EntryCore,
        writer: ConfigWriter,
        log: ConfigLog,
        readiness: Readiness,
        clock: Clock,
    ) -> None:
        self._core = core
        self._writer = writer
        self._log = log
        self._readiness = readiness
        self._clock = clock

    def configuration(self) -> Configuration:
        """Return the configuration that this entry has applied."""
        return self._core.config.configuration

    def submit(self, submission: Submission) -> WrittenChange:
        """Write a change to the log, apply it and send it to the peers."""
        return self._writer.submit(submission)

    def confirmation(self, revision: int) -> Confirmation:
        """Return which members have not confirmed a revision yet."""
        now_ms = self._clock.monotonic_ms()
        return self._core.replicator.confirmation(revision, now_ms)

    def audit(self, *, after_revision: int, limit: int) -> list[LogRecord]:
        """Return log records in order; raises a `PlatformError`."""
        tail = self._log.read_tail(after_revision, limit=limit)
        return [RecordCodec.decode(text) for text in tail.texts]

    def status(self) -> EntryStatus:
        """Return the state of this entry."""
        core = self._core
        members = tuple(
            MemberStatus(
                member.incarnation,
                member.address,
                member.state,
                core.replicator.peer_revision(member.incarnation),
            )
            for member in core.membership.members
        )
        directory = core.state.exchange.directory
        dispatchers = tuple(
            DispatcherStatus(group_id, directory.dispatcher_of(group_id))
            for group_id in core.state.exchange.group_ids
        )
        reasons = self._readiness.unready_reasons()
        return EntryStatus(
            entry_id=core.incarnation,
            ready=not reasons,
            unready_reasons=reasons,
            members=members,
            dispatchers=dispatchers,
        )
