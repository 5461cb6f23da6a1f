"""Hold a team's limit that all entries share."""

from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peer_state import TeamUse


@dataclass(slots=True)
class SharedLimit:
    """Replicate one token bucket: every entry draws what all entries used.

    A shared limit is never exact; up to `tolerance` beyond it a request is
    served rather than refused within its limit by mistake.
    """

    team: Team
    level: float
    updated_ms: float
    tolerance: float = 0.0
    used: float = 0.0

    def refill(self, now_ms: float, reserved_share: float) -> None:
        """Add what the rate gives, less what silent peers may be using."""
        passed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        usable_rate = self.team.rate_per_s * (1 - reserved_share)
        added = usable_rate * passed_ms / MS_PER_SECOND
        self.level = min(self.team.burst, self.level + added)

    def try_use(self, amount: float) -> bool:
        """Draw an amount; return False if the limit is reached.

        A request larger than what is left may still go, and the next ones pay
        for it, since else one larger than the burst could never go.
        """
        if self.level <= -self.tolerance:
            return False
        self.level -= amount
        self.used += amount
        return True

    def give_back(self, amount: float) -> None:
        """Return what a request drew that did not run."""
        self.level += amount
        self.used -= amount

    def draw_for_peer(self, amount: float) -> None:
        """Draw what a peer has let pass."""
        self.level -= amount

    def wait_ms(self) -> float:
        """Return when the limit lets the next request pass."""
        missing = 1 - self.level - self.tolerance
        if missing <= 0 or not self.team.rate_per_s:
            return 0
        return missing / self.team.rate_per_s * MS_PER_SECOND


class SharedLimits:
    """Keep the limits of all teams across changes of the configuration."""

    def __init__(self, *, tolerance_share: float, tolerance: float) -> None:
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        self._limit_by_team: dict[str, SharedLimit] = {}
        self._peer_use_by_key: dict[tuple[str, int], dict[str, float]] = {}

    def set_teams(self, teams: dict[str, Team], now_ms: float) -> None:
        """Take over the teams of a new configuration."""
        previous = self._limit_by_team
        self._limit_by_team = {}
        for team in teams.values():
            if team.rate_per_s <= 0:
                continue
            limit = previous.get(team.name) or SharedLimit(team, team.burst, now_ms)
            limit.team = team
            limit.level = min(limit.level, team.burst)
            limit.tolerance = self._tolerance_of(team)
            self._limit_by_team[team.name] = limit

    def use_tolerance(self, *, tolerance_share: float, tolerance: float) -> None:
        """Use another tolerance for all teams."""
        self._tolerance_share = tolerance_share
        self._tolerance = tolerance
        for limit in self._limit_by_team.values():
            limit.tolerance = self._tolerance_of(limit.team)

    def find(self, team: Team | None) -> SharedLimit | None:
        """Return the limit of a team, None if it has none."""
        return None if team is None else self._limit_by_team.get(team.name)

    def draw_for_peer(self, vm: str, incarnation: int, uses: list[TeamUse]) -> None:
        """Draw what a peer has let pass since its last report."""
        key = (vm, incarnation)
        known = self._peer_use_by_key.get(key)
        if known is None:
            # What a peer used before it was met has been refilled mostly.
            self._peer_use_by_key[key] = {use.team: use.used for use in uses}
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

    def _tolerance_of(self, team: Team) -> float:
        return self._tolerance + self._tolerance_share * team.burst
