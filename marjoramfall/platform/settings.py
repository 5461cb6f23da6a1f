"""Load the settings file that the platform writes for each entry process."""

import os
import tomllib
from dataclasses import dataclass

import msgspec

from marjoramfall.gateway.entry_settings import EntryBounds, GatewaySettings

SETTINGS_VARIABLE = 'MARJORAMFALL_NODE_FILE'


INTERNAL_PORTS = 'internalPorts'


class _Listen(msgspec.Struct, rename='camel'):
    front: str
    ready: str
    metrics: str = ''


class _Store(msgspec.Struct, rename='camel'):
    address: str


class _Bounds(msgspec.Struct):
    grace_s: float = msgspec.field(name='graceS', default=8)
    retry_ratio: float = msgspec.field(name='retryBudgetRatio', default=0.2)
    retry_window_s: float = msgspec.field(name='budgetWindowS', default=10)
    retry_slack: float = msgspec.field(name='budgetSlack', default=0)
    quota_over: float = msgspec.field(name='quotaOver', default=0)
    quota_slack: float = msgspec.field(name='quotaSlack', default=0)
    expose_share: float = msgspec.field(name='exposeShare', default=0.1)
    expose_slack: float = msgspec.field(name='exposeSlack', default=50)
    cold_over: float = msgspec.field(name='coldOver', default=1)
    cold_slack: float = msgspec.field(name='coldSlack', default=0)


class _Limits(msgspec.Struct):
    # 0 for no limit.
    memory_mb: float = msgspec.field(name='memoryMb', default=0)


class _Settings(msgspec.Struct):
    vm: str = msgspec.field(name='nodeName')
    ip: str = msgspec.field(name='ip')
    # The users' page says zone for what this project calls a data centre.
    data_centre: str = msgspec.field(name='zone')
    internal_ports: tuple[int, int] = msgspec.field(name=INTERNAL_PORTS)
    listen: _Listen = msgspec.field(name='listen')
    store: _Store = msgspec.field(name='platform')
    # True only at the first start of the whole system.
    is_first_start: bool = msgspec.field(name='bootstrap', default=False)
    bounds: _Bounds = msgspec.field(name='bounds', default_factory=_Bounds)
    region_by_data_centre: dict[str, str] = msgspec.field(
        name='zones', default_factory=dict
    )
    limits: _Limits = msgspec.field(name='limits', default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Hold the settings of the entry and the address of its store."""

    entry: GatewaySettings
    store_address: str


class InvalidSettingsError(Exception):
    """Report invalid settings, one error per line."""


METRICS_PORT = 9464
# The share of `quotaSlack` that an entry may use; the rest covers the usage that
# peers report late.
LIMIT_TOLERANCE_SHARE = 0.3


def has_one_port(ports: object) -> bool:
    """Return whether a range of ports holds just one."""
    return isinstance(ports, list) and len(ports) == 2 and ports[0] == ports[1]


def settings_path() -> str:
    """Return the path of the settings file from the environment."""
    return os.environ.get(SETTINGS_VARIABLE, '/etc/marjoramfall/settings.toml')


def load_settings(path: str) -> PlatformSettings:
    """Read and validate the file; raises `InvalidSettingsError`."""
    try:
        with open(path, 'rb') as settings_file:
            document = tomllib.load(settings_file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettingsError(f'{path}: {error}') from error
    errors = list(_find_errors(document))
    if errors:
        raise InvalidSettingsError('\n'.join(errors))
    decoded = msgspec.convert(document, _Settings)
    return PlatformSettings(_to_settings(decoded), decoded.store.address)


def _find_errors(document: dict[str, object]):
    """Yield an error per missing or invalid field; the decoder stops at the first."""
    for field in msgspec.structs.fields(_Settings):
        if field.encode_name not in document:
            if field.required:
                yield f'{field.encode_name}: missing'
            continue
        try:
            msgspec.convert(document[field.encode_name], field.type)
        except msgspec.ValidationError as error:
            yield f'{field.encode_name}: {error}'
    if has_one_port(document.get(INTERNAL_PORTS)):
        yield f'{INTERNAL_PORTS}: at least two ports are needed'


def _to_settings(decoded: _Settings) -> GatewaySettings:
    bounds = decoded.bounds
    metrics = decoded.listen.metrics or f'{decoded.ip}:{METRICS_PORT}'
    return GatewaySettings(
        vm=decoded.vm,
        ip=decoded.ip,
        data_centre=decoded.data_centre,
        peer_port=decoded.internal_ports[0],
        front_address=decoded.listen.front,
        ready_address=decoded.listen.ready,
        metrics_address=metrics,
        is_first_start=decoded.is_first_start,
        delegation_address=f'{decoded.ip}:{decoded.internal_ports[0] + 1}',
        region_by_data_centre=decoded.region_by_data_centre,
        memory_mb=decoded.limits.memory_mb,
        bounds=EntryBounds(
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            limit_tolerance_share=bounds.quota_over,
            limit_tolerance=bounds.quota_slack * LIMIT_TOLERANCE_SHARE,
            expose_share=bounds.expose_share,
            expose_slack=bounds.expose_slack,
            cold_over=bounds.cold_over,
            cold_slack=bounds.cold_slack,
        ),
    )
