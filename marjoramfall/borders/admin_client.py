"""Offer the operator interface on the command line."""

import click

from marjoramfall.borders.admin_apply import apply_file
from marjoramfall.borders.admin_console import AdminConsole, ErrorReportingGroup
from marjoramfall.borders.admin_entity_commands import (
    backend_servers_group,
    services_group,
    teams_group,
    tiers_group,
    versions_group,
)
from marjoramfall.borders.admin_file import read_entity_file
from marjoramfall.borders.admin_move_commands import move_group
from marjoramfall.borders.admin_options import pass_console
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.clock import RuntimeClock
from marjoramfall.process.config.draft import entity_id_of, kind_of

CONFIRM_TRIES = 30
CONFIRM_PAUSE_MS = 100


@click.group('admin', cls=ErrorReportingGroup)
@click.option(
    '--address',
    envvar='MARJORAMFALL_ADMIN_ADDRESS',
    help="Operators' listener of an entry, IP:port.",
)
@click.option(
    '--token',
    envvar='MARJORAMFALL_ADMIN_TOKEN',
    help='Bearer token of the operator.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.pass_context
def admin_group(
    context: click.Context, address: str | None, token: str | None, as_json: bool
) -> None:
    """Change and inspect the configuration of all entries.

    Exits with 0 after success, 1 after an internal error, 2 for an invalid
    call or file, 3 for a conflict, 4 if something is not found, 5 without a
    valid token, 6 if nothing was done because a service is unavailable, and
    7 if it is unknown whether the change was made.
    """
    context.obj = AdminConsole(address, token, as_json=as_json)


admin_group.add_command(tiers_group)
admin_group.add_command(teams_group)
admin_group.add_command(services_group)
admin_group.add_command(versions_group)
admin_group.add_command(backend_servers_group)
admin_group.add_command(move_group)


@admin_group.command('audit')
@click.option('--after', 'after_revision', type=click.IntRange(min=0), default=0)
@click.option('--limit', type=click.IntRange(min=1, max=1000), default=100)
@pass_console
def audit_command(console: AdminConsole, after_revision: int, limit: int) -> None:
    """List who changed what, when, from what and to what."""
    request = admin_pb2.ListAuditRecordsRequest(
        after_revision=after_revision, limit=limit
    )
    console.show_rows(console.client.call('ListAuditRecords', request), 'records')


@admin_group.command('status')
@pass_console
def status_command(console: AdminConsole) -> None:
    """Show the entry's revision, readiness, members and dispatchers."""
    status = console.client.call('GetStatus', admin_pb2.GetStatusRequest())
    console.show_one(status)
    if not console.as_json:
        console.print_table(status, 'members')
        console.print_table(status, 'dispatchers')


@admin_group.command('apply')
@click.argument('file', type=click.Path())
@pass_console
def apply_command(console: AdminConsole, file: str) -> None:
    """Put the entities of a YAML FILE that differ from those in force."""
    wanted = read_entity_file(file)
    changes = 0
    for entity, response in apply_file(console, wanted):
        changes += 1
        click.echo(
            f'revision {response.revision}: {kind_of(entity)} {entity_id_of(entity)}',
            err=console.as_json,
        )
    _await_in_force(console)
    click.echo(f'{changes} changes', err=console.as_json)


def _await_in_force(console: AdminConsole) -> None:
    """Wait up to 3 s until the last revision is in force everywhere."""
    clock = RuntimeClock()
    for _ in range(CONFIRM_TRIES):
        status = console.client.call('GetStatus', admin_pb2.GetStatusRequest())
        if status.in_force_everywhere:
            break
        clock.sleep_ms(CONFIRM_PAUSE_MS)
    unconfirmed = [member.entry_id for member in status.members if not member.confirmed]
    console.show_change(
        admin_pb2.ChangeResponse(
            revision=status.revision,
            in_force_everywhere=status.in_force_everywhere,
            unconfirmed_entries=unconfirmed,
        )
    )
