"""Build the parts of a gateway for tests."""

from marjoramfall.gateway.callers.call import Call, CallFields
from marjoramfall.gateway.http_messages import RequestHead
from marjoramfall.gateway.model import (
    BackendServer,
    CallerLimits,
    Configuration,
    RepeatRule,
    Route,
    Service,
    Team,
    WeightedService,
    group_routes,
)
from marjoramfall.gateway.peers.peer_state import PeerState
from marjoramfall.gateway.registry import Registry
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad

PLAIN = 'bookings'
MODEL = 'tutor'


def make_server(server_id='s1', **changes):
    """Return a registered server of the plain service."""
    fields = {
        'server_id': server_id,
        'service_id': PLAIN,
        'address': '127.0.0.1:1',
        'data_centre': 'dc-a',
        'version': 'v1',
        'slots': 2,
        'is_leaving': False,
        'born_ms': 1,
        'cold_ms': 0,
    }
    return BackendServer(**{**fields, **changes})


def make_load(server_id='s1', *, is_model=True, **changes):
    """Return the load of an idle server."""
    return ServerLoad(
        make_server(server_id, **changes),
        is_model=is_model,
        events_per_token=0.5,
    )


def make_demand(arrived_ms=0.0, priority=0, **changes):
    """Return the demand of a streamed request."""
    fields = {
        'service_id': MODEL,
        'priority': priority,
        'arrived_ms': arrived_ms,
        'target_ms': arrived_ms + 800,
        'give_up_ms': arrived_ms + 3200,
        'deadline_ms': arrived_ms + 12_000,
        'prompt_tokens': 1000,
        'output_tokens': 100,
    }
    return Demand(**{**fields, **changes})


def make_fields(**changes):
    """Return the fields of a request for a generation."""
    fields = {
        'attempt_id': 'a-1',
        'host': 'a.example',
        'path': '/review/',
        'api_key': None,
        'caller_timeout_ms': None,
        'is_generation': True,
        'prompt_tokens': 1000,
        'output_tokens': 100,
        'likely_output_tokens': 80,
        'last_event_id': None,
        'headers': (),
    }
    return CallFields(**{**fields, **changes})


def make_call(**changes):
    """Return a request of the plain service that may repeat."""
    fields = {
        'head': RequestHead(),
        'body': b'',
        'fields': make_fields(),
        'received_ms': 0,
        'route': make_route('read'),
        'team': TEAM,
        'service_id': PLAIN,
        'config_version': 1,
        'deadline_ms': 1000,
    }
    return Call(**{**fields, **changes})


def make_route(name, rule=RepeatRule.IDEMPOTENT, **changes):
    """Return a route of the host `a.example`."""
    fields = {
        'name': name,
        'host': 'a.example',
        'prefix': f'/{name}/',
        'services': (WeightedService(PLAIN, 1),),
        'repeat_rule': rule,
        'is_stream': False,
        'timeout_ms': 1000,
        'target_ms': 200,
        'max_gap_ms': 0,
        'priority': 0,
        'max_attempts': 2,
        'is_public': False,
    }
    return Route(**{**fields, **changes})


TEAM = Team('kvali', None, 0, 0, counts_tokens=True, plain_tokens=200)


def make_config(version=1, *, team=TEAM, routes=None):
    """Return a configuration with a route of each kind."""
    routes = routes or (
        make_route('read'),
        make_route('post', RepeatRule.AT_MOST_ONCE, max_attempts=1),
        make_route(
            'review',
            RepeatRule.RESUMABLE,
            services=(WeightedService(MODEL, 1),),
            is_stream=True,
            max_gap_ms=250,
        ),
        make_route(
            'summary',
            RepeatRule.AT_MOST_ONCE,
            services=(WeightedService(MODEL, 1),),
            is_stream=True,
            max_attempts=1,
        ),
    )
    return Configuration(
        version=version,
        routes_by_host=group_routes(routes),
        service_by_id={
            PLAIN: Service(PLAIN, 100, is_model=False, tokens_per_event=1),
            MODEL: Service(MODEL, 100, is_model=True, tokens_per_event=3),
        },
        team_by_key={'key-1': team},
        team_by_name={team.name: team},
        limits=CallerLimits(),
    )


def make_state(vm='entry-2', sequence=1, **changes):
    """Return the state of an idle peer."""
    fields = {
        'vm': vm,
        'address': f'{vm}:1',
        'data_centre': 'dc-a',
        'incarnation': 1,
        'uptime_ms': 1,
        'sequence': sequence,
        'is_leaving': False,
        'config_version': 1,
        'config_revision': 1,
        'servers_revision': 1,
        'uses': [],
        'waiting': [],
        'speeds': None,
        'has_all_limits': False,
        'unreachable_server_ids': [],
        'limit_uses': [],
        'moves': [],
    }
    return PeerState(**{**fields, **changes})


def new_registry(clock):
    """Return a registry whose callbacks do nothing."""
    return Registry(clock, lambda config: None, lambda: None, lambda order: None)
