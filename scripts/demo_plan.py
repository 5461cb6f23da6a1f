"""Derive addresses, settings and command lines of the demo's processes."""

import hashlib
from dataclasses import dataclass, replace
from pathlib import Path

import yaml
from demo_children import DemoError

from marjoramfall.replay.trace import Trace
from marjoramfall_standins.loopback import HOST, free_address

ENTRY_COUNT = 3
PORTS_PER_ENTRY = 10
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
OPERATOR = 'demo'
TOKEN = 'demo-operator-token'
# A demo ends soon after its last request; nobody balances load before it.
BALANCER_DELAY = '200ms'
MAX_STOP_WAIT = '5s'


def sha256(text: str) -> str:
    """Return the SHA-256 of a text in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class EntryPlan:
    """Hold the addresses of one entry."""

    vm: str
    data_centre: str
    callers: str
    operators: str
    peers: str

    def settings(self, platform: str) -> dict[str, object]:
        """Return the entry's settings file."""
        return {
            'vm': self.vm,
            'data_centre': self.data_centre,
            'listen': {
                'callers': self.callers,
                'operators': self.operators,
                'peers': self.peers,
            },
            'platform': {'tables': platform, 'objects': platform, 'vms': platform},
            'operators': [{'name': OPERATOR, 'token_sha256': sha256(TOKEN)}],
            'shutdown': {'balancer_delay': BALANCER_DELAY, 'max_wait': MAX_STOP_WAIT},
        }


def _at_ports(entry: EntryPlan, port: int) -> EntryPlan:
    callers, operators, peers = (f'{HOST}:{port + offset}' for offset in range(3))
    return replace(entry, callers=callers, operators=operators, peers=peers)


class DemoPlan:
    """Hold what is to be started and how it is to be set up."""

    def __init__(
        self, configuration: Path, standins: Path, *, first_port: int = 0
    ) -> None:
        self.configuration = yaml.safe_load(configuration.read_text('utf-8'))
        described = yaml.safe_load(standins.read_text('utf-8'))
        self.moves = described['moves']
        self._options = described['servers']
        servers = self.configuration['backend_servers']
        self.platform = free_address()
        for server in servers:
            server['address'] = free_address()
        self.entries = [
            EntryPlan(
                f'entry-{index + 1}',
                DATA_CENTRES[index % len(DATA_CENTRES)],
                *(free_address() for _ in range(3)),
            )
            for index in range(ENTRY_COUNT)
        ]
        if first_port:
            self.entries = [
                _at_ports(entry, first_port + PORTS_PER_ENTRY * index)
                for index, entry in enumerate(self.entries)
            ]
        self.team_keys = {
            team['team_id']: team['key'] for team in self.configuration['teams']
        }

    @property
    def server_addresses(self) -> list[str]:
        """Return the addresses of all backend servers."""
        return [server['address'] for server in self.configuration['backend_servers']]

    def check_trace(self, trace: Trace) -> None:
        """Raise `DemoError` if the trace names what is not configured."""
        services = {row['service_id'] for row in self.configuration['services']}
        missing = {request.service for request in trace.requests} - services
        missing |= {request.team for request in trace.requests} - set(self.team_keys)
        if missing:
            raise DemoError(f'not in the configuration: {", ".join(sorted(missing))}')

    def vm_list(self) -> dict[str, object]:
        """Return the true VM list of the platform."""
        entries = [
            _vm(entry.vm, entry.peers, 'entry', entry.data_centre)
            for entry in self.entries
        ]
        servers = [
            _vm(row['server_id'], row['address'], 'backend', row['data_centre'])
            for row in self.configuration['backend_servers']
        ]
        return {'vms': entries + servers}

    def standin_arguments(self) -> dict[str, list[str]]:
        """Return the command line of each backend server by its id."""
        service_by_version = {
            row['version_id']: row['service_id']
            for row in self.configuration['versions']
        }
        kind_by_service = {
            row['service_id']: row['kind'] for row in self.configuration['services']
        }
        arguments = {}
        for server in self.configuration['backend_servers']:
            kind = kind_by_service[service_by_version[server['version_id']]]
            command = 'engine' if kind == 'model' else 'service'
            arguments[server['server_id']] = self._arguments(server, command)
        return arguments

    def _arguments(self, server: dict[str, str], command: str) -> list[str]:
        name = server['server_id']
        options = {
            'listen': server['address'],
            'version': server['version_id'],
            'vm': name,
            **self._options.get(name, {}),
        }
        pairs = ((f'--{option}', str(setting)) for option, setting in options.items())
        fencing = []
        if command == 'engine' and server.get('checks_fencing'):
            fencing = ['--checks-fencing']
        return [command, *(word for pair in pairs for word in pair), *fencing]


def _vm(name: str, address: str, role: str, data_centre: str) -> dict[str, str]:
    return {
        'vm': name,
        'address': address,
        'role': role,
        'state': 'live',
        'data_centre': data_centre,
    }
