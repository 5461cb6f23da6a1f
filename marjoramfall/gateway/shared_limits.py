"""Enforce the rate limits of teams and servers across all entries."""

from loguru import logger

from marjoramfall.gateway.level_learning import LevelLearning
from marjoramfall.gateway.model import ServerLimit, Team
from marjoramfall.gateway.outside_use import OutsideUse
from marjoramfall.gateway.peers.group_digest import GroupDigest, LimitBase, Scope
from marjoramfall.gateway.peers.peer_state import LimitLevel, LimitUse, PeerState
from marjoramfall.gateway.relay_handover import KnownSums, RelayHandover
from marjoramfall.gateway.shared_limit import SharedLimit


class SharedLimits:
    """Keep the limits of all teams and servers, and what peers used of them."""

    def __init__(
        self, *, tolerance_share: float, tolerance: float, starts_full: bool
    ) -> None:
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._has_teams = False
        self._limit_by_name: dict[str, SharedLimit] = {}
        self._reported_use_by_incarnation: dict[tuple[str, int], dict[str, float]] = {}
        self._outside_use = OutsideUse()
        self._handover = RelayHandover()

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
        self._has_teams = True

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
        # The part of the peer's uptime in which this entry has run as well.
        recent_share = min(1, uptime_ms / max(1, state.uptime_ms))
        if state.has_all_limits or recent_share == 1:
            self.add_peer(
                state.vm,
                state.incarnation,
                state.limit_uses,
                now_ms,
                recent_share=recent_share,
                uptime_ms=state.uptime_ms,
            )
        else:
            self.subtract_peer_use(
                state.vm, state.incarnation, state.limit_uses, now_ms
            )
        self._learn_levels(state, now_ms)

    def add_peer(
        self,
        vm: str,
        incarnation: int,
        uses: list[LimitUse],
        now_ms: float,
        *,
        recent_share: float,
        uptime_ms: float = 0,
    ) -> None:
        """Subtract the use of a peer, known or new; `uses` holds all of its limits.

        Of the use before the peer was discovered, only `recent_share` falls
        into the uptime of this entry and is subtracted, and of that only what
        levels taken over from others do not contain; `uptime_ms` is the peer's.
        """
        key = (vm, incarnation)
        if key not in self._reported_use_by_incarnation:
            self._reported_use_by_incarnation[key] = self._contained_uses(
                uses, now_ms, recent_share=recent_share, uptime_ms=uptime_ms
            )
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
        self,
        digest: GroupDigest,
        now_ms: float,
        *,
        recent_share: float,
        own_group: str,
    ) -> None:
        """Subtract the use of other groups since the last digest of its sender.

        Of the use before the first digest, only `recent_share` falls into the uptime
        of this entry. A new sender for known entries counts from what the one before
        it reported, or from its first digest if that is not known.
        """
        outside = self._outside_use
        if not outside.knows(digest, now_ms):
            if not digest.has_all_limits:
                return
            contained = self._contained_uses(
                digest.limit_uses,
                now_ms,
                recent_share=0 if outside.is_known else recent_share,
                uptime_ms=digest.uptime_ms,
            )
            outside.add_sender(digest, contained, now_ms)
        for use in outside.count(digest, own_group, now_ms):
            limit = self._limit_by_name.get(use.name)
            if limit is not None:
                limit.subtract_outside_use(use.used, now_ms)
        self._note_told(digest, now_ms)

    def bases(self, scope: Scope, own_group: str, now_ms: float) -> list[LimitBase]:
        """Return from where on the digests of this relay are to be counted."""
        return self._handover.bases(scope, own_group, now_ms)

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

    def levels(self, now_ms: float) -> list[LimitLevel]:
        """Return the levels of teams' limits that entries may take over."""
        return [
            limit.report_level(now_ms)
            for limit in self._limit_by_name.values()
            if isinstance(limit.rule, Team) and limit.knows_level(now_ms)
        ]

    def _note_told(self, digest: GroupDigest, now_ms: float) -> None:
        limits = self._limit_by_name.items()
        if digest.scope == Scope.GROUP:
            told = [LimitUse(name, limit.reported_by_group) for name, limit in limits]
            self._handover.on_group(digest, told, now_ms)
            return
        known = KnownSums(
            [LimitUse(name, limit.used_in_group) for name, limit in limits],
            [LimitUse(name, limit.used_outside) for name, limit in limits],
        )
        self._handover.on_sum(known)

    def _learn_levels(self, state: PeerState, now_ms: float) -> None:
        learned = [
            reported
            for reported in state.limit_levels or ()
            if (limit := self._limit_by_name.get(reported.name)) is not None
            and limit.learn_level(reported, now_ms, peer_uptime_ms=state.uptime_ms)
        ]
        if learned:
            logger.bind(
                peer=state.vm,
                peer_uptime_ms=state.uptime_ms,
                levels=[(level.name, round(level.level)) for level in learned],
            ).info('limit levels taken over from a peer')

    def _contained_uses(
        self,
        uses: list[LimitUse],
        now_ms: float,
        *,
        recent_share: float,
        uptime_ms: float,
    ) -> dict[str, float]:
        """Return what the levels contain of the use that a new peer reports."""
        contained: dict[str, float] = {}
        for use in uses:
            limit = self._limit_by_name.get(use.name)
            share = recent_share
            if limit is not None:
                share = min(share, limit.recent_share(now_ms, uptime_ms))
            contained[use.name] = use.used * (1 - share)
        return contained

    def _create_limit(self, team: Team, now_ms: float) -> SharedLimit:
        if self._has_teams:
            # A team added later is new at all entries.
            return SharedLimit(team, team.burst, now_ms)
        learning = LevelLearning(now_ms, is_first_start=self._starts_full)
        # A restarted entry does not know what was used before, of the tolerance either.
        level = team.burst if self._starts_full else -self._tolerance_of(team)
        return SharedLimit(team, level, now_ms, learning=learning)

    def _tolerance_of(self, team: Team) -> float:
        return self._tolerance + self._tolerance_share * team.burst
