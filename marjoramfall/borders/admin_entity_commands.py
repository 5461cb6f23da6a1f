"""Put, list and delete entities from the command line."""

from enum import StrEnum

import click

from marjoramfall.borders.admin_console import AdminConsole
from marjoramfall.borders.admin_convert import fill_message
from marjoramfall.borders.admin_file import hash_key
from marjoramfall.borders.admin_options import (
    DurationType,
    change_options,
    make_options,
    pass_console,
    with_params,
)
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.model import (
    BackendServer,
    Delivery,
    Service,
    ServiceKind,
    Team,
    Tier,
    Version,
    VersionState,
)
from marjoramfall.process.config.draft import Entity

PAGE_SIZE = 1000


class EntityGroup(click.Group):
    """Group the commands list, get and delete of one kind of entity."""

    def __init__(self, group_name: str, entity_name: str, field: str) -> None:
        super().__init__(group_name, help=f'Manage {group_name.replace("-", " ")}.')
        self._entity_name = entity_name
        self._field = field
        id_argument = click.Argument(['entity_id'], metavar='ID')
        self.add_command(
            click.Command('list', callback=self._list, help='List all entries.')
        )
        self.add_command(
            click.Command(
                'get',
                callback=self._get,
                params=[id_argument],
                help='Show one entry.',
            )
        )
        self.add_command(
            change_options(
                click.Command(
                    'delete',
                    callback=self._delete,
                    params=[id_argument],
                    help='Delete an entry that nothing refers to.',
                )
            )
        )

    def _list(self) -> None:
        console = _current_console()
        response = list_all(console, self._entity_name, self._field)
        console.show_rows(response, self._field)

    def _get(self, entity_id: str) -> None:
        console = _current_console()
        request = admin_pb2.GetRequest(id=entity_id)
        console.show_one(console.client.call(f'Get{self._entity_name}', request))

    def _delete(self, entity_id: str, change_id: str, base_revision: int) -> None:
        options = make_options(change_id, base_revision)
        request = admin_pb2.DeleteRequest(id=entity_id, options=options)
        _current_console().change(f'Delete{self._entity_name}', request)


def list_all(
    console: AdminConsole, entity_name: str, field: str
) -> admin_pb2.ListTiersResponse:
    """Return a list response that joins all pages."""
    joined = getattr(admin_pb2, f'List{entity_name}sResponse')()
    after = ''
    while True:
        request = admin_pb2.ListRequest(after=after, limit=PAGE_SIZE)
        page = console.client.call(f'List{entity_name}s', request)
        joined.MergeFrom(page)
        listed = getattr(page, field)
        if len(listed) < PAGE_SIZE:
            return joined
        id_field = listed[-1].DESCRIPTOR.fields[0].name
        after = getattr(listed[-1], id_field)


def put_request(entity: Entity, options: admin_pb2.ChangeOptions) -> tuple:
    """Return the method and the request that put an entity."""
    name = type(entity).__name__
    request = getattr(admin_pb2, f'Put{name}Request')(options=options)
    field = request.DESCRIPTOR.fields[0].name
    fill_message(getattr(request, field), entity)
    return f'Put{name}', request


def _values_of(names: type[StrEnum]) -> click.Choice:
    return click.Choice([name.value for name in names])


def _current_console() -> AdminConsole:
    return click.get_current_context().find_object(AdminConsole)


def _put(
    console: AdminConsole, entity: Entity, change_id: str, base_revision: int
) -> None:
    options = make_options(change_id, base_revision)
    console.change(*put_request(entity, options))


tiers_group = EntityGroup('tiers', 'Tier', 'tiers')
teams_group = EntityGroup('teams', 'Team', 'teams')
services_group = EntityGroup('services', 'Service', 'services')
versions_group = EntityGroup('versions', 'Version', 'versions')
backend_servers_group = EntityGroup(
    'backend-servers', 'BackendServer', 'backend_servers'
)


@tiers_group.command('put')
@with_params(
    click.argument('tier_id', metavar='ID'),
    click.option('--rank', type=click.IntRange(min=0), required=True),
    click.option('--deadline', type=DurationType(), required=True),
)
@change_options
@pass_console
def put_tier(
    console: AdminConsole,
    tier_id: str,
    rank: int,
    deadline: int,
    change_id: str,
    base_revision: int,
) -> None:
    """Add or replace a tier; rank 0 is the highest."""
    _put(console, Tier(tier_id, rank, deadline), change_id, base_revision)


@teams_group.command('put')
@with_params(
    click.argument('team_id', metavar='ID'),
    click.option('--tier', 'tier_id', required=True),
    click.option('--key', help='Bearer key; only its hash is sent.'),
    click.option('--key-sha256', help='Hash of the bearer key in hexadecimal digits.'),
    click.option('--weight', type=float, default=1),
)
@change_options
@pass_console
def put_team(
    console: AdminConsole,
    team_id: str,
    tier_id: str,
    key: str | None,
    key_sha256: str | None,
    weight: float,
    change_id: str,
    base_revision: int,
) -> None:
    """Add or replace a team."""
    if (key is None) == (key_sha256 is None):
        raise click.UsageError('give either --key or --key-sha256')
    digest = key_sha256 or hash_key(key or '')
    _put(console, Team(team_id, tier_id, digest, weight), change_id, base_revision)


@services_group.command('put')
@with_params(
    click.argument('service_id', metavar='ID'),
    click.option('--kind', type=_values_of(ServiceKind), required=True),
    click.option('--delivery', type=_values_of(Delivery), required=True),
    click.option('--version', 'version_id', required=True),
    click.option('--max-attempts', type=click.IntRange(min=1), default=2),
)
@change_options
@pass_console
def put_service(
    console: AdminConsole, change_id: str, base_revision: int, **fields: str
) -> None:
    """Add a service with its first version, or replace its properties."""
    _put(console, Service(**fields), change_id, base_revision)


@services_group.command('switch')
@click.argument('service_id', metavar='ID')
@click.option('--to', 'version_id', required=True)
@change_options
@pass_console
def switch_version(
    console: AdminConsole,
    service_id: str,
    version_id: str,
    change_id: str,
    base_revision: int,
) -> None:
    """Make another version serve at once, without a move."""
    request = admin_pb2.SwitchVersionRequest(
        service_id=service_id,
        version_id=version_id,
        options=make_options(change_id, base_revision),
    )
    console.change('SwitchVersion', request)


@versions_group.command('put')
@with_params(
    click.argument('version_id', metavar='ID'),
    click.option('--service', 'service_id', required=True),
    click.option('--state', type=_values_of(VersionState), default='candidate'),
)
@change_options
@pass_console
def put_version(
    console: AdminConsole, change_id: str, base_revision: int, **fields: str
) -> None:
    """Add or replace a version of a service."""
    _put(console, Version(**fields), change_id, base_revision)


@backend_servers_group.command('put')
@with_params(
    click.argument('server_id', metavar='ID'),
    click.option('--address', required=True, help='host:port'),
    click.option('--data-centre', required=True),
    click.option('--version', 'version_id', required=True),
    click.option('--checks-fencing', is_flag=True),
    click.option('--max-concurrency', type=click.IntRange(min=1), default=16),
)
@change_options
@pass_console
def put_backend_server(
    console: AdminConsole, change_id: str, base_revision: int, **fields: str
) -> None:
    """Add or replace a backend server."""
    _put(console, BackendServer(**fields), change_id, base_revision)
