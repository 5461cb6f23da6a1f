"""Print responses of the operator interface and name exit statuses."""

import sys
from enum import IntEnum
from functools import cached_property
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import click
import msgspec
from google.protobuf import json_format
from google.protobuf.message import Message
from rich.console import Console
from rich.table import Table

from marjoramfall.borders.admin_calls import AdminCallError, AdminClient
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.errors import MarjoramfallError, RunState
from marjoramfall.settings.document import DocumentError

# Wide enough for a row of any table, so that piped output is not cut.
PIPE_WIDTH = 240


class ExitStatus(IntEnum):
    """Name the classes of failures for scripts."""

    INTERNAL = 1
    INVALID = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNAUTHENTICATED = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7


_STATUS_BY_HTTP = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: ExitStatus.INVALID,
        HTTPStatus.CONFLICT: ExitStatus.CONFLICT,
        HTTPStatus.NOT_FOUND: ExitStatus.NOT_FOUND,
        HTTPStatus.UNAUTHORIZED: ExitStatus.UNAUTHENTICATED,
    }
)


def exit_status_of(error: MarjoramfallError) -> ExitStatus:
    """Return the exit status for an error."""
    if not isinstance(error, AdminCallError):
        return ExitStatus.INVALID
    if error.call_status in _STATUS_BY_HTTP:
        return _STATUS_BY_HTTP[HTTPStatus(error.call_status)]
    if error.call_status != HTTPStatus.SERVICE_UNAVAILABLE:
        return ExitStatus.INTERNAL
    if error.actual_run_state is RunState.NOT_RUN:
        return ExitStatus.UNAVAILABLE
    return ExitStatus.OUTCOME_UNKNOWN


class ErrorReportingGroup(click.Group):
    """Turn errors of commands into one line each and an exit status."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command and report its failure."""
        try:
            return super().invoke(ctx)
        except DocumentError as faulty:
            for fault in faulty.faults:
                click.echo(str(fault), err=True)
            sys.exit(ExitStatus.INVALID)
        except MarjoramfallError as error:
            code = getattr(error, 'call_code', error.code)
            click.echo(f'[{code}] {error.message}', err=True)
            sys.exit(exit_status_of(error))


class AdminConsole:
    """Hold the client and the output format of one invocation."""

    def __init__(
        self, address: str | None, token: str | None, *, as_json: bool = False
    ) -> None:
        self.as_json = as_json
        self._address = address
        self._token = token

    @cached_property
    def client(self) -> AdminClient:
        """Return the client; the help of commands needs neither option."""
        host, _, port = (self._address or '').rpartition(':')
        if not host or not port.isdecimal():
            raise click.BadParameter('expected IP:port', param_hint='--address')
        if not self._token:
            raise click.BadParameter('a token is required', param_hint='--token')
        return AdminClient(f'{host}:{port}', self._token)

    def change(self, method: str, request: Message) -> admin_pb2.ChangeResponse:
        """Make a change and print its result."""
        response = self.client.call(method, request)
        self.show_change(response)
        return response

    def show_change(self, response: admin_pb2.ChangeResponse) -> None:
        """Print the result of a change."""
        if self.as_json:
            self._show_json(response)
            return
        repeated = ' (repeated change id)' if response.repeated else ''
        click.echo(f'revision {response.revision}{repeated}')
        if response.in_force_everywhere:
            click.echo('in force everywhere')
        else:
            entries = ', '.join(response.unconfirmed_entries)
            click.echo(f'not yet confirmed by: {entries}', err=True)

    def show_rows(self, response: Message, field: str) -> None:
        """Print a repeated field as a table."""
        if self.as_json:
            self._show_json(response)
        else:
            self.print_table(response, field)

    def show_one(self, message: Message) -> None:
        """Print the fields of one message, without lists of messages."""
        if self.as_json:
            self._show_json(message)
            return
        table = Table('field', 'value')
        for name, cell in _row(message).items():
            field = message.DESCRIPTOR.fields_by_name[name]
            if not (field.is_repeated and field.message_type):
                table.add_row(name, cell)
        _rich().print(table)

    def print_table(self, message: Message, field: str) -> None:
        """Print a repeated field as a table, also beside other fields."""
        columns = message.DESCRIPTOR.fields_by_name[field].message_type.fields
        names = [column.name for column in columns]
        table = Table(title=field)
        for name in names:
            table.add_column(name, overflow='fold')
        for element in getattr(message, field):
            row = _row(element)
            table.add_row(*map(row.__getitem__, names))
        _rich().print(table)

    def _show_json(self, message: Message) -> None:
        text = json_format.MessageToJson(
            message,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
        click.echo(text)


def _rich() -> Console:
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH)


def _row(message: Message) -> dict[str, str]:
    fields = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    row = {}
    for field in message.DESCRIPTOR.fields:
        cell = fields.get(field.name, '')
        if field.enum_type is not None:
            prefix = field.enum_type.values[0].name.removesuffix('UNSPECIFIED')
            cell = cell.removeprefix(prefix).lower()
        is_text = isinstance(cell, str)
        row[field.name] = cell if is_text else msgspec.json.encode(cell).decode()
    return row
