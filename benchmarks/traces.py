"""Make seeded traces of requests for the scheduling benchmark."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

BLOCK_TOKENS = 64
MAX_BLOCKS = 96
ENTRY_COUNT = 9
DEADLINES_MS = (20_000, 30_000, 45_000, 60_000)
TIER_SHARES = (0.15, 0.25, 0.3, 0.3)
TEAMS_PER_TIER = 4
PREFILL_MS_PER_TOKEN = 0.1
DECODE_MS_PER_TOKEN = 0.6
SPEEDS = (1.4, 1.2, 1.0, 0.7, 0.5)
LENGTH_MS = 240_000
NEW_SESSION_SHARE = 0.4
HOT_TEAM_SHARE = 0.5
GUESS_ERROR = 0.3
RECENT_SESSIONS = 24


@dataclass(slots=True, eq=False)
class Job:
    """Hold one request of a trace and what became of it."""

    number: int
    entry: int
    tier: int
    team: str
    arrived_ms: float
    deadline_ms: float
    prefill: int
    decode: int
    decode_guess: int
    blocks: tuple[int, ...]
    ideal_cost_ms: float = 0
    engine: int | None = None
    sent_ms: float = 0
    started_ms: float | None = None
    first_token_ms: float | None = None
    finished_ms: float | None = None
    refused: str = ''
    computed_prefill: int = 0
    cached_tokens: int = 0
    cancelled: bool = False

    @property
    def request_id(self) -> str:
        """Return the id of the request at the dispatcher."""
        return f'request-{self.number}'

    @property
    def in_time(self) -> bool:
        """Return whether the whole response came before the deadline."""
        return self.finished_ms is not None and self.finished_ms <= self.deadline_ms


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Describe load (as a share of the capacity) and faults over time."""

    name: str
    load: Callable[[float], float]
    burst_entry_share: float = 0
    burst_ms: tuple[float, float] = (0, 0)
    slow_engine: int | None = None
    slow_ms: tuple[float, float] = (0, 0)
    report_loss: float = 0
    store_outage_ms: tuple[float, float] = (0, 0)

    def slowdown(self, engine: int, now_ms: float) -> float:
        """Return by which factor an engine is slower than usual."""
        slow = engine == self.slow_engine and self._within(self.slow_ms, now_ms)
        return 5 if slow else 1

    def store_is_up(self, now_ms: float) -> bool:
        """Return whether the platform's table service answers."""
        return not self._within(self.store_outage_ms, now_ms)

    def entry_of(self, now_ms: float, rng: random.Random) -> int:
        """Return the entry at which a request arrives."""
        if self._within(self.burst_ms, now_ms) and rng.random() < (
            self.burst_entry_share
        ):
            return 0
        return rng.randrange(ENTRY_COUNT)

    def _within(self, period_ms: tuple[float, float], now_ms: float) -> bool:
        return period_ms[0] <= now_ms < period_ms[1]


@dataclass
class _Team:
    name: str
    system_blocks: tuple[int, ...]
    sessions: list[tuple[int, ...]] = field(default_factory=list)


class TraceMaker:
    """Draw the jobs of a scenario from a seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._blocks_made = 0
        self._seen_blocks: set[int] = set()
        self._teams_by_tier = [
            [self._make_team(tier, number) for number in range(TEAMS_PER_TIER)]
            for tier in range(len(DEADLINES_MS))
        ]

    def make(self) -> list[Job]:
        """Return the jobs in the order of their arrival."""
        jobs: list[Job] = []
        mean_cost_ms = self._mean_cost_ms()
        now_ms = float(0)
        while now_ms < LENGTH_MS:
            load = self._scenario.load(now_ms)
            now_ms += self._rng.expovariate(load * sum(SPEEDS) / mean_cost_ms)
            jobs.append(self._make_job(len(jobs), now_ms))
        return jobs

    def _mean_cost_ms(self) -> float:
        sampler = random.Random(1)
        seeded, blocks_made = self._rng, self._blocks_made
        self._rng = sampler
        sample = [self._make_job(number, 0).ideal_cost_ms for number in range(4000)]
        self._rng = seeded
        self._blocks_made = blocks_made
        self._seen_blocks.clear()
        for teams in self._teams_by_tier:
            for team in teams:
                team.sessions.clear()
        return sum(sample[1000:]) / len(sample[1000:])

    def _make_team(self, tier: int, number: int) -> _Team:
        blocks = self._new_blocks(self._rng.randrange(8, 24))
        return _Team(f'team-{tier}-{number}', blocks)

    def _new_blocks(self, count: int) -> tuple[int, ...]:
        first = self._blocks_made
        self._blocks_made += count
        return tuple(range(first, first + count))

    def _tokens(self, median: float, least: int, most: int) -> int:
        drawn = self._rng.lognormvariate(0, 1) * median
        return round(min(max(drawn, least), most))

    def _make_job(self, number: int, now_ms: float) -> Job:
        tier = self._rng.choices(range(len(TIER_SHARES)), TIER_SHARES)[0]
        teams = self._teams_by_tier[tier]
        hot = self._rng.random() < HOT_TEAM_SHARE
        team = teams[0] if hot else self._rng.choice(teams)
        new_tokens = self._tokens(200, 32, 4000)
        history = self._pick_history(team)
        blocks = history + self._new_blocks(new_tokens // BLOCK_TOKENS)
        team.sessions.append(blocks)
        decode = self._tokens(80, 8, 800 if tier else 300)
        prefill = len(blocks) * BLOCK_TOKENS + new_tokens % BLOCK_TOKENS
        return Job(
            number=number,
            entry=self._scenario.entry_of(now_ms, self._rng),
            tier=tier,
            team=team.name,
            arrived_ms=now_ms,
            deadline_ms=now_ms + DEADLINES_MS[tier],
            prefill=prefill,
            decode=decode,
            decode_guess=max(
                1, round(decode * self._rng.lognormvariate(0, GUESS_ERROR))
            ),
            blocks=blocks,
            ideal_cost_ms=self._ideal_cost_ms(blocks, prefill, decode),
        )

    def _pick_history(self, team: _Team) -> tuple[int, ...]:
        if team.sessions and self._rng.random() >= NEW_SESSION_SHARE:
            recent = team.sessions[-RECENT_SESSIONS:]
            index = self._rng.randrange(len(recent))
            session = team.sessions.pop(index - len(recent))
            if len(session) < MAX_BLOCKS - 60:
                return session
        return team.system_blocks

    def _ideal_cost_ms(
        self, blocks: tuple[int, ...], prefill: int, decode: int
    ) -> float:
        known = sum(block in self._seen_blocks for block in blocks)
        self._seen_blocks.update(blocks)
        computed = prefill - known * BLOCK_TOKENS
        return computed * PREFILL_MS_PER_TOKEN + decode * DECODE_MS_PER_TOKEN
