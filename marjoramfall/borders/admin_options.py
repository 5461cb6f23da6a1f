"""Share options and parameter types among the operator commands."""

import uuid
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import click

from marjoramfall.borders.admin_console import AdminConsole
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.settings.model import parse_duration

Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]
pass_console = click.make_pass_decorator(AdminConsole)


class DurationType(click.ParamType):
    """Take a duration such as `250ms`, `3s` or `2min` as milliseconds."""

    name = 'duration'

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> int:
        """Return the milliseconds of the text."""
        try:
            return value if isinstance(value, int) else parse_duration(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def with_params(*decorators: Decorator) -> Decorator:
    """Add options and arguments to a command in the order given."""
    return partial(_decorate, decorators)


def _decorate(decorators: Sequence[Decorator], command: Any) -> Any:
    for decorator in reversed(decorators):
        command = decorator(command)
    return command


change_options = with_params(
    click.option(
        '--change-id',
        default=lambda: uuid.uuid4().hex,
        help='Repeat a change safely by repeating its id; random by default.',
    ),
    click.option(
        '--base-revision',
        type=click.IntRange(min=0),
        default=0,
        help='Fail unless this is the current revision; 0 accepts any.',
    ),
)


def make_options(
    change_id: str, base_revision: int, *, no_wait: bool = False
) -> admin_pb2.ChangeOptions:
    """Return the options that accompany a change."""
    return admin_pb2.ChangeOptions(
        change_id=change_id, base_revision=base_revision, no_wait=no_wait
    )
