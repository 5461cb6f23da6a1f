"""Collect the actions of a membership and fill its messages."""

from dataclasses import dataclass

from marjoramfall.messages import Heartbeat, MemberUpdate, Message, ProbeReply
from marjoramfall.process.membership.gossip import Gossip
from marjoramfall.process.membership.member import Member, MembershipAction, SendMessage


@dataclass(frozen=True, slots=True)
class Status:
    """Hold what an entry tells of its configuration."""

    revision: int = 0
    head_age_ms: float | None = None
    store_reachable: bool = False


class Outbox:
    """Write messages of one entry, with news of members on them."""

    def __init__(self, own: Member, max_updates: int) -> None:
        self.status = Status()
        self._own = own
        self._gossip = Gossip(max_updates)
        self._actions: list[MembershipAction] = []

    def add(self, action: MembershipAction) -> None:
        """Add an action for the owner of the membership."""
        self._actions.append(action)

    def send(self, address: str, message: Message) -> None:
        """Add a message to an address."""
        self.add(SendMessage(address, message))

    def spread(self, update: MemberUpdate, members: int) -> None:
        """Put news on the next messages."""
        self._gossip.add(update, members)

    def beat(self, address: str, probe: int) -> None:
        """Send a heartbeat with news that asks for a reply."""
        self.call(address, probe, self._gossip.take())

    def call(self, address: str, probe: int, updates: list[MemberUpdate]) -> None:
        """Send a heartbeat with only the given news that asks for a reply.

        Addresses that are probably dead get no other news, as each item of
        news is told only a limited number of times.
        """
        heartbeat = Heartbeat(
            address=self._own.address,
            revision=self.status.revision,
            head_age_ms=self.status.head_age_ms,
            store_reachable=self.status.store_reachable,
            probe=probe,
            updates=updates,
        )
        self.send(address, heartbeat)

    def reply(self, address: str, probe: int, first: list[MemberUpdate]) -> None:
        """Reply to a probe."""
        reply = ProbeReply(
            address=self._own.address,
            revision=self.status.revision,
            head_age_ms=self.status.head_age_ms,
            store_reachable=self.status.store_reachable,
            probe=probe,
            updates=self._gossip.take(*first),
        )
        self.send(address, reply)

    def drain(self) -> list[MembershipAction]:
        """Return the collected actions and forget them."""
        actions = self._actions
        self._actions = []
        return actions
