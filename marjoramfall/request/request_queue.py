"""Order the waiting requests of an engine group by tier, team and slack."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from operator import attrgetter, itemgetter

from marjoramfall.request.events import WaitingRequest

# Latest start in ms, request id (the tie-breaker) and request.
_QueueItem = tuple[float, str, WaitingRequest]
_GET_REQUEST = itemgetter(-1)
_GET_RANK = attrgetter('rank')


class _TeamQueue:
    """Order the requests of one team in one tier by latest start."""

    def __init__(self, team_id: str) -> None:
        self.team_id = team_id
        self.virtual_time = float(0)
        self.weight = float(1)
        self.tokens = 0
        self.demand_bucket = -1
        self.items: list[_QueueItem] = []


class _SortedTeams:
    """Keep teams sorted by a number, then by their id.

    Up to the largest queue size, a list with bisection costs less than a tree,
    because its ends are read more often than it changes.
    """

    def __init__(self) -> None:
        self.teams: list[tuple[float, str, _TeamQueue]] = []

    def add(self, sort_key: float, team: _TeamQueue) -> None:
        # Team ids are unique, so the team objects are never compared.
        insort(self.teams, (sort_key, team.team_id, team))

    def first(self) -> _TeamQueue:
        return self.teams[0][-1]

    def last(self) -> _TeamQueue:
        return self.teams[-1][-1]

    def remove(self, sort_key: float, team: _TeamQueue) -> None:
        self.teams.pop(bisect_left(self.teams, (sort_key, team.team_id)))


class _TierQueue:
    """Share a tier between its teams by weighted fair queueing.

    The virtual time of a team grows by its granted tokens divided by its
    weight; the team with the lowest virtual time is served next.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.tokens = 0
        self.teams_by_id: dict[str, _TeamQueue] = {}
        self.teams_by_virtual_time = _SortedTeams()
        self.teams_by_demand = _SortedTeams()
        self._virtual_time = float(0)

    def add(self, item: _QueueItem) -> None:
        waiting = item[-1]
        team = self.teams_by_id.get(waiting.team_id)
        if team is None:
            team = _TeamQueue(waiting.team_id)
            self.teams_by_id[waiting.team_id] = team
        if not team.items:
            # An idle team must not accumulate credit for its unused share.
            team.virtual_time = max(team.virtual_time, self._virtual_time)
            self.teams_by_virtual_time.add(team.virtual_time, team)
        insort(team.items, item)
        self._update_demand(team, waiting.work.total_tokens, waiting.team_weight)

    def remove(self, item: _QueueItem) -> None:
        waiting = item[-1]
        team = self.teams_by_id[waiting.team_id]
        team.items.pop(bisect_left(team.items, item))
        self._update_demand(team, -waiting.work.total_tokens, team.weight)
        if not team.items:
            self.teams_by_virtual_time.remove(team.virtual_time, team)
            if team.virtual_time <= self._virtual_time:
                self.teams_by_id.pop(team.team_id)

    def charge(self, waiting: WaitingRequest) -> None:
        """Advance the virtual time of the team of a granted, still queued request."""
        team = self.teams_by_id[waiting.team_id]
        self.teams_by_virtual_time.remove(team.virtual_time, team)
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += waiting.work.total_tokens / waiting.team_weight
        self.teams_by_virtual_time.add(team.virtual_time, team)

    def _update_demand(self, team: _TeamQueue, tokens: int, weight: float) -> None:
        team.weight = weight
        team.tokens += tokens
        self.tokens += tokens
        # Rounding to powers of two is precise enough and seldom moves a team.
        demand_bucket = int(team.tokens / weight).bit_length() if team.items else -1
        if demand_bucket != team.demand_bucket:
            if team.demand_bucket >= 0:
                self.teams_by_demand.remove(team.demand_bucket, team)
            team.demand_bucket = demand_bucket
            if team.items:
                self.teams_by_demand.add(demand_bucket, team)


class RequestQueue:
    """Order waiting requests by tier, fair share of their team and slack.

    Iteration goes tier by tier and team by team. Adding, removing and finding
    the next request take logarithmic time.
    """

    def __init__(self) -> None:
        self._tiers_by_rank: dict[int, _TierQueue] = {}
        self._tiers: list[_TierQueue] = []
        self._items_by_id: dict[str, _QueueItem] = {}

    def __len__(self) -> int:
        return len(self._items_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        for tier in self._tiers:
            for _, _, team in tier.teams_by_virtual_time.teams:
                yield from map(_GET_REQUEST, team.items)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, or None."""
        item = self._items_by_id.get(request_id)
        return item[-1] if item else None

    def latest_start_ms(self, waiting: WaitingRequest) -> float:
        """Return the latest time at which a queued request can start."""
        return self._items_by_id[waiting.request_id][0]

    def add(self, waiting: WaitingRequest, latest_start_ms: float) -> None:
        """Add a request, which must not be in the queue yet."""
        tier = self._tiers_by_rank.get(waiting.tier_rank)
        if tier is None:
            tier = _TierQueue(waiting.tier_rank)
            self._tiers_by_rank[tier.rank] = tier
            insort(self._tiers, tier, key=_GET_RANK)
        item = (latest_start_ms, waiting.request_id, waiting)
        self._items_by_id[waiting.request_id] = item
        tier.add(item)

    def remove(self, request_id: str, *, granted: bool = False) -> bool:
        """Remove a request and return whether it was queued.

        If it was granted, its team is charged for it.
        """
        item = self._items_by_id.pop(request_id, None)
        if item is None:
            return False
        tier = self._tiers_by_rank[item[-1].tier_rank]
        if granted:
            tier.charge(item[-1])
        tier.remove(item)
        return True

    def first(self) -> WaitingRequest | None:
        """Return the next request to grant, or None."""
        for tier in self._tiers:
            if tier.teams_by_virtual_time.teams:
                return tier.teams_by_virtual_time.first().items[0][-1]
        return None

    def tokens_at_or_above(self, rank: int) -> int:
        """Return the waiting tokens of the tier and all higher ones."""
        return sum(tier.tokens for tier in self._tiers if tier.rank <= rank)

    def waiting_ranks(self) -> list[int]:
        """Return the ranks of the tiers with waiting requests, highest tier first."""
        return [tier.rank for tier in self._tiers if tier.teams_by_virtual_time.teams]

    def last_in_tier(self, rank: int) -> WaitingRequest | None:
        """Return the request with the most slack of the team with the most demand."""
        teams = self._tiers_by_rank[rank].teams_by_demand
        return teams.last().items[-1][-1] if teams.teams else None
