"""Validate the fields of an entity before it is written to the log."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

from marjoramfall.model import (
    BackendServer,
    Move,
    Service,
    Team,
    Tier,
    Version,
)
from marjoramfall.process.config.draft import Entity
from marjoramfall.process.config.errors import ConfigChangeError

MAX_RANK = 100
MAX_PORT = 65_535
MAX_DEADLINE_MS = 86_400_000
MAX_ATTEMPTS = 10
MAX_WEIGHT = 1000
MAX_CONCURRENCY = 100_000
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_SHA256 = re.compile('[0-9a-f]{64}')
_ADDRESS = re.compile(r'[A-Za-z0-9.-]{1,253}:(\d{1,5})')


@dataclass(frozen=True, slots=True)
class FieldRule:
    """Define the valid values of a field; `expected` describes them."""

    name: str
    is_valid: Callable[..., bool]
    expected: str


def _is_name(text: str) -> bool:
    return _NAME.fullmatch(text) is not None


def _is_sha256(text: str) -> bool:
    return _SHA256.fullmatch(text) is not None


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match.group(1)) <= MAX_PORT


def _name_rule(field: str) -> FieldRule:
    return FieldRule(field, _is_name, '1 to 63 letters, digits, ".", "_" or "-"')


def _range_rule(field: str, low: float, high: float) -> FieldRule:
    return FieldRule(
        field, lambda number: low <= number <= high, f'a number from {low} to {high}'
    )


_RULES_BY_TYPE = MappingProxyType(
    {
        Tier: (
            _name_rule('tier_id'),
            _range_rule('rank', 0, MAX_RANK),
            _range_rule('deadline_ms', 1, MAX_DEADLINE_MS),
        ),
        Team: (
            _name_rule('team_id'),
            FieldRule('key_sha256', _is_sha256, '64 lower-case hexadecimal digits'),
            _range_rule('weight', 0.001, MAX_WEIGHT),
        ),
        Service: (
            _name_rule('service_id'),
            _name_rule('version_id'),
            _range_rule('max_attempts', 1, MAX_ATTEMPTS),
        ),
        Version: (_name_rule('version_id'),),
        BackendServer: (
            _name_rule('server_id'),
            FieldRule('address', _is_address, 'host:port with a port from 1 to 65535'),
            _name_rule('data_centre'),
            _range_rule('max_concurrency', 1, MAX_CONCURRENCY),
        ),
        Move: (_name_rule('move_id'), _range_rule('share', 0, 1)),
    }
)


def check_fields(entity: Entity) -> None:
    """Raise `ConfigChangeError` for the first invalid field."""
    for rule in _RULES_BY_TYPE[type(entity)]:
        actual = getattr(entity, rule.name)
        if not rule.is_valid(actual):
            raise ConfigChangeError(
                f'{rule.name} is {actual!r}; expected {rule.expected}'
            )
