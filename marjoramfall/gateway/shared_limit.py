"""Enforce the rate limits of teams and servers across all entries."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import LimitRule, ServerLimit, Team
from marjoramfall.gateway.peers.group_digest import GroupDigest, Scope
from marjoramfall.gateway.peers.outside_groups import source_of
from marjoramfall.gateway.peers.peer_state import LimitUse, PeerState


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
    each to other entries begins with `reported`.
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

    @property
    def available(self) -> float:
        """Return the amount that this entry may admit now."""
        return self.level + self.tolerance * (1 - self.reserved_share)

    def unreported(self, scope: Scope) -> float:
        """Return the use in the group, or of all others, since its last digest."""
        if scope is Scope.GROUP:
            return self.used + self.used_by_group - self.reported_by_group
        return self.used_outside - self.reported_outside

    def report_own(self) -> LimitUse:
        """Return the use at this entry to report to its group."""
        self.reported = self.used
        return LimitUse(self.rule.name, self.used)

    def report(self, scope: Scope) -> LimitUse:
        """Return the use to report in a digest."""
        if scope is Scope.GROUP:
            self.reported_by_group = self.used + self.used_by_group
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
            moved = max(0, self.level) * newly_silent
        elif reserved_share < previous_share:
            # Peers that are connected again have reported their use meanwhile, so
            # that their part of the withheld amount is released.
            moved = self.withheld * (reserved_share / previous_share - 1)
        else:
            return
        self.level -= moved
        self.withheld += moved


@dataclass(frozen=True, slots=True)
class DigestSource:
    """Name a run of the entry that sums up the use of other groups."""

    source: str
    vm: str
    incarnation: int


class SharedLimits:
    """Keep the limits of all teams and servers, and what peers used of them."""

    def __init__(
        self, *, tolerance_share: float, tolerance: float, starts_full: bool
    ) -> None:
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._limit_by_name: dict[str, SharedLimit] = {}
        self._reported_use_by_incarnation: dict[tuple[str, int], dict[str, float]] = {}
        self._reported_use_by_digest: dict[DigestSource, dict[str, float]] = {}

    def set_teams(self, teams: dict[str, Team], now_ms: float) -> None:
        """Replace the teams by those of a new configuration, keeping known levels."""
        previous = self._limit_by_name
        self._limit_by_name = {
            name: limit
            for name, limit in previous.items()
            if isinstance(limit.rule, ServerLimit)
        }
        for team in teams.values():
            if team.rate_per_s <= 0:
                continue
            limit = previous.get(team.name) or self._create_limit(team, now_ms)
            limit.rule = team
            limit.level = min(limit.level, team.burst)
            limit.tolerance = self._tolerance_of(team)
            self._limit_by_name[team.name] = limit
        # A team added later is new at all entries and starts with its full burst.
        self._starts_full = True

    def replace_tolerance(self, *, tolerance_share: float, tolerance: float) -> None:
        """Change the tolerance of all teams."""
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        for limit in self._limit_by_name.values():
            if isinstance(limit.rule, Team):
                limit.tolerance = self._tolerance_of(limit.rule)

    def set_server_limit(self, rule: ServerLimit, now_ms: float) -> SharedLimit:
        """Begin to count the requests to a server, or change its limit."""
        limit = self._limit_by_name.get(rule.name)
        if limit is None:
            # All entries begin at once, before they know what the others send.
            limit = SharedLimit(rule, 0, now_ms)
            self._limit_by_name[rule.name] = limit
        limit.rule = rule
        return limit

    def remove_server_limit(self, name: str) -> None:
        """Forget the limit of a server that has gone."""
        self._limit_by_name.pop(name, None)

    def find(self, team: Team | None) -> SharedLimit | None:
        """Return the limit of a team, or None if it has none."""
        return None if team is None else self._limit_by_name.get(team.name)

    def add_state(self, state: PeerState, now_ms: float, *, uptime_ms: int) -> None:
        """Subtract the use that a peer reports; `uptime_ms` is that of this entry."""
        vm = state.vm
        uses = state.limit_uses
        if state.has_all_limits:
            # The part of the peer's uptime in which this entry has run as well.
            recent_share = min(1, uptime_ms / max(1, state.uptime_ms))
            self.add_peer(
                vm, state.incarnation, uses, now_ms, recent_share=recent_share
            )
        else:
            self.subtract_peer_use(vm, state.incarnation, uses, now_ms)

    def add_peer(
        self,
        vm: str,
        incarnation: int,
        uses: list[LimitUse],
        now_ms: float,
        *,
        recent_share: float,
    ) -> None:
        """Subtract the use of a peer, known or new; `uses` holds all of its limits.

        Of the use before the peer was discovered, only `recent_share` falls
        into the uptime of this entry and is subtracted.
        """
        key = (vm, incarnation)
        if key not in self._reported_use_by_incarnation:
            self._reported_use_by_incarnation[key] = {
                use.name: use.used * (1 - recent_share) for use in uses
            }
        self.subtract_peer_use(vm, incarnation, uses, now_ms)

    def subtract_peer_use(
        self, vm: str, incarnation: int, uses: list[LimitUse], now_ms: float
    ) -> None:
        """Subtract the use of a known peer since its last report."""
        reported_by_name = self._reported_use_by_incarnation.get((vm, incarnation))
        if reported_by_name is None:
            return
        for use in uses:
            limit = self._limit_by_name.get(use.name)
            if limit is not None:
                amount = use.used - reported_by_name.get(use.name, 0)
                limit.subtract_peer_use(amount, now_ms)
            reported_by_name[use.name] = use.used

    def add_digest(
        self, digest: GroupDigest, now_ms: float, *, recent_share: float
    ) -> None:
        """Subtract the use of other groups since the last digest of its sender.

        Of the use before the first digest, only `recent_share` falls into the uptime
        of this entry. A new sender for known entries counts from its first digest.
        """
        source = DigestSource(source_of(digest), digest.vm, digest.incarnation)
        reported_by_name = self._reported_use_by_digest.get(source)
        if reported_by_name is None:
            if not digest.has_all_limits:
                return
            if self._reported_use_by_digest:
                recent_share = 0
            reported_by_name = {
                use.name: use.used * (1 - recent_share) for use in digest.limit_uses
            }
            self._reported_use_by_digest[source] = reported_by_name
        for use in digest.limit_uses:
            limit = self._limit_by_name.get(use.name)
            if limit is not None:
                amount = use.used - reported_by_name.get(use.name, 0)
                limit.subtract_outside_use(amount, now_ms)
            reported_by_name[use.name] = use.used

    def keep_digests(self, digests: Iterable[GroupDigest]) -> None:
        """Forget what senders reported that are no longer heard."""
        kept = {
            DigestSource(source_of(digest), digest.vm, digest.incarnation)
            for digest in digests
        }
        for source in self._reported_use_by_digest.keys() - kept:
            self._reported_use_by_digest.pop(source)

    def digest_uses(self, scope: Scope, *, with_all_limits: bool) -> list[LimitUse]:
        """Return the use since the start of this entry, of all or of changed limits."""
        return [
            limit.report(scope)
            for limit in self._limit_by_name.values()
            if with_all_limits or limit.unreported(scope)
        ]

    def uses(self) -> list[LimitUse]:
        """Return the use of each limit at this entry since its start."""
        return [
            LimitUse(name, limit.used)
            for name, limit in self._limit_by_name.items()
            if limit.used
        ]

    def changed_uses(self) -> list[LimitUse]:
        """Return the use at this entry of limits used since the last call."""
        return [
            limit.report_own()
            for limit in self._limit_by_name.values()
            if limit.used != limit.reported
        ]

    def _create_limit(self, team: Team, now_ms: float) -> SharedLimit:
        # A restarted entry does not know how much of the burst was used before.
        level = team.burst if self._starts_full else 0
        return SharedLimit(team, level, now_ms)

    def _tolerance_of(self, team: Team) -> float:
        return self._tolerance + self._tolerance_share * team.burst
