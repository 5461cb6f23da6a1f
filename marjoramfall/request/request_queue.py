"""Order the waiting requests of an engine group."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from operator import attrgetter, itemgetter

from marjoramfall.request.events import WaitingRequest

# The latest start in ms, the request id and the request.
_Entry = tuple[float, str, WaitingRequest]
_REQUEST_OF = itemgetter(-1)
_TIER_RANK = attrgetter('rank')


class _TeamQueue:
    """Order the requests of one team in one tier by least slack."""

    def __init__(self, team_id: str) -> None:
        self.team_id = team_id
        self.virtual_time = float(0)
        self.weight = float(1)
        self.tokens = 0
        self.demand = -1
        self.entries: list[_Entry] = []


class _TeamOrder:
    """Keep teams sorted by a number and their id.

    A plain list with bisection costs less than a tree up to the queue's
    largest size, as the ends are read more often than they change.
    """

    def __init__(self) -> None:
        self.teams: list[tuple[float, str, _TeamQueue]] = []

    def add(self, rank: float, team: _TeamQueue) -> None:
        # Ids differ, so that teams themselves are never compared.
        insort(self.teams, (rank, team.team_id, team))

    def first(self) -> _TeamQueue:
        return self.teams[0][-1]

    def last(self) -> _TeamQueue:
        return self.teams[-1][-1]

    def remove(self, rank: float, team: _TeamQueue) -> None:
        self.teams.pop(bisect_left(self.teams, (rank, team.team_id)))


class _TierQueue:
    """Share a tier between its teams by virtual time in tokens."""

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.tokens = 0
        self.teams_by_id: dict[str, _TeamQueue] = {}
        self.by_time = _TeamOrder()
        self.by_demand = _TeamOrder()
        self._virtual_time = float(0)

    def add(self, entry: _Entry) -> None:
        waiting = entry[-1]
        team = self.teams_by_id.get(waiting.team_id)
        if team is None:
            team = _TeamQueue(waiting.team_id)
            self.teams_by_id[waiting.team_id] = team
        if not team.entries:
            # A team that was idle must not claim its unused share later.
            team.virtual_time = max(team.virtual_time, self._virtual_time)
            self.by_time.add(team.virtual_time, team)
        insort(team.entries, entry)
        self._change_demand(team, waiting.work.total_tokens, waiting.team_weight)

    def remove(self, entry: _Entry) -> None:
        waiting = entry[-1]
        team = self.teams_by_id[waiting.team_id]
        team.entries.pop(bisect_left(team.entries, entry))
        self._change_demand(team, -waiting.work.total_tokens, team.weight)
        if not team.entries:
            self.by_time.remove(team.virtual_time, team)
            if team.virtual_time <= self._virtual_time:
                self.teams_by_id.pop(team.team_id)

    def charge(self, waiting: WaitingRequest) -> None:
        """Charge a granted request, which is still queued, to its team."""
        team = self.teams_by_id[waiting.team_id]
        self.by_time.remove(team.virtual_time, team)
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += waiting.work.total_tokens / waiting.team_weight
        self.by_time.add(team.virtual_time, team)

    def _change_demand(self, team: _TeamQueue, tokens: int, weight: float) -> None:
        team.weight = weight
        team.tokens += tokens
        self.tokens += tokens
        # Powers of two are close enough and change seldom.
        demand = int(team.tokens / weight).bit_length() if team.entries else -1
        if demand != team.demand:
            if team.demand >= 0:
                self.by_demand.remove(team.demand, team)
            team.demand = demand
            if team.entries:
                self.by_demand.add(demand, team)


class RequestQueue:
    """Keep waiting requests by tier, fair share of their team and slack.

    Adding, removing and finding the next request take logarithmic time.
    """

    def __init__(self) -> None:
        self._tiers_by_rank: dict[int, _TierQueue] = {}
        self._tiers: list[_TierQueue] = []
        self._entries_by_id: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        for tier in self._tiers:
            for _, _, team in tier.by_time.teams:
                yield from map(_REQUEST_OF, team.entries)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, or None."""
        entry = self._entries_by_id.get(request_id)
        return entry[-1] if entry else None

    def latest_start_ms(self, waiting: WaitingRequest) -> float:
        """Return the time by which a queued request should be granted."""
        return self._entries_by_id[waiting.request_id][0]

    def add(self, waiting: WaitingRequest, latest_start_ms: float) -> None:
        """Add a request that is not in the queue yet."""
        tier = self._tiers_by_rank.get(waiting.tier_rank)
        if tier is None:
            tier = _TierQueue(waiting.tier_rank)
            self._tiers_by_rank[tier.rank] = tier
            insort(self._tiers, tier, key=_TIER_RANK)
        entry = (latest_start_ms, waiting.request_id, waiting)
        self._entries_by_id[waiting.request_id] = entry
        tier.add(entry)

    def remove(self, request_id: str, *, granted: bool = False) -> bool:
        """Remove a request, charging its team if it was granted."""
        entry = self._entries_by_id.pop(request_id, None)
        if entry is None:
            return False
        tier = self._tiers_by_rank[entry[-1].tier_rank]
        if granted:
            tier.charge(entry[-1])
        tier.remove(entry)
        return True

    def first(self) -> WaitingRequest | None:
        """Return the request whose turn it is."""
        for tier in self._tiers:
            if tier.by_time.teams:
                return tier.by_time.first().entries[0][-1]
        return None

    def tokens_at_or_above(self, rank: int) -> int:
        """Return the tokens that wait in this and higher tiers."""
        return sum(tier.tokens for tier in self._tiers if tier.rank <= rank)

    def waiting_ranks(self) -> list[int]:
        """Return the tiers with waiting requests, the highest first."""
        return [tier.rank for tier in self._tiers if tier.by_time.teams]

    def last_in_tier(self, rank: int) -> WaitingRequest | None:
        """Return the request with most slack of the most demanding team."""
        order = self._tiers_by_rank[rank].by_demand
        return order.last().entries[-1][-1] if order.teams else None
