"""Define a member, the failure detection settings and the reported actions."""

import math
from dataclasses import dataclass
from enum import StrEnum

from marjoramfall.messages import MemberUpdate, Message


class MemberState(StrEnum):
    """List the states of a member; at equal sequences the later one is newer."""

    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'


STATE_ORDER = tuple(MemberState)


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Configure failure detection; times are in milliseconds."""

    # With these values, one dead member of nine is removed after about 1.2 s.
    period_ms: float = 200
    reply_timeout_ms: float = 80
    suspicion_ms: float = 600
    # Members that are asked to probe an unanswering member indirectly.
    helpers: int = 2
    # Probes per period of suspects, new and unanswering addresses, in addition to
    # the one of the rotation. Bounds the cost when a data centre is lost.
    extra_probes: int = 8
    # Queued updates that one message carries at most.
    max_updates: int = 6

    def suspicion_timeout_ms(self, members: int) -> float:
        """Return the time that a suspect has to refute, for this member count."""
        return self.suspicion_ms * max(1, math.log10(max(members, 1)))


@dataclass(slots=True, kw_only=True)
class Member:
    """Hold the state of one incarnation of an entry as seen by this process."""

    incarnation: str
    vm: str
    address: str
    sequence: int = 0
    leaving: bool = False
    heard_ms: float = 0
    suspected_ms: float | None = None
    # From this time on, a suspect with an unanswered probe is removed.
    removal_due_ms: float = 0
    unanswered_probes: int = 0

    @property
    def state(self) -> MemberState:
        """Return the state that is sent to other members."""
        if self.suspected_ms is not None:
            return MemberState.SUSPECT
        return MemberState.LEAVING if self.leaving else MemberState.ALIVE

    def mark_alive(self, now_ms: float) -> None:
        """Record an answer, direct or through a helper, and end the suspicion."""
        self.heard_ms = now_ms
        self.suspected_ms = None
        self.unanswered_probes = 0

    def to_update(self, state: MemberState | None = None) -> MemberUpdate:
        """Return the update on this member to send, with `state` if given."""
        return MemberUpdate(
            incarnation=self.incarnation,
            vm=self.vm,
            address=self.address,
            state=state or self.state,
            sequence=self.sequence,
        )


def start_order_key(incarnation: str) -> str:
    """Return the part of an incarnation id that sorts by start order."""
    return incarnation.partition('.')[2]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the peer listener at an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """Report an incarnation that answered for the first time."""

    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class MemberSuspected:
    """Report a member suspected after a failed probe or by an update."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class MemberLeaving:
    """Report a member that stops as planned."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class MemberRemoved:
    """Report an incarnation that is dead, unreachable or replaced."""

    incarnation: str
    reason: str


MembershipAction = (
    SendMessage | MemberJoined | MemberSuspected | MemberLeaving | MemberRemoved
)
