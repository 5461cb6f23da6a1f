"""Join all decisions of an entry: members, configuration, grants, moves."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from marjoramfall.messages import (
    ConfigEntries,
    ConfigRequest,
    Heartbeat,
    Leaving,
    Message,
    ProbeReply,
    ProbeRequest,
)
from marjoramfall.model import Configuration
from marjoramfall.platform_services import VmRecord, VmRole, VmState
from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.config.log import LogTail, WrittenChange
from marjoramfall.process.config.replication import (
    ConfigReplicator,
    PeerReport,
    PollStore,
    ReplicationAction,
    SendToPeer,
)
from marjoramfall.process.config.state import ConfigState
from marjoramfall.process.entry_state import EntryState
from marjoramfall.process.group.exchange import ExchangeAction
from marjoramfall.process.membership.member import (
    MemberJoined,
    MemberLeaving,
    MemberRemoved,
    MembershipAction,
    SendMessage,
)
from marjoramfall.process.membership.membership import Membership
from marjoramfall.process.membership.roster import MemberRoster
from marjoramfall.version.actions import MoveAction

MAX_REMEMBERED_PROBES = 1024


@dataclass(frozen=True, slots=True)
class RecordMove:
    """Write what a move decided to the configuration log."""

    action: MoveAction


CoreAction = SendMessage | ResolveAsk | PollStore | RecordMove


class EntryCore:
    """Turn messages, platform answers and time into typed actions.

    Holds no sockets and no clock; `now_ms` is monotonic and `wall_ms` is
    Unix time, both in milliseconds.
    """

    def __init__(self, incarnation: str, address: str, *, seed: int = 0) -> None:
        self.incarnation = incarnation
        self.state = EntryState(incarnation)
        self.config = ConfigState()
        self.replicator = ConfigReplicator(incarnation, self.config)
        self.membership = Membership(incarnation, address, seed=seed)
        self._roster = MemberRoster()
        self._address_by_incarnation: dict[str, str] = {}
        self._probe_sent_ms: OrderedDict[int, float] = OrderedDict()
        self._stopping = False

    def address_of(self, incarnation: str) -> str:
        """Return a member's address, empty if it is not known."""
        return self._address_by_incarnation.get(incarnation, '')

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the applied configuration may be served with."""
        return self.config.revision > 0 and self.replicator.is_fresh(now_ms)

    def receive(
        self, sender: str, message: Message, now_ms: float, wall_ms: int
    ) -> list[CoreAction]:
        """Handle a message of another entry."""
        actions = self._on_membership(
            self.membership.on_message(sender, message, now_ms), now_ms
        )
        if isinstance(message, (Heartbeat, ProbeReply)):
            actions.extend(self._on_report(sender, message, now_ms))
        elif isinstance(message, ConfigEntries):
            replication = self.replicator.on_entries(sender, message, now_ms)
            actions.extend(self._on_replication(replication))
        elif isinstance(message, ConfigRequest):
            replication = self.replicator.on_request(sender, message, now_ms)
            actions.extend(self._on_replication(replication))
        elif not isinstance(message, (Leaving, ProbeRequest)):
            exchanged = self.state.receive(sender, message, now_ms)
            actions.extend(self.addressed(exchanged))
        actions.extend(self._apply_configuration(now_ms, wall_ms))
        return actions

    def tick(self, now_ms: float, wall_ms: int) -> list[CoreAction]:
        """Let time pass in all parts."""
        self.membership.set_status(
            self.config.revision,
            self.replicator.head_age_ms(now_ms),
            store_reachable=self.replicator.store_reachable,
        )
        actions = self._on_membership(self.membership.tick(now_ms), now_ms)
        actions.extend(self._on_replication(self.replicator.tick(now_ms)))
        exchanged, recorded = self.state.tick(now_ms)
        actions.extend(self.addressed(exchanged))
        actions.extend(RecordMove(action) for action in recorded)
        actions.extend(self._apply_configuration(now_ms, wall_ms))
        return actions

    def on_vm_list(
        self, records: Sequence[VmRecord], now_ms: float
    ) -> list[CoreAction]:
        """Take the platform's list of VMs."""
        entries = [record for record in records if record.role is VmRole.ENTRY]
        self._roster.retain_vms(record.vm for record in entries)
        leaving = [
            record.address
            for record in records
            if record.role is VmRole.BACKEND and record.state is VmState.LEAVING
        ]
        actions = self._on_membership(
            self.membership.on_vm_list(records, now_ms), now_ms
        )
        actions.extend(self.addressed(self.state.on_vm_list(leaving, now_ms)))
        actions.extend(self._members_changed(now_ms))
        return actions

    def on_polled(
        self, tail: LogTail, started_ms: float, now_ms: float, wall_ms: int
    ) -> list[CoreAction]:
        """Take the result of a poll of the configuration log."""
        replication = self.replicator.on_polled(tail, started_ms, now_ms)
        applied = self._apply_configuration(now_ms, wall_ms)
        return [*self._on_replication(replication), *applied]

    def on_snapshot(
        self, configuration: Configuration, now_ms: float, wall_ms: int
    ) -> list[CoreAction]:
        """Start from a snapshot; an older one than what is applied is ignored."""
        self.config.restore(configuration)
        return self._apply_configuration(now_ms, wall_ms)

    def on_poll_failed(self, now_ms: float) -> list[CoreAction]:
        """Take note that the store did not answer."""
        return self._on_replication(self.replicator.on_poll_failed(now_ms))

    def on_written(
        self, written: WrittenChange, now_ms: float, wall_ms: int
    ) -> list[CoreAction]:
        """Apply and push a change that this entry wrote."""
        replication = self.replicator.on_written(written.revision, written.text, now_ms)
        applied = self._apply_configuration(now_ms, wall_ms)
        return [*self._on_replication(replication), *applied]

    def leave(self, now_ms: float) -> list[CoreAction]:
        """Announce the planned stop and give up dispatching."""
        self._stopping = True
        actions = self._on_membership(self.membership.leave(), now_ms)
        actions.extend(self._members_changed(now_ms))
        return actions

    def addressed(self, actions: Iterable[ExchangeAction]) -> list[CoreAction]:
        """Replace incarnations by addresses; unknown ones are dropped.

        The sender repeats its ask, by which time its address is known.
        """
        addressed: list[CoreAction] = []
        for action in actions:
            if not isinstance(action, Send):
                addressed.append(action)
                continue
            address = self.address_of(action.incarnation)
            if address:
                addressed.append(SendMessage(address, action.message))
        return addressed

    def _on_report(
        self, sender: str, message: Heartbeat | ProbeReply, now_ms: float
    ) -> list[CoreAction]:
        asked_ms = None
        if isinstance(message, ProbeReply):
            asked_ms = self._probe_sent_ms.pop(message.probe, None)
        report = PeerReport(
            revision=message.revision,
            head_age_ms=message.head_age_ms,
            store_reachable=message.store_reachable,
            asked_ms=asked_ms,
        )
        return self._on_replication(
            self.replicator.on_heartbeat(sender, report, now_ms)
        )

    def _on_membership(
        self, actions: Iterable[MembershipAction], now_ms: float
    ) -> list[CoreAction]:
        kept: list[CoreAction] = []
        changed = False
        for action in actions:
            if isinstance(action, SendMessage):
                self._remember_probe(action.message, now_ms)
                kept.append(action)
            else:
                changed = True
                kept.extend(self._on_member_event(action, now_ms))
        if changed:
            kept.extend(self._members_changed(now_ms))
        return kept

    def _on_member_event(
        self, action: MembershipAction, now_ms: float
    ) -> list[CoreAction]:
        name = type(action).__name__
        logger.bind(member=action.incarnation, change=name).info('membership changed')
        if isinstance(action, MemberJoined):
            self._address_by_incarnation[action.incarnation] = action.address
            self._roster.add(action.incarnation)
        elif isinstance(action, MemberLeaving):
            self._roster.mark_leaving(action.incarnation)
            replication = self.replicator.on_left(action.incarnation, now_ms)
            return self._on_replication(replication)
        elif isinstance(action, MemberRemoved):
            self._roster.on_removed(action.incarnation)
            self._address_by_incarnation.pop(action.incarnation, None)
        return []

    def _members_changed(self, now_ms: float) -> list[CoreAction]:
        members = self.membership.members
        live = [member.incarnation for member in members]
        leaving = [member.incarnation for member in members if member.leaving]
        suspects = [
            member.incarnation for member in members if member.suspected_ms is not None
        ]
        if self._stopping:
            leaving.append(self.incarnation)
        replication = self.replicator.on_members(
            [self.incarnation, *self._roster.incarnations],
            now_ms,
            suspect_ids=suspects,
        )
        actions = self._on_replication(replication)
        exchanged = self.state.exchange.set_members(live, now_ms, leaving=leaving)
        actions.extend(self.addressed(exchanged))
        return actions

    def _on_replication(self, actions: Iterable[ReplicationAction]) -> list[CoreAction]:
        kept: list[CoreAction] = []
        for action in actions:
            if isinstance(action, SendToPeer):
                send = Send(action.peer_id, action.message)
                kept.extend(self.addressed((send,)))
            elif isinstance(action, PollStore):
                kept.append(action)
        return kept

    def _apply_configuration(self, now_ms: float, wall_ms: int) -> list[CoreAction]:
        configuration = self.config.configuration
        if configuration.revision == self.state.configuration.revision:
            return []
        logger.bind(revision=configuration.revision).info('configuration applied')
        return self.addressed(self.state.apply(configuration, now_ms, wall_ms))

    def _remember_probe(self, message: Message, now_ms: float) -> None:
        if isinstance(message, Heartbeat) and message.probe:
            self._probe_sent_ms[message.probe] = now_ms
            if len(self._probe_sent_ms) > MAX_REMEMBERED_PROBES:
                self._probe_sent_ms.popitem(last=False)
