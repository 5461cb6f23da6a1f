"""Run a play by hand: python -m tests.soak.plays streams --trouble restart."""

import sys
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

import click

from tests.soak.entries import ROOT, FirstStart
from tests.soak.plays.callers import Ending, Stream
from tests.soak.plays.limits import STARTED_S, BookingLimit, LimitPlay
from tests.soak.plays.logs import find_lines
from tests.soak.plays.streams import StreamPlay, StreamReport
from tests.soak.plays.system import Plan

# Requests whose log lines are printed.
MAX_TRACED = 5
OPTIONS = (
    click.option('--entries', default=4),
    click.option('--servers', default=3),
    click.option('--callers', default=16, help='Streams at the same time.'),
    click.option('--trouble', default='', help='Names with commas between them.'),
    click.option('--max-attempts', default=2),
    click.option('--rest-s', default=1.5, help='Between two restarts and the like.'),
    click.option('--seconds', default=30.0),
    click.option('--seed', default=1),
    click.option('--root', default=ROOT, type=Path, help='Checkout of the entries.'),
    click.option('--mixed-root', type=Path, help='Checkout of every second entry.'),
    click.option(
        '--first-start',
        default=FirstStart.ONCE.value,
        type=click.Choice([start.value for start in FirstStart]),
        help='Starts of entries at which `bootstrap` is true.',
    ),
    click.option('--logs', type=Path, help='Directory for the logs of the entries.'),
)


def _with_options(command: Callable) -> Callable:
    for option in reversed(OPTIONS):
        command = option(command)
    return command


def _create_plan(trouble: str, first_start: str, **options) -> Plan:
    troubles = tuple(filter(None, trouble.split(',')))
    return Plan(troubles=troubles, first_start=FirstStart(first_start), **options)


def _open_directory(logs: Path | None, stack: ExitStack) -> Path:
    if logs is None:
        return Path(stack.enter_context(tempfile.TemporaryDirectory()))
    logs.mkdir(parents=True)
    return logs


@click.group()
def main() -> None:
    """Play troubles with real entry processes."""


@main.command()
@_with_options
def streams(logs: Path | None, **options) -> None:
    """Print how streams ended; exit with 1 if one was cut or a rule broken."""
    plan = _create_plan(**options)
    with ExitStack() as stack:
        directory = _open_directory(logs, stack)
        report = StreamPlay(plan, directory).run()
        click.echo(_describe(report))
        _trace('cut', report.having_ended(Ending.CUT), directory)
        _trace('left', report.having_ended(Ending.LEFT), directory)
        _trace('answered', report.having_ended(Ending.ANSWERED), directory)
    sys.exit(1 if report.faults else 0)


@main.command()
@click.option('--rate', default=30.0, help='Bookings a second of the team.')
@click.option('--burst', default=60.0, help='Bookings at once of the team.')
@_with_options
def limits(rate: float, burst: float, logs: Path | None, **options) -> None:
    """Print what a team got; exit with 1 if that is more than the rule allows."""
    plan = _create_plan(**options)
    limit = BookingLimit(rate, burst)
    with ExitStack() as stack:
        report = LimitPlay(plan, limit, _open_directory(logs, stack)).run()
    lines = (
        f'most in 8 s: {report.most_in_window()} of {limit.most_in_window:.1f} allowed',
        f'most in 8 s from {STARTED_S} s on: {report.most_in_window(STARTED_S)}',
        f'{len(report.run_s) / report.run_s[-1]:.1f} a second, {rate} allowed',
        f'by second: {report.runs_by_second}',
        f'answers by status: {dict(report.count_by_status)}',
        f'this process was {report.longest_lag_ms:.0f} ms late at worst',
    )
    click.echo('\n'.join(lines))
    sys.exit(1 if report.most_in_window() > limit.most_in_window else 0)


def _describe(report: StreamReport) -> str:
    budget = report.budget()
    lines = (
        f'{len(report.streams)} streams, {len(report.counted)} of entries not killed',
        *(f'{count} {name}' for name, count in report.count_by_ending.items()),
        f'{len(report.arrivals)} arrivals at servers',
        f'worst 10 s: {budget.repeats} repeated of {budget.allowed:.1f} allowed',
        f'this process was {report.longest_lag_ms:.0f} ms late at worst',
        *report.faults,
    )
    return '\n'.join(lines)


def _trace(name: str, traced: list[Stream], directory: Path) -> None:
    for stream in traced[:MAX_TRACED]:
        took_ms = stream.ended_ms - stream.sent_ms
        click.echo(
            f'{name}: {stream.attempt_id} by {stream.entry_vm}, {took_ms:.0f} ms, '
            f'{stream.status}, {len(stream.event_ids)} events {stream.failure}'
        )
        for line in find_lines(directory, stream.attempt_id):
            click.echo(f'  {line}')


main()
