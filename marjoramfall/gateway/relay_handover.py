"""Tell other groups, and the own one, from where on to count a new relay's reports."""

from dataclasses import dataclass

from marjoramfall.gateway.outside_use import DigestSource, digest_source
from marjoramfall.gateway.peers.group_digest import GroupDigest, LimitBase, Scope
from marjoramfall.gateway.peers.peer_state import LimitUse

# Long enough to reach all groups by several digests, one of which may be lost. Later
# a new receiver was told of the use by another relay.
BASE_MS = 3000.0


@dataclass(frozen=True, slots=True)
class KnownSums:
    """Hold the use of the own group and of all others, as known at one moment."""

    of_group: list[LimitUse]
    of_others: list[LimitUse]

    def of(self, scope: Scope) -> list[LimitUse]:
        """Return the use of the entries that a digest sums up."""
        return self.of_group if scope is Scope.GROUP else self.of_others


@dataclass(frozen=True, slots=True)
class ToldRelay:
    """Hold what the relay of another group had been told when it was last heard."""

    source: DigestSource
    uses: list[LimitUse]


@dataclass(frozen=True, slots=True)
class DatedBase:
    """Hold a base and when it began to be sent."""

    base: LimitBase
    since_ms: float


class RelayHandover:
    """Keep what was told to relays or by them, for those that follow them.

    The relay of a group sends the sum of its group and that of all others at the same
    moment, so that its members know what it has told other groups; and what it has
    told its members is what other groups had told it before they last heard it.
    """

    def __init__(self) -> None:
        self._known_at_sum: KnownSums | None = None
        self._taken_over: KnownSums | None = None
        self._taken_over_ms = float(0)
        self._told_by_group: dict[str, ToldRelay] = {}
        self._base_by_group: dict[str, DatedBase] = {}

    def on_sum(self, known: KnownSums) -> None:
        """Note what is known when the relay of the own group is heard."""
        self._known_at_sum = known
        self._told_by_group.clear()
        self._base_by_group.clear()

    def on_group(
        self, digest: GroupDigest, told: list[LimitUse], now_ms: float
    ) -> None:
        """Note what another group's relay was told, and find out whether it is new."""
        source = digest_source(digest)
        previous = self._told_by_group.get(digest.group)
        if previous is not None and previous.source != source:
            base = LimitBase(digest.group, previous.uses)
            self._base_by_group[digest.group] = DatedBase(base, now_ms)
        self._told_by_group[digest.group] = ToldRelay(source, told)

    def bases(self, scope: Scope, own_group: str, now_ms: float) -> list[LimitBase]:
        """Return the bases to send as the relay of the own group."""
        if self._known_at_sum is not None:
            self._taken_over = self._known_at_sum
            self._taken_over_ms = now_ms
            self._known_at_sum = None
        bases: list[LimitBase] = []
        if self._taken_over is not None and now_ms - self._taken_over_ms < BASE_MS:
            bases.append(LimitBase(own_group, self._taken_over.of(scope)))
        if scope is Scope.GROUP:
            bases.extend(
                dated.base
                for dated in self._base_by_group.values()
                if now_ms - dated.since_ms < BASE_MS
            )
        return bases
