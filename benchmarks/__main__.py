"""Run benchmarks by name, or all of them."""

import importlib
import sys

import click

from benchmarks.table_writer import TableWriter

# Each module has a function `run(table_writer)`.
MODULES_BY_NAME = {
    'scheduling': 'benchmarks.scheduling',
    'entry_path': 'benchmarks.entry_path',
    'decision_cost': 'benchmarks.decision_cost',
    'moves': 'benchmarks.moves',
    'membership': 'benchmarks.membership',
    'config_spread': 'benchmarks.config_spread',
    'store_writes': 'benchmarks.store_writes',
    'capacity': 'benchmarks.capacity',
}


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(sorted(MODULES_BY_NAME)))
def main(names: tuple[str, ...]) -> None:
    """Run the named benchmarks; exit with 1 if a target was missed."""
    table_writer = TableWriter()
    for name in names or MODULES_BY_NAME:
        importlib.import_module(MODULES_BY_NAME[name]).run(table_writer)
    sys.exit(bool(table_writer.missed))


if __name__ == '__main__':
    main()
