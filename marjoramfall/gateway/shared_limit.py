"""Hold a team's limit that all entries share."""

from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peer_state import TeamUse

# Below this share of the burst, peers hear of each use soon.
NEARLY_EXHAUSTED_SHARE = 0.5


@dataclass(slots=True)
class SharedLimit:
    """Replicate one token bucket: every entry draws what all entries used.

    A shared limit is never exact; up to `tolerance` beyond it a request is
    served rather than refused within its limit by mistake. What silent peers
    may be using is withheld, so that both sides of a partition together stay
    within the limit.
    """

    team: Team
    level: float
    updated_ms: float
    tolerance: float = 0.0
    used: float = 0.0
    reserved_share: float = 0.0
    withheld: float = 0.0

    @property
    def available(self) -> float:
        """Return what this entry may let pass now."""
        return self.level + self.tolerance * (1 - self.reserved_share)

    def is_nearly_exhausted(self, now_ms: float) -> bool:
        """Return whether little is left, so that late reports do harm."""
        if not self.used:
            return False
        # Where no request of the team comes, nothing has refilled the level.
        elapsed_ms = max(0, now_ms - self.updated_ms)
        refilled = self.level + self.team.rate_per_s * elapsed_ms / MS_PER_SECOND
        return refilled < NEARLY_EXHAUSTED_SHARE * self.team.burst

    def refill(self, now_ms: float, reserved_share: float) -> None:
        """Add what the rate gives, and withhold the share of silent peers."""
        self._set_reserved_share(reserved_share)
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        added = self.team.rate_per_s * elapsed_ms / MS_PER_SECOND
        usable_share = 1 - reserved_share
        self.withheld += added * reserved_share
        max_level = self.team.burst * usable_share
        self.level = min(max_level, self.level + added * usable_share)

    def try_use(self, amount: float) -> bool:
        """Draw an amount; return False if the limit is reached.

        A request larger than what is left may still go, and the next ones pay
        for it, since else one larger than the burst could never go.
        """
        if self.available <= 0:
            return False
        self.level -= amount
        self.used += amount
        return True

    def refund(self, amount: float) -> None:
        """Return what a request drew that did not run."""
        self.level += amount
        self.used -= amount

    def draw_for_peer(self, amount: float) -> None:
        """Draw what a peer has let pass."""
        self.level -= amount

    def wait_ms(self) -> float:
        """Return when the limit lets the next request pass."""
        missing = 1 - self.available
        usable_rate = self.team.rate_per_s * (1 - self.reserved_share)
        if missing <= 0 or usable_rate <= 0:
            return 0
        return missing / usable_rate * MS_PER_SECOND

    def _set_reserved_share(self, reserved_share: float) -> None:
        known = self.reserved_share
        self.reserved_share = reserved_share
        if reserved_share > known:
            newly_silent = (reserved_share - known) / (1 - known)
            moved = max(0, self.level) * newly_silent
        elif reserved_share < known:
            # Peers that are heard again have told what they used meanwhile.
            moved = self.withheld * (reserved_share / known - 1)
        else:
            return
        self.level -= moved
        self.withheld += moved


class SharedLimits:
    """Keep the limits of all teams across changes of the configuration."""

    def __init__(
        self, *, tolerance_share: float, tolerance: float, starts_full: bool
    ) -> None:
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._limit_by_team: dict[str, SharedLimit] = {}
        self._peer_use_by_key: dict[tuple[str, int], dict[str, float]] = {}

    def set_teams(self, teams: dict[str, Team], now_ms: float) -> None:
        """Take over the teams of a new configuration."""
        previous = self._limit_by_team
        self._limit_by_team = {}
        for team in teams.values():
            if team.rate_per_s <= 0:
                continue
            limit = previous.get(team.name) or self._create_limit(team, now_ms)
            limit.team = team
            limit.level = min(limit.level, team.burst)
            limit.tolerance = self._tolerance_of(team)
            self._limit_by_team[team.name] = limit
        # Teams that come later are new to all entries.
        self._starts_full = True

    def use_tolerance(self, *, tolerance_share: float, tolerance: float) -> None:
        """Use another tolerance for all teams."""
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        for limit in self._limit_by_team.values():
            limit.tolerance = self._tolerance_of(limit.team)

    def find(self, team: Team | None) -> SharedLimit | None:
        """Return the limit of a team, None if it has none."""
        return None if team is None else self._limit_by_team.get(team.name)

    def add_peer(
        self, vm: str, incarnation: int, uses: list[TeamUse], *, recent_share: float
    ) -> None:
        """Draw from now on what a peer lets pass; `uses` tells all teams.

        Of what it let pass before it was met, `recent_share` falls into the
        life of this entry, whose limits do not know of earlier use.
        """
        key = (vm, incarnation)
        if key not in self._peer_use_by_key:
            self._peer_use_by_key[key] = {
                use.team: use.used * (1 - recent_share) for use in uses
            }
        self.draw_for_peer(vm, incarnation, uses)

    def draw_for_peer(self, vm: str, incarnation: int, uses: list[TeamUse]) -> None:
        """Draw what a peer that was met has let pass since its last report."""
        known = self._peer_use_by_key.get((vm, incarnation))
        if known is None:
            return
        for use in uses:
            limit = self._limit_by_team.get(use.team)
            if limit is not None:
                limit.draw_for_peer(use.used - known.get(use.team, 0))
            known[use.team] = use.used

    def uses(self) -> list[TeamUse]:
        """Return what teams used here since the start."""
        return [
            TeamUse(name, limit.used)
            for name, limit in self._limit_by_team.items()
            if limit.used
        ]

    def nearly_exhausted_uses(self, now_ms: float) -> list[TeamUse]:
        """Return what teams used here that have little left."""
        return [
            TeamUse(name, limit.used)
            for name, limit in self._limit_by_team.items()
            if limit.is_nearly_exhausted(now_ms)
        ]

    def _create_limit(self, team: Team, now_ms: float) -> SharedLimit:
        # An entry that starts again does not know what was used before.
        level = team.burst if self._starts_full else 0
        return SharedLimit(team, level, now_ms)

    def _tolerance_of(self, team: Team) -> float:
        return self._tolerance + self._tolerance_share * team.burst
