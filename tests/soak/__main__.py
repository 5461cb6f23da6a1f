"""Run the soak test by hand: python -m tests.soak --seeds 50 --seconds 8."""

import random
import sys
from pathlib import Path

import click

from tests.soak.run import run_soak


@click.command()
@click.option('--seed', type=int, help='First seed; random by default.')
@click.option('--seeds', default=1, help='Number of seeds to run.')
@click.option('--seconds', default=8.0, help='Seconds of faults for each seed.')
@click.option('--logs', default='', help='Directory for the logs of the entries.')
def main(seed: int | None, seeds: int, seconds: float, logs: str) -> None:
    """Print a line for each seed; exit with 1 if any seed failed."""
    first = random.randrange(1_000_000) if seed is None else seed
    failed_seeds = 0
    for current_seed in range(first, first + seeds):
        directory = Path(logs) / str(current_seed) if logs else None
        report = run_soak(current_seed, seconds, directory)
        has_failed = bool(report.violations) or not report.served_after_faults
        failed_seeds += has_failed
        click.echo(
            f'seed {current_seed}: {len(report.responses)} sent, '
            f'{report.served} served, '
            f'{report.served_after_faults} after the faults, '
            f'{len(report.injected_faults)} faults'
            + ''.join(f'\n  VIOLATION: {violation}' for violation in report.violations)
        )
    sys.exit(1 if failed_seeds else 0)


main()
