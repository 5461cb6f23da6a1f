"""Count the use of other groups that digests report, over changes of relays."""

from dataclasses import dataclass

from marjoramfall.gateway.peers.group_digest import GroupDigest, LimitBase, Scope
from marjoramfall.gateway.peers.outside_groups import OTHER_GROUPS, source_of
from marjoramfall.gateway.peers.peer_state import LimitUse

# A sender that was silent for longer while another was heard has been replaced
# meanwhile. Two that take each other's place send digests every 250 ms.
REPLACED_MS = 600.0


@dataclass(frozen=True, slots=True)
class DigestSource:
    """Name a run of the entry that sums up the use of other groups."""

    source: str
    vm: str
    incarnation: int


@dataclass(slots=True)
class ReportedSum:
    """Hold what a sender has reported, and from where on it was counted.

    `is_exact` is set if that is what the relay before had reported, or if there was
    none before.
    """

    heard_ms: float
    used_by_name: dict[str, float]
    counted_from: dict[str, float]
    is_exact: bool


class OutsideUse:
    """Find what other groups admitted since it was last counted.

    A new relay of a group has other counters than the one before. Bases in its
    digests, or in those of other groups after the relay of the own group was
    replaced, tell from where on to count, so that no use between is lost.
    """

    def __init__(self) -> None:
        self._sum_by_source: dict[DigestSource, ReportedSum] = {}
        self._sender_by_source: dict[str, DigestSource] = {}
        # Set once any other group was heard.
        self.is_known = False

    def knows(self, digest: GroupDigest, now_ms: float) -> bool:
        """Return whether the sender of a digest is counted already."""
        self._forget_other_role(digest)
        source = digest_source(digest)
        previous = self._sender_by_source.get(source.source)
        known = self._sum_by_source.get(source)
        if known is None:
            return False
        is_replaced = previous != source and now_ms - known.heard_ms > REPLACED_MS
        if is_replaced:
            self._sum_by_source.pop(source)
        return not is_replaced

    def add_sender(
        self, digest: GroupDigest, counted_from: dict[str, float], now_ms: float
    ) -> None:
        """Count the use that a new sender reports from some values on."""
        self._sum_by_source[digest_source(digest)] = ReportedSum(
            now_ms, counted_from, dict(counted_from), is_exact=not self.is_known
        )

    def count(
        self, digest: GroupDigest, own_group: str, now_ms: float
    ) -> list[LimitUse]:
        """Return the use since the last digest of a known sender."""
        source = digest_source(digest)
        known = self._sum_by_source[source]
        known.heard_ms = now_ms
        self._sender_by_source[source.source] = source
        uses = [] if known.is_exact else self._count_gap(digest, own_group, known)
        for use in digest.limit_uses:
            amount = use.used - known.used_by_name.get(use.name, 0)
            uses.append(LimitUse(use.name, amount))
            known.used_by_name[use.name] = use.used
        self.is_known = True
        return uses

    def _count_gap(
        self, digest: GroupDigest, own_group: str, known: ReportedSum
    ) -> list[LimitUse]:
        """Return the use before the first digest that no relay has reported."""
        base = _find_base(digest, own_group)
        if base is None:
            return []
        known.is_exact = True
        used_by_name = {use.name: use.used for use in base.uses}
        return [
            LimitUse(name, max(0, counted_from - used_by_name.get(name, 0)))
            for name, counted_from in known.counted_from.items()
        ]

    def _forget_other_role(self, digest: GroupDigest) -> None:
        """Forget the senders that only a relay, or only another member, hears."""
        is_relay = digest.scope == Scope.GROUP
        for source in tuple(self._sum_by_source):
            if (source.source == OTHER_GROUPS) == is_relay:
                self._sum_by_source.pop(source)


def digest_source(digest: GroupDigest) -> DigestSource:
    """Return the run of the entry that sent a digest."""
    return DigestSource(source_of(digest), digest.vm, digest.incarnation)


def _find_base(digest: GroupDigest, own_group: str) -> LimitBase | None:
    """Return the base for this group, else that for all."""
    bases = {base.group: base for base in digest.limit_bases}
    return bases.get(own_group) or bases.get(digest.group)
