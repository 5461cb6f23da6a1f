"""Define the command line of marjoramfall."""

import sys

import click

from marjoramfall.borders.admin_client import admin_group
from marjoramfall.process.daemon import run_entry
from marjoramfall.replay.command import replay_command
from marjoramfall.settings.check import check_command


@click.group()
def main() -> None:
    """Schedule requests between callers and backend servers."""


@main.command('entry')
@click.option('--config', required=True, help='Settings file of this process.')
def entry_command(config: str) -> None:
    """Serve callers as one entry; prints JSON lines only."""
    sys.exit(run_entry(config))


main.add_command(check_command, 'check')
main.add_command(admin_group, 'admin')
main.add_command(replay_command, 'replay')
