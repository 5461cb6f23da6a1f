"""Write the trace of the demo: a minute of both users' kinds of requests."""

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from marjoramfall.model import ServiceKind
from marjoramfall.replay.outcome import OutcomeKind
from marjoramfall.replay.trace import (
    FORMAT,
    KeySource,
    StatedOutcomes,
    TraceHeader,
    TraceRequest,
)

STREAMED_IN_TEN = 7
SEED = 20261204
DURATION_MS = 60_000
BURST_MS = range(20_000, 28_000)
BURST_FACTOR = 3
DEFAULT_PATH = 'traces/demo.jsonl'
CHAT = '/v1/chat/completions'
TEXT = '/v1/completions'
TIERS = ('gold', 'silver', 'bronze')
DEADLINES_MS = {'gold': 4_000, 'silver': 8_000, 'bronze': 15_000}
TIER_BY_TEAM = {
    'kvali-classes': 'gold',
    'kvali-planning': 'silver',
    'kvali-archive': 'bronze',
    'tidewater-billing': 'gold',
    'tidewater-support': 'silver',
    'tidewater-disputes': 'bronze',
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Describe one kind of request; tokens are the ranges of their counts."""

    service: str
    path: str
    teams: tuple[str, ...]
    per_second: float
    prompt: tuple[int, int] = (1, 1)
    output: tuple[int, int] = (0, 0)
    prefixes: int = 0
    prefix_tokens: int = 0
    key_source: KeySource = KeySource.NONE

    @property
    def is_model(self) -> bool:
        """Return whether the request goes to a model engine."""
        return self.path in {CHAT, TEXT}


KINDS = (
    # Plan reviews: long prompts that share the text of their plan.
    Kind(
        service='assistant',
        path=CHAT,
        teams=('kvali-classes', 'kvali-planning'),
        per_second=2,
        prompt=(700, 1500),
        output=(10, 40),
        prefixes=6,
        prefix_tokens=512,
    ),
    # Safety briefings: short and urgent.
    Kind(
        service='assistant',
        path=TEXT,
        teams=('kvali-classes',),
        per_second=2,
        prompt=(100, 250),
        output=(8, 20),
        prefixes=2,
        prefix_tokens=64,
    ),
    # Logbook summaries: by far the longest, and written once.
    Kind(
        service='logbook',
        path=TEXT,
        teams=('kvali-archive',),
        per_second=0.8,
        prompt=(1000, 3000),
        output=(20, 60),
        key_source=KeySource.ENTRY_ISSUED,
    ),
    Kind(
        service='drafting',
        path=CHAT,
        teams=('tidewater-billing', 'tidewater-support'),
        per_second=2.5,
        prompt=(200, 500),
        output=(10, 30),
        prefixes=3,
        prefix_tokens=128,
        key_source=KeySource.ENTRY_ISSUED,
    ),
    Kind(
        service='explanations',
        path=CHAT,
        teams=('tidewater-support', 'tidewater-billing'),
        per_second=15,
        prompt=(80, 200),
        output=(4, 10),
        prefixes=2,
        prefix_tokens=64,
    ),
    Kind(
        service='disputes',
        path=TEXT,
        teams=('tidewater-disputes', 'tidewater-support'),
        per_second=15,
        prompt=(100, 300),
        output=(4, 10),
        prefixes=4,
        prefix_tokens=64,
    ),
    Kind(
        service='bookings',
        path='/services/bookings/sessions',
        teams=('kvali-classes',),
        per_second=2,
        key_source=KeySource.ENTRY_ISSUED,
    ),
    Kind(
        service='deposits',
        path='/services/deposits/post',
        teams=('kvali-classes',),
        per_second=1,
        key_source=KeySource.CALLER_MADE,
    ),
    Kind(
        service='schedules',
        path='/services/schedules/week',
        teams=('kvali-planning', 'kvali-archive'),
        per_second=5,
    ),
    Kind(
        service='payments',
        path='/services/payments/post',
        teams=('tidewater-billing',),
        per_second=2,
        key_source=KeySource.CALLER_MADE,
    ),
    Kind(
        service='balances',
        path='/services/balances/account',
        teams=('tidewater-support', 'tidewater-billing'),
        per_second=6,
    ),
)

OUTCOMES = StatedOutcomes(
    min_goodput={'gold': 0.99, 'silver': 0.97, 'bronze': 0.9},
    min_slice_goodput={'gold': 0.95},
    max_outcomes={OutcomeKind.WRONG: 0, OutcomeKind.BROKEN: 0},
    max_shed={'gold': 0},
)


def make_requests(generator: random.Random) -> list[TraceRequest]:
    """Return the requests of all kinds, as Poisson arrivals, in order."""
    requests = [
        make_request(generator, kind, int(at_ms))
        for kind in KINDS
        for at_ms in arrivals(generator, kind)
    ]
    return sorted(requests, key=lambda request: request.at_ms)


def arrivals(generator: random.Random, kind: Kind) -> list[float]:
    """Return arrival times in milliseconds; the model kinds have a burst."""
    found = []
    at_ms = 0
    while True:
        rate = kind.per_second
        if kind.is_model and int(at_ms) in BURST_MS:
            rate *= BURST_FACTOR
        at_ms += generator.expovariate(rate) * 1000
        if at_ms >= DURATION_MS:
            return found
        found.append(at_ms)


def make_request(generator: random.Random, kind: Kind, at_ms: int) -> TraceRequest:
    """Return one request of a kind."""
    team = generator.choice(kind.teams)
    tier = TIER_BY_TEAM[team]
    prompt_tokens = generator.randint(*kind.prompt)
    shares = kind.prefixes and prompt_tokens > kind.prefix_tokens
    prefix = f'{kind.service}-{generator.randrange(kind.prefixes)}' if shares else ''
    return TraceRequest(
        at_ms=at_ms,
        team=team,
        tier=tier,
        kind=ServiceKind.MODEL if kind.is_model else ServiceKind.PLAIN,
        service=kind.service,
        path=kind.path,
        deadline_ms=DEADLINES_MS[tier],
        prompt_tokens=prompt_tokens,
        prefix=prefix,
        prefix_tokens=kind.prefix_tokens if shares else 0,
        output_tokens=generator.randint(*kind.output),
        stream=generator.randrange(10) < STREAMED_IN_TEN,
        idempotency=kind.key_source,
    )


def main(path: str = DEFAULT_PATH) -> None:
    """Write the trace."""
    header = TraceHeader(
        name='demo', format=FORMAT, seed=SEED, tiers=list(TIERS), outcomes=OUTCOMES
    )
    requests = make_requests(random.Random(SEED))
    lines = [msgspec.json.encode(record) for record in (header, *requests)]
    Path(path).write_bytes(b'\n'.join(lines) + b'\n')


if __name__ == '__main__':
    main(*sys.argv[1:])
