"""Check a settings file from the command line."""

import sys

import click

from marjoramfall.settings.document import DocumentError
from marjoramfall.settings.loader import load_settings

EXIT_INVALID = 2


@click.command('check')
@click.argument('file', type=click.Path())
def check_command(file: str) -> None:
    """Check a settings FILE.

    Exits with 0 if the file is valid, else with 2 after listing every fault.
    """
    try:
        load_settings(file)
    except DocumentError as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        sys.exit(EXIT_INVALID)
    click.echo(f'{file}: valid')
