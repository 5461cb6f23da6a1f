"""Start, follow and cancel moves from the command line."""

import click

from marjoramfall.borders.admin_console import AdminConsole
from marjoramfall.borders.admin_entity_commands import list_all
from marjoramfall.borders.admin_options import (
    DurationType,
    change_options,
    make_options,
    pass_console,
    with_params,
)
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2

SHARE = click.FloatRange(0, 1)


@click.group('move')
def move_group() -> None:
    """Move traffic of services to new versions."""


@move_group.command('start')
@with_params(
    click.option('--id', 'move_id', required=True),
    click.option('--service', 'service_id', required=True),
    click.option('--to', 'new_version_id', required=True, help='The new version.'),
    click.option(
        '--within',
        'within_ms',
        type=DurationType(),
        required=True,
        help='Time until the move must have ended, such as 50s.',
    ),
    click.option('--max-error-rate', type=SHARE),
    click.option('--max-latency-ratio', type=click.FloatRange(min=1)),
    click.option('--max-initial-share', type=SHARE),
)
@change_options
@pass_console
def start_move(
    console: AdminConsole,
    max_error_rate: float | None,
    max_latency_ratio: float | None,
    max_initial_share: float | None,
    change_id: str,
    base_revision: int,
    **fields: str,
) -> None:
    """Start a move; it is completed or taken back within the given time."""
    guard = admin_pb2.MoveGuard(
        max_error_rate=max_error_rate,
        max_latency_ratio=max_latency_ratio,
        max_initial_share=max_initial_share,
    )
    request = admin_pb2.StartMoveRequest(
        guard=guard, options=make_options(change_id, base_revision), **fields
    )
    console.change('StartMove', request)


@move_group.command('list')
@pass_console
def list_moves(console: AdminConsole) -> None:
    """List running moves and the last finished ones of each service."""
    console.show_rows(list_all(console, 'Move', 'moves'), 'moves')


@move_group.command('get')
@click.argument('move_id', metavar='ID')
@pass_console
def get_move(console: AdminConsole, move_id: str) -> None:
    """Show a move and, once it has ended, why."""
    request = admin_pb2.GetRequest(id=move_id)
    console.show_one(console.client.call('GetMove', request))


@move_group.command('cancel')
@click.argument('move_id', metavar='ID')
@change_options
@pass_console
def cancel_move(
    console: AdminConsole, move_id: str, change_id: str, base_revision: int
) -> None:
    """Take a running move back; its version may be tried again."""
    request = admin_pb2.CancelMoveRequest(
        move_id=move_id, options=make_options(change_id, base_revision)
    )
    console.change('CancelMove', request)
