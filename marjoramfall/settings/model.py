"""Define the settings of an entry process."""

import re
from ipaddress import IPv4Address
from typing import Annotated

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

from marjoramfall.clock import MS_PER_SECOND

DURATION = re.compile(r'(\d+)(ms|s|min)')
SIZE = re.compile(r'(\d+)(B|KiB|MiB)')
MS_BY_UNIT = {'ms': 1, 's': MS_PER_SECOND, 'min': 60 * MS_PER_SECOND}
BYTES_BY_UNIT = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
MAX_PORT = 65_535
PORT_PATTERN = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'


def parse_duration(text: object) -> int:
    """Return the milliseconds of a text such as `250ms`, `3s` or `2min`."""
    match = DURATION.fullmatch(str(text))
    if match is None or isinstance(text, bool):
        raise ValueError('expected a duration such as 250ms, 3s or 2min')
    return int(match.group(1)) * MS_BY_UNIT[match.group(2)]


def parse_size(text: object) -> int:
    """Return the bytes of a text such as `64KiB` or `2MiB`."""
    match = SIZE.fullmatch(str(text))
    if match is None:
        raise ValueError('expected a size such as 512B, 64KiB or 2MiB')
    return int(match.group(1)) * BYTES_BY_UNIT[match.group(2)]


def check_address(address: str) -> str:
    """Return the address if its IP and port are in range."""
    host, port = address.rsplit(':', 1)
    try:
        IPv4Address(host)
    except ValueError as error:
        raise ValueError('expected an IPv4 address before the port') from error
    if int(port) > MAX_PORT:
        raise ValueError(f'expected a port up to {MAX_PORT}')
    return address


DurationMs = Annotated[int, BeforeValidator(parse_duration)]
SizeBytes = Annotated[int, BeforeValidator(parse_size)]
Address = Annotated[str, Field(pattern=PORT_PATTERN), AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


class SettingsModel(BaseModel):
    """Reject unknown keys and later changes."""

    model_config = ConfigDict(extra='forbid', frozen=True, validate_default=True)


class ListenSettings(SettingsModel):
    """Set the addresses (`IP:port`) that the process listens on."""

    callers: Address
    operators: Address
    peers: Address


class PlatformSettings(SettingsModel):
    """Set where the platform's services are and how long a call may take."""

    tables: Address
    objects: Address
    vms: Address
    timeout: Annotated[DurationMs, Field(ge=10, le=10_000)] = '1s'


class OperatorSettings(SettingsModel):
    """Name an operator and the SHA-256 of its bearer token in hex."""

    name: Name
    token_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class LimitSettings(SettingsModel):
    """Bound what callers may use up."""

    max_body: Annotated[SizeBytes, Field(ge=1024)] = '2MiB'
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 2000
    max_waiting: Annotated[int, Field(ge=1, le=1_000_000)] = 20_000
    caller_write_timeout: Annotated[DurationMs, Field(ge=100)] = '30s'


class ShutdownSettings(SettingsModel):
    """Set how long a planned stop waits for the balancer to notice."""

    balancer_delay: Annotated[DurationMs, Field(ge=0, le=60_000)] = '2s'
    max_wait: Annotated[DurationMs, Field(ge=0)] = '10min'


class EntrySettings(SettingsModel):
    """Hold all settings of one entry process."""

    vm: Name
    data_centre: Name
    listen: ListenSettings
    platform: PlatformSettings
    operators: list[OperatorSettings] = []
    limits: LimitSettings = LimitSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
