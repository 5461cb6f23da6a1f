"""Keep a rate limit that all entries share, as a replica at each of them."""

from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.level_learning import LevelLearning
from marjoramfall.gateway.model import LimitRule
from marjoramfall.gateway.peers.group_digest import Scope
from marjoramfall.gateway.peers.peer_state import LimitLevel, LimitUse


@dataclass(slots=True)
class SharedLimit:
    """Replicate a token bucket at every entry, which subtracts the use of all.

    As the use of peers is known late, a shared limit is never exact: requests
    may exceed it by up to `tolerance`, so that none within the limit is refused
    by mistake. The share that silent peers may be using is withheld, so that
    both sides of a partition together stay within the limit.

    Amounts are tokens or requests, whichever the limit counts.
    `reserved_share` is the share of the limit that silent peers may be using,
    `withheld` the amount kept back for them so far. `used` is what this entry
    admitted, `used_by_group` and `used_outside` what it heard of the other entries
    of its group and of all other groups since its start; what was last reported of
    each to other entries begins with `reported`. `learning` is None if the level has
    been known since the limit was created.
    """

    rule: LimitRule
    level: float
    updated_ms: float
    tolerance: float = 0.0
    used: float = 0.0
    used_by_group: float = 0.0
    used_outside: float = 0.0
    reported: float = 0.0
    reported_by_group: float = 0.0
    reported_outside: float = 0.0
    reserved_share: float = 0.0
    withheld: float = 0.0
    learning: LevelLearning | None = None

    @property
    def available(self) -> float:
        """Return the amount that this entry may admit now."""
        return self.level + self.tolerance * (1 - self.reserved_share)

    @property
    def used_in_group(self) -> float:
        """Return what the own group admitted, as known here."""
        return self.used + self.used_by_group

    def unreported(self, scope: Scope) -> float:
        """Return the use in the group, or of all others, since its last digest."""
        if scope is Scope.GROUP:
            return self.used_in_group - self.reported_by_group
        return self.used_outside - self.reported_outside

    def report_own(self) -> LimitUse:
        """Return the use at this entry to report to its group."""
        self.reported = self.used
        return LimitUse(self.rule.name, self.used)

    def report(self, scope: Scope) -> LimitUse:
        """Return the use to report in a digest."""
        if scope is Scope.GROUP:
            self.reported_by_group = self.used_in_group
            return LimitUse(self.rule.name, self.reported_by_group)
        self.reported_outside = self.used_outside
        return LimitUse(self.rule.name, self.reported_outside)

    def refill(self, now_ms: float, reserved_share: float) -> None:
        """Refill by the time elapsed, and withhold the share of silent peers."""
        self._set_reserved_share(reserved_share)
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        added = self.rule.rate_per_s * elapsed_ms / MS_PER_SECOND
        usable_share = 1 - reserved_share
        self.withheld += added * reserved_share
        max_level = self.rule.burst * usable_share
        level = max(self.level, -self.rule.max_debt)
        self.level = min(max_level, level + added * usable_share)

    def try_use(self, amount: float) -> bool:
        """Take an amount from the bucket; return False if the limit is reached.

        A request may take more than is left, as one larger than the burst could
        otherwise never be admitted. The level becomes negative, and later
        requests wait until it is refilled.
        """
        if self.available <= 0:
            return False
        self.use(amount)
        return True

    def use(self, amount: float) -> None:
        """Take an amount also if the limit is reached."""
        self.level -= amount
        self.used += amount

    def refund(self, amount: float) -> None:
        """Return the amount taken by a request that did not run."""
        self.level += amount
        self.used -= amount

    def subtract_peer_use(self, amount: float, now_ms: float) -> None:
        """Subtract the amount that a peer of the group admitted."""
        self._subtract(amount, now_ms)
        self.used_by_group += amount

    def subtract_outside_use(self, amount: float, now_ms: float) -> None:
        """Subtract the amount that the entries of another group admitted."""
        self._subtract(amount, now_ms)
        self.used_outside += amount

    def knows_level(self, now_ms: float) -> bool:
        """Return whether other entries may take over the level."""
        return self.learning is None or self.learning.knows_level(now_ms)

    def report_level(self, now_ms: float) -> LimitLevel:
        """Return the level and what is withheld, for an entry that starts."""
        self.refill(now_ms, self.reserved_share)
        return LimitLevel(
            self.rule.name, self.level, self.withheld, self.reserved_share
        )

    def learn_level(
        self, known: LimitLevel, now_ms: float, *, peer_uptime_ms: float
    ) -> bool:
        """Take over the level of a peer; return False if the own one stays.

        It contains the use of all entries, but perhaps not yet what this one admitted
        before it heard of it.
        """
        learning = self.learning
        if learning is None or not learning.may_learn_from(now_ms, peer_uptime_ms):
            return False
        own_share = self.reserved_share
        self.refill(now_ms, own_share)
        unused = known.level + known.withheld
        is_near = unused >= self.level + self.withheld - self.tolerance
        if is_near and not learning.accepts_all():
            return False
        is_first = learning.adopted_ms is None
        learning.adopted_ms = now_ms
        self.level = known.level - self.used if is_first else known.level
        self.withheld = known.withheld
        self.reserved_share = known.reserved_share
        self.refill(now_ms, own_share)
        return True

    def recent_share(self, now_ms: float, peer_uptime_ms: float) -> float:
        """Return the share of a new peer's use that the level may not contain."""
        if self.learning is None:
            return 1
        return self.learning.recent_share(now_ms, peer_uptime_ms)

    def wait_ms(self) -> float:
        """Return the milliseconds until the limit admits the next request."""
        missing = 1 - self.available
        usable_rate = self.rule.rate_per_s * (1 - self.reserved_share)
        if missing <= 0 or usable_rate <= 0:
            return 0
        return missing / usable_rate * MS_PER_SECOND

    def ms_until_available(self) -> float:
        """Return the milliseconds until the limit admits any request."""
        usable_rate = self.rule.rate_per_s * (1 - self.reserved_share)
        if self.available > 0 or usable_rate <= 0:
            return 0
        return -self.available / usable_rate * MS_PER_SECOND

    def _subtract(self, amount: float, now_ms: float) -> None:
        # Refilled first: a later refill for the time before would replace the amount.
        self.refill(now_ms, self.reserved_share)
        self.level -= amount

    def _set_reserved_share(self, reserved_share: float) -> None:
        previous_share = self.reserved_share
        self.reserved_share = reserved_share
        if reserved_share > previous_share:
            newly_silent = (reserved_share - previous_share) / (1 - previous_share)
            # An assumed debt is shared like what is left; one that is known is not.
            is_known = self.knows_level(self.updated_ms)
            shared_level = max(0, self.level) if is_known else self.level
            moved = shared_level * newly_silent
        elif reserved_share < previous_share:
            # Peers that are connected again have reported their use meanwhile, so
            # that their part of the withheld amount is released.
            moved = self.withheld * (reserved_share / previous_share - 1)
        else:
            return
        self.level -= moved
        self.withheld += moved
