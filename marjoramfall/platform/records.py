"""Decode and validate the records of operators and backend servers."""

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import (
    UNSTATED_COLD_MS,
    BackendServer,
    CallerLimits,
    Configuration,
    RepeatRule,
    Route,
    Service,
    Team,
    VersionMove,
    WeightedService,
    group_routes,
)
from marjoramfall.platform.json_records import (
    InvalidRecordError,
    check_address,
    decode_record,
    read_amount,
    read_names,
    reading_record,
)
from marjoramfall.platform.wire_records import (
    WireConfig,
    WireEngine,
    WireRollout,
    WireRoute,
    WireServer,
    WireService,
    WireTeam,
)

LEAVING = 'draining'
READY = 'ready'
MAX_SLOTS = 1_000_000


@reading_record()
def decode_configuration(encoded: bytes) -> Configuration:
    """Decode the operator's configuration; raises `InvalidRecordError`."""
    config = decode_record(encoded, WireConfig)
    teams = [(wire_team, _to_team(wire_team)) for wire_team in config.tenants]
    return Configuration(
        version=config.version,
        routes_by_host=group_routes(map(_to_route, config.routes)),
        service_by_id={
            service.name: _to_service(service) for service in config.services
        },
        team_by_key={key: team for wire, team in teams for key in wire.api_keys},
        team_by_name={team.name: team for _, team in teams},
        limits=CallerLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
    )


@reading_record()
def decode_server(server_id: str, encoded: bytes) -> BackendServer:
    """Decode the registration of a backend server; raises `InvalidRecordError`."""
    record = decode_record(encoded, WireServer)
    _check_server(server_id, record)
    return BackendServer(
        server_id=server_id,
        service_id=record.service,
        address=record.address,
        data_centre=record.zone,
        version=record.version,
        slots=record.slots,
        is_leaving=record.state == LEAVING,
        born_ms=record.born,
        cold_ms=_read_cold_ms(record.cold_remaining_ms, server_id),
        sequence=record.seq,
    )


def _read_cold_ms(found: object, server_id: str) -> float:
    cold_ms = read_amount(found, f'{server_id}.coldRemainingMs')
    return cold_ms if cold_ms or found == 0 else UNSTATED_COLD_MS


def _check_server(server_id: str, record: WireServer) -> None:
    """Raise `InvalidRecordError` unless requests can be sent to the server."""
    # The id and the version are sent in headers.
    if not (server_id.isascii() and server_id.isprintable()):
        raise InvalidRecordError(f'invalid server id {server_id!r}')
    if record.state not in {READY, LEAVING} or not 1 <= record.slots <= MAX_SLOTS:
        raise InvalidRecordError(
            f'unknown state {record.state!r} or number of slots {record.slots}'
        )
    check_address(record.address)


@reading_record()
def decode_move(encoded: bytes, revision: int) -> VersionMove:
    """Decode the order for a version move of a service; raises `InvalidRecordError`."""
    order = decode_record(encoded, WireRollout)
    return VersionMove(order.service, order.to, order.duration_s, revision)


def _to_route(wire: WireRoute) -> Route:
    splits = [
        WeightedService(split.service, split.weight) for split in wire.traffic_split
    ]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        services=tuple(splits) or (WeightedService(wire.service, 1),),
        repeat_rule=_repeat_rule(wire),
        is_stream=wire.kind == 'streaming',
        timeout_ms=wire.timeout_ms,
        target_ms=wire.target_latency_ms,
        max_gap_ms=wire.gap_aim_ms,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        is_public=wire.public,
        home_regions=read_names(wire.allowed_regions, f'{wire.name}.allowedRegions'),
    )


def _repeat_rule(wire: WireRoute) -> RepeatRule:
    if wire.kind == 'idempotent':
        return RepeatRule.IDEMPOTENT
    if wire.kind == 'streaming' and wire.resumable:
        return RepeatRule.RESUMABLE
    return RepeatRule.AT_MOST_ONCE


def _to_service(wire: WireService) -> Service:
    engine = wire.engine or WireEngine()
    cold_start_s = read_amount(wire.cold_start_s, f'{wire.name}.coldStartS')
    return Service(
        service_id=wire.name,
        max_connections=wire.max_conns,
        is_model=wire.engine is not None,
        tokens_per_event=max(1, engine.stride),
        cold_start_ms=cold_start_s * MS_PER_SECOND,
        cold_rate_per_s=read_amount(wire.cold_per_s, f'{wire.name}.coldPerS'),
        memory_tokens=int(read_amount(engine.kv_capacity, f'{wire.name}.kvCapacity')),
        moves_runs=engine.moves is True,
        token_bytes=read_amount(engine.kv_token_bytes, f'{wire.name}.kvTokenBytes'),
        link_mbps=read_amount(engine.link_mbps, f'{wire.name}.linkMbps'),
        copy_kept_ms=MS_PER_SECOND
        * read_amount(engine.handle_s, f'{wire.name}.handleS'),
    )


def _to_team(wire: WireTeam) -> Team:
    return Team(
        name=wire.name,
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
        counts_tokens=wire.unit == 'tokens',
        plain_tokens=wire.plain_tokens,
        home_regions=read_names(wire.allowed_regions, f'{wire.name}.allowedRegions'),
    )
