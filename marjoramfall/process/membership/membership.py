"""Decide which entries are members, by probes, suspicion and gossip."""

import random
from collections.abc import Iterable

from marjoramfall.identifiers import vm_of
from marjoramfall.messages import (
    Heartbeat,
    Leaving,
    MemberUpdate,
    Message,
    ProbeReply,
    ProbeRequest,
)
from marjoramfall.platform_services import VmRecord, VmRole, VmState
from marjoramfall.process.membership.member import (
    Member,
    MemberJoined,
    MemberLeaving,
    MemberRemoved,
    MembershipAction,
    MembershipSettings,
    MemberState,
    MemberSuspected,
)
from marjoramfall.process.membership.probes import Probe, ProbeTable, Relay
from marjoramfall.process.membership.seeds import SeedList
from marjoramfall.process.membership.table import MemberTable
from marjoramfall.process.outbox import Outbox

DEFAULT_SETTINGS = MembershipSettings()
# A gap between ticks of more than this many periods means that this process was
# paused and may have missed answers to its probes.
PAUSE_PERIODS = 2


class Membership:
    """Maintain this entry's view of all entries.

    A member joins when a message of its own arrives, and is removed only when
    this entry's own probes of it, direct and through helpers, failed. Call
    `tick` several times per `period_ms`.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        *,
        settings: MembershipSettings = DEFAULT_SETTINGS,
        seed: int | None = None,
    ) -> None:
        self._self = Member(
            incarnation=incarnation, vm=vm_of(incarnation), address=address
        )
        self._settings = settings
        self._members = MemberTable(random.Random(seed))
        self._outbox = Outbox(self._self, settings.max_updates)
        self._probes = ProbeTable(settings)
        self._seeds = SeedList()
        self._next_period_ms = float(0)
        self._last_tick_ms = float(0)

    @property
    def members(self) -> list[Member]:
        """Return the other members, including suspected and leaving ones."""
        return list(self._members)

    def set_status(
        self, revision: int, head_age_ms: float | None, *, store_reachable: bool
    ) -> None:
        """Set the configuration status that heartbeats carry."""

    def on_vm_list(
        self, records: Iterable[VmRecord], now_ms: float
    ) -> list[MembershipAction]:
        """Process a VM list of the platform, which may be out of date.

        It adds addresses to probe and marks members as leaving; it removes none.
        """
        for record in records:
            if record.role is not VmRole.ENTRY or record.address == self._self.address:
                continue
            member = self._members.get_by_address(record.address)
            if member is None:
                self._seeds.add(record.address, now_ms)
            elif record.state is VmState.LEAVING and member.vm == record.vm:
                self._mark_leaving(member)
        return self._outbox.drain()

    def on_message(
        self, sender: str, message: Message, now_ms: float
    ) -> list[MembershipAction]:
        """Process a message; types unrelated to membership only prove liveness."""
        member = self._members.get(sender)
        if isinstance(message, Heartbeat | ProbeReply):
            self._on_heartbeat(sender, message, now_ms)
        elif member is not None:
            member.mark_alive(now_ms)
            self._on_member_message(member, message, now_ms)
        return self._outbox.drain()

    def tick(self, now_ms: float) -> list[MembershipAction]:
        """Send due probes, suspect unanswering members and remove dead ones."""
        if now_ms - self._last_tick_ms > PAUSE_PERIODS * self._settings.period_ms:
            self._reset_probes()
        self._last_tick_ms = now_ms
        for late in self._probes.mark_late(now_ms):
            self._request_indirect_probes(late)
        for failed in self._probes.pop_failed(now_ms):
            self._on_probe_failed(failed, now_ms)
        for member in self._members.suspects():
            self._remove_if_due(member, now_ms)
        if now_ms >= self._next_period_ms:
            self._next_period_ms = now_ms + self._settings.period_ms
            self._start_period(now_ms)
        return self._outbox.drain()

    def leave(self) -> list[MembershipAction]:
        """Announce the planned stop to all members."""
        self._self.leaving = True
        self._self.sequence += 1
        self._outbox.spread(self._self.to_update(), len(self._members))
        for member in self._members:
            self._outbox.send(member.address, Leaving())
        return self._outbox.drain()

    def _on_heartbeat(
        self, sender: str, message: Heartbeat | ProbeReply, now_ms: float
    ) -> None:
        if message.address == self._self.address:
            return
        if self._members.is_outdated(sender, message.address):
            return
        member = self._members.get(sender)
        is_new = member is None
        if member is None:
            member = self._join(sender, message.address, now_ms)
        member.mark_alive(now_ms)
        self._apply_updates(message.updates, now_ms)
        if isinstance(message, ProbeReply):
            self._on_reply(member, message, now_ms)
        elif message.probe:
            join_updates = (
                self._members.sample_updates() if is_new and not message.updates else []
            )
            self._outbox.reply(member.address, message.probe, join_updates)

    def _on_reply(self, member: Member, message: ProbeReply, now_ms: float) -> None:
        """Match a reply of the target or of a helper to the probe it answers."""
        probe = self._probes.pop(message.probe)
        if probe is not None:
            target = self._members.get(probe.incarnation)
            if target is not None:
                target.mark_alive(now_ms)
            return
        relay = self._probes.pop_relay(message.probe)
        if relay is not None and relay.target_incarnation == member.incarnation:
            requester = self._members.get_by_address(relay.requester_address)
            if requester is not None:
                self._outbox.reply(requester.address, relay.requester_probe, [])

    def _on_member_message(
        self, member: Member, message: Message, now_ms: float
    ) -> None:
        if isinstance(message, Leaving):
            self._mark_leaving(member)
        elif isinstance(message, ProbeRequest):
            number = self._probes.start_relay(
                Relay(member.address, message.probe, message.target_incarnation, now_ms)
            )
            self._outbox.call(message.target_address, number, [self._self.to_update()])

    def _join(self, sender: str, address: str, now_ms: float) -> Member:
        replaced = self._members.get_by_address(address)
        if replaced is not None:
            self._remove(replaced, 'replaced by a new incarnation')
        member = Member(incarnation=sender, vm=vm_of(sender), address=address)
        self._members.add(member)
        self._seeds.remove(address)
        self._outbox.add(MemberJoined(sender, address))
        self._outbox.spread(member.to_update(), len(self._members))
        return member

    def _apply_updates(self, updates: list[MemberUpdate], now_ms: float) -> None:
        for update in updates:
            if update.state not in set(MemberState):
                continue
            if update.incarnation == self._self.incarnation:
                self._refute_own(update)
            elif self._members.is_newer(update):
                self._apply_update(update, now_ms)

    def _refute_own(self, update: MemberUpdate) -> None:
        is_suspected = update.state in {MemberState.SUSPECT, MemberState.DEAD}
        if is_suspected and update.sequence >= self._self.sequence:
            self._self.sequence = update.sequence + 1
            self._outbox.spread(self._self.to_update(), len(self._members))

    def _apply_update(self, update: MemberUpdate, now_ms: float) -> None:
        member = self._members.get(update.incarnation)
        if member is None:
            if not self._members.is_outdated(update.incarnation, update.address):
                self._seeds.add(update.address, now_ms, is_urgent=True)
            return
        member.sequence = update.sequence
        if update.state == MemberState.SUSPECT:
            self._suspect(member, now_ms)
        elif update.state == MemberState.DEAD:
            self._suspect(member, now_ms)
            # Removed only once a probe by this entry fails as well.
            member.removal_due_ms = now_ms
        else:
            # The update ends the suspicion, but this entry got no answer itself.
            member.mark_alive(member.heard_ms)
            self._outbox.spread(update, len(self._members))
        if update.state == MemberState.LEAVING:
            self._mark_leaving(member)

    def _mark_leaving(self, member: Member) -> None:
        if not member.leaving:
            member.leaving = True
            self._outbox.add(MemberLeaving(member.incarnation))
            self._outbox.spread(member.to_update(), len(self._members))

    def _suspect(self, member: Member, now_ms: float) -> None:
        if member.suspected_ms is None:
            member.suspected_ms = now_ms
            timeout_ms = self._settings.suspicion_timeout_ms(len(self._members))
            member.removal_due_ms = now_ms + timeout_ms
            member.unanswered_probes = 0
            self._outbox.add(MemberSuspected(member.incarnation))
            self._outbox.spread(member.to_update(), len(self._members))

    def _on_probe_failed(self, failed: Probe, now_ms: float) -> None:
        member = self._members.get(failed.incarnation)
        if member is None or member.heard_ms >= failed.sent_ms:
            return
        if member.suspected_ms is None:
            self._suspect(member, now_ms)
        elif failed.sent_ms >= member.suspected_ms:
            member.unanswered_probes += 1

    def _remove_if_due(self, member: Member, now_ms: float) -> None:
        if now_ms >= member.removal_due_ms and member.unanswered_probes:
            self._outbox.spread(member.to_update(MemberState.DEAD), len(self._members))
            self._remove(member, 'left' if member.leaving else 'no answer')
            self._seeds.add(member.address, now_ms)

    def _remove(self, member: Member, reason: str) -> None:
        self._members.remove(member)
        self._outbox.add(MemberRemoved(member.incarnation, reason))

    def _start_period(self, now_ms: float) -> None:
        target = self._members.next_to_probe()
        if target is not None:
            self._probe(target, now_ms)
        remaining = self._settings.extra_probes
        suspects = [
            member
            for member in self._members.suspects()
            if not self._probes.is_probing(member.address)
        ]
        suspects.sort(key=lambda suspect: suspect.unanswered_probes)
        for suspect in suspects[:remaining]:
            self._probe(suspect, now_ms)
        remaining -= min(len(suspects), remaining)
        # A heartbeat without updates tells the receiver that this entry knows no
        # member; the receiver then replies with a sample of its members.
        own_updates = [self._self.to_update()] if len(self._members) else []
        few_known = len(self._members) < len(self._seeds)
        for address in self._seeds.take(remaining, now_ms, fill_limit=few_known):
            if self._members.get_by_address(address) is None:
                number = self._probes.start('', address, now_ms)
                self._outbox.call(address, number, own_updates)

    def _probe(self, member: Member, now_ms: float) -> None:
        """Probe a member; the probe of a suspect carries the suspicion to refute."""
        number = self._probes.start(member.incarnation, member.address, now_ms)
        if member.suspected_ms is None:
            self._outbox.beat(member.address, number)
        else:
            self._outbox.call(member.address, number, [member.to_update()])

    def _request_indirect_probes(self, late: Probe) -> None:
        if not late.incarnation:
            return
        helpers = self._members.sample_helpers(late.incarnation, self._settings.helpers)
        for helper in helpers:
            request = ProbeRequest(
                target_incarnation=late.incarnation,
                target_address=late.address,
                probe=late.number,
            )
            self._outbox.send(helper.address, request)

    def _reset_probes(self) -> None:
        self._probes.clear()
        for member in self._members:
            member.unanswered_probes = 0
