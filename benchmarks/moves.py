"""Measure moves of traffic to twenty kinds of bad and a hundred good versions."""

import statistics
from collections.abc import Callable
from functools import partial

from rich.console import Console
from rich.table import Table

from benchmarks.move_model import (
    GOOD,
    ROUTES,
    Behaviour,
    Circumstances,
    MoveModel,
    MoveResult,
    Profile,
    Scenario,
)
from benchmarks.table_writer import TableWriter
from marjoramfall.model import MoveState

SEEDS = (1, 2, 3)
BAD_DURATION_MS = 300_000
BAD_REQUESTS_PER_S = 20
GOOD_COUNT = 100
GOOD_RATES = (0.6, 1, 2, 5, 10, 20)
GOOD_DURATION_MS = 600_000

# The users' bound for a version before the evidence suffices.
MAX_BAD_SHARE = 0.05


def _always(behaviour: Behaviour, circumstances: Circumstances) -> Behaviour:
    return behaviour


def _later(
    behaviour: Behaviour, circumstances: Circumstances, *, start_ms: float
) -> Behaviour:
    return behaviour if circumstances.elapsed_ms >= start_ms else GOOD


def _under_load(behaviour: Behaviour, circumstances: Circumstances) -> Behaviour:
    return behaviour if circumstances.high_load else GOOD


def _on_route(
    behaviour: Behaviour, circumstances: Circumstances, *, route: str
) -> Behaviour:
    return behaviour if circumstances.route == route else GOOD


def _profile(when: Callable[..., Behaviour], **ratios: float) -> Profile:
    return partial(when, Behaviour(**ratios))


BAD_PROFILES: dict[str, Profile] = {
    'fails always': _profile(_always, failure_rate=1),
    'fails 50%': _profile(_always, failure_rate=0.5),
    'fails 20%': _profile(_always, failure_rate=0.2),
    'fails 10%': _profile(_always, failure_rate=0.1),
    'fails 5%': _profile(_always, failure_rate=0.05),
    'fails always after 60 s': partial(
        _later, Behaviour(failure_rate=1), start_ms=60_000
    ),
    'fails 30% after 120 s': partial(
        _later, Behaviour(failure_rate=0.3), start_ms=120_000
    ),
    'fails always under load': _profile(_under_load, failure_rate=1),
    'fails 30% under load': _profile(_under_load, failure_rate=0.3),
    'fails always on small route': partial(
        _on_route, Behaviour(failure_rate=1), route=ROUTES[1]
    ),
    'fails 30% on large route': partial(
        _on_route, Behaviour(failure_rate=0.3), route=ROUTES[0]
    ),
    'first token x3': _profile(_always, first_token_ratio=3),
    'first token x2': _profile(_always, first_token_ratio=2),
    'first token x4 under load': _profile(_under_load, first_token_ratio=4),
    'first token x3 on small route': partial(
        _on_route, Behaviour(first_token_ratio=3), route=ROUTES[1]
    ),
    'output x3': _profile(_always, output_ratio=3),
    'output x2': _profile(_always, output_ratio=2),
    'output x3 after 120 s': partial(
        _later, Behaviour(output_ratio=3), start_ms=120_000
    ),
    'output x3 under load': _profile(_under_load, output_ratio=3),
    'mixture after 60 s': partial(
        _later,
        Behaviour(failure_rate=0.08, first_token_ratio=2, output_ratio=2),
        start_ms=60_000,
    ),
}


def good_scenario(index: int) -> Scenario:
    """Return one of the good versions, up to 20% slower than the old one.

    Every fifth serves a plain service, and in every fourth both versions slow
    down threefold during the move.
    """
    ratio = 1 + 0.1 * (index % 3)
    behaviour = Behaviour(first_token_ratio=ratio, output_ratio=ratio)
    return Scenario(
        name=f'good {index}',
        seed=1000 + index,
        profile=partial(_always, behaviour),
        requests_per_s=GOOD_RATES[index % len(GOOD_RATES)],
        duration_ms=GOOD_DURATION_MS,
        plain=index % 5 == 0,
        slowdown_at_ms=100_000 if index % 4 == 0 else float('inf'),
    )


def _run_bad(name: str, seed: int) -> MoveResult:
    scenario = Scenario(
        name=name,
        seed=seed,
        profile=BAD_PROFILES[name],
        requests_per_s=BAD_REQUESTS_PER_S,
        duration_ms=BAD_DURATION_MS,
    )
    result = MoveModel(scenario).run()
    result.kind = name
    return result


def _bad_row(name: str) -> tuple[list[MoveResult], list[str]]:
    results = [_run_bad(name, seed) for seed in SEEDS]
    taken_back = sum(item.state == MoveState.TAKEN_BACK for item in results)
    seconds = [item.bad_to_none_ms / 1000 for item in results]
    return results, [
        name,
        f'{taken_back}/{len(SEEDS)}',
        f'{max(item.bad_share for item in results):.1%}',
        str(max(item.bad_requests for item in results)),
        f'{max(seconds):.1f}',
        f'{statistics.mean(seconds):.1f}',
    ]


def run_bad(table_writer: TableWriter) -> None:
    """Print what reached each kind of bad version, worst of all seeds."""
    table = Table(title=f'bad versions, {BAD_REQUESTS_PER_S} requests/s, 300 s')
    for title in ('kind', 'taken back', 'share', 'requests', 's to none', 'mean s'):
        table.add_column(title)
    worst = []
    for name in BAD_PROFILES:
        results, row = _bad_row(name)
        worst += results
        table.add_row(*row)
    Console().print(table)
    missed = sum(item.state != MoveState.TAKEN_BACK for item in worst)
    table_writer.at_most('bad versions not taken back', missed, 0)
    late = sum(item.grants_after_withdrawal for item in worst)
    table_writer.at_most('grants after withdrawal', late, 0)
    for kind in BAD_PROFILES:
        share = max(item.bad_share for item in worst if item.kind == kind)
        table_writer.at_most(f'share of a version that {kind}', share, MAX_BAD_SHARE)


def run_good(table_writer: TableWriter) -> None:
    """Print how many good versions were moved in time."""
    results = [MoveModel(good_scenario(index)).run() for index in range(GOOD_COUNT)]
    table = Table(title=f'{GOOD_COUNT} good versions, 600 s')
    for title in ('requests/s', 'moved', 'withdrawn', 'no evidence', 'mean s'):
        table.add_column(title)
    for offset, rate in enumerate(GOOD_RATES):
        group = results[offset :: len(GOOD_RATES)]
        moved = sum(item.state == MoveState.COMPLETED for item in group)
        table.add_row(
            str(rate),
            f'{moved}/{len(group)}',
            str(sum(item.withdrawn for item in group)),
            str(len(group) - moved - sum(item.withdrawn for item in group)),
            f'{statistics.mean(item.ended_ms for item in group) / 1000:.0f}',
        )
    Console().print(table)
    late = sum(item.state != MoveState.COMPLETED for item in results)
    table_writer.at_most('good versions not moved', late, 0)


def run(table_writer: TableWriter) -> None:
    """Measure bad and good versions against the targets."""
    run_bad(table_writer)
    run_good(table_writer)
