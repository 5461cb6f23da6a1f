"""Run the soak by hand: python -m tests.soak --seeds 50 --seconds 8."""

import random
import sys
from pathlib import Path

import click

from tests.soak.run import run_soak


@click.command()
@click.option('--seed', type=int, help='First seed; random by default.')
@click.option('--seeds', default=1, help='How many seeds to play.')
@click.option('--seconds', default=8.0, help='Seconds of faults for each seed.')
@click.option('--logs', default='', help='Folder for the logs of the entries.')
def main(seed: int | None, seeds: int, seconds: float, logs: str) -> None:
    """Print a line for each seed; exit with 1 if a promise was broken."""
    first = random.randrange(1_000_000) if seed is None else seed
    broken = 0
    for current in range(first, first + seeds):
        folder = Path(logs) / str(current) if logs else None
        report = run_soak(current, seconds, folder)
        is_broken = bool(report.faults) or not report.served_after
        broken += is_broken
        click.echo(
            f'seed {current}: {len(report.answers)} asked, {report.served} served, '
            f'{report.served_after} after the faults, {len(report.played)} faults'
            + ''.join(f'\n  BROKEN: {fault}' for fault in report.faults)
        )
    sys.exit(1 if broken else 0)


main()
