"""Show the measures of a replay."""

from collections.abc import Iterable, Sequence

import msgspec
from rich.console import Console
from rich.table import Table

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.replay.score import Score, TierScore

TIER_COLUMNS = (
    'tier',
    'offered',
    'good',
    'goodput',
    'slowest slice',
    'shed',
    'median ms',
    'p99 ms',
)


class PrefillCounts(msgspec.Struct, frozen=True):
    """Count the prompt tokens that engines computed, and those in vain."""

    spent: int
    wasted: int


class Report(msgspec.Struct, kw_only=True):
    """Hold everything that a replay reports."""

    trace: str
    score: Score
    send_lag_ms: float
    prefill: PrefillCounts | None = None


def show_report(console: Console, report: Report) -> None:
    """Print tables and the stated outcomes that do not hold."""
    score = report.score
    rows = (_tier_row(tier) for tier in score.tiers)
    console.print(_table(f'Trace {report.trace}', TIER_COLUMNS, rows))
    kinds = ((kind.value, str(count)) for kind, count in score.outcomes.items())
    console.print(_table('Outcomes', ('outcome', 'requests'), kinds))
    if score.codes:
        codes = ((code, str(count)) for code, count in score.codes.items())
        console.print(_table('Codes', ('code', 'requests'), codes))
    if report.prefill:
        prefill = report.prefill
        console.print(f'prefill tokens: {prefill.spent}, wasted: {prefill.wasted}')
    console.print(f'largest delay in sending: {report.send_lag_ms:.0f} ms')
    for violation in score.violations:
        console.print(f'does not hold: {violation}', style='red')
    if not score.violations:
        console.print('all stated outcomes hold', style='green')


def _tier_row(tier: TierScore) -> list[str]:
    slowest = tier.slowest_slice
    return [
        tier.tier,
        str(tier.offered),
        str(tier.good),
        f'{tier.goodput:.2%}',
        f'{slowest.goodput:.2%} at {slowest.start_ms // MS_PER_SECOND} s',
        str(tier.shed),
        f'{tier.median_ms:.0f}',
        f'{tier.tail_ms:.0f}',
    ]


def _table(title: str, columns: Iterable[str], rows: Iterable[Sequence[str]]) -> Table:
    table = Table(title=title, title_justify='left')
    for index, column in enumerate(columns):
        table.add_column(column, justify='right' if index else 'left')
    for row in rows:
        table.add_row(*row)
    return table
