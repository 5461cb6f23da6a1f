"""Run a gateway on loopback in front of scripted backend servers."""

import unittest

from gevent import sleep, socket
from gevent.server import StreamServer

from marjoramfall.clock import MS_PER_SECOND, RuntimeClock
from marjoramfall.gateway.callers.body_budget import BodyBudget
from marjoramfall.gateway.callers.caller_connection import CallerConnection
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.evacuations import Evacuations
from marjoramfall.gateway.fleet import Fleet
from marjoramfall.gateway.forwarder import Forwarder
from marjoramfall.gateway.gateway import Gateway
from marjoramfall.gateway.homes import Homes
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.registry import Registry, ServerChange
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.evacuation_rule import EvacuationRule
from marjoramfall.gateway.servers.home_rule import HomeRule
from marjoramfall.gateway.servers.placement_rules import PlacementRules
from marjoramfall.gateway.servers.retry_budget import RetryBounds
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.version_moves import VersionMoves
from marjoramfall.platform.dialect import PlatformDialect
from tests.gateway_fakes import PLAIN, make_config, make_server
from tests.scripted_backend import ScriptedBackend

ATTEMPT = 'Marjoramfall-Attempt-Id'
TIMEOUT_S = 5
REGIONS = {'dc-a': 'east', 'dc-b': 'east', 'dc-c': 'west'}


def read_attempt(exchange):
    """Return the attempt id that a backend server received."""
    for line in exchange.head.decode().splitlines():
        if line.lower().startswith(f'{ATTEMPT.lower()}:'):
            return line.partition(':')[2].strip()
    return ''


def answer(exchange, body=b'ok', status='200 OK', attempt=None, extra=''):
    """Answer with the attempt id, as backend servers do."""
    attempt = read_attempt(exchange) if attempt is None else attempt
    exchange.respond(body, status, f'{ATTEMPT}: {attempt}\r\n{extra}')


def start_events(exchange):
    """Send the head of a stream."""
    exchange.write(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        + f'{ATTEMPT}: {read_attempt(exchange)}\r\n\r\n'.encode()
    )


class GatewayCase(unittest.TestCase):
    """Send requests of one caller through a gateway."""

    def setUp(self):
        self.clock = RuntimeClock()
        self.bodies = BodyBudget()
        self.peers = PeerTable(self.clock, own_vm='entry-1', data_centre='dc-a')
        self.pool = ConnectionPool(self.clock, connect_timeout_ms=300)
        self.retry_budgets = RetryBudgets(
            RetryBounds(share=1, slack=50, window_ms=10 * MS_PER_SECOND)
        )
        self.limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=True)
        self.evacuations = Evacuations(self.clock)
        self.homes = Homes(REGIONS, data_centre='dc-a')
        self.fleet = Fleet(
            self.clock,
            self.peers,
            self.pool,
            VersionMoves(self.clock, expose_share=0.1),
            data_centre='dc-a',
            retry_budgets=self.retry_budgets,
            limits=self.limits,
            notify_peers=lambda: None,
            rules=PlacementRules(
                (HomeRule(self.homes), EvacuationRule(self.evacuations))
            ),
        )
        self.fleet.delegates.homes = self.homes
        self.quarantine = CrashQuarantine(self.clock, notify_peers=lambda: None)
        self.registry = Registry(
            self.clock,
            self.use_config,
            self.use_servers,
            lambda order: None,
            evacuations=self.evacuations,
            on_evacuation=self.fleet.use_changed_rules,
        )
        self.forwarder = Forwarder(
            self.fleet, self.pool, self.quarantine, PlatformDialect(), self.clock
        )
        self.gateway = Gateway(
            self.registry,
            self.limits,
            self.peers,
            self.forwarder,
            PlatformDialect(),
            GatewayMetrics(vm='entry-1'),
            self.clock,
            homes=self.homes,
        )
        self.handler = self.gateway
        self.listener = StreamServer(('127.0.0.1', 0), self.serve)
        self.listener.start()
        self.addCleanup(self.listener.stop, timeout=0)
        self.registry.put_config(make_config(), 1)

    def use_config(self, config):
        """Apply a configuration."""
        now_ms = self.clock.monotonic_ms()
        self.limits.set_teams(config.team_by_name, now_ms)
        self.homes.use_config(config)
        self.fleet.set_config(config)

    def use_servers(self):
        """Apply the registered servers."""
        self.fleet.set_servers(self.registry.servers)

    def serve(self, connection, _address):
        """Serve one connection of a caller."""
        CallerConnection(
            connection,
            self.handler,
            self.clock,
            bodies=self.bodies,
            on_end=lambda ended: None,
        ).run()

    def add_backend(self, *scripts, service_id=PLAIN, server_id=None, **changes):
        """Register a scripted backend server."""
        backend = ScriptedBackend(*scripts)
        self.addCleanup(backend.stop)
        server_id = server_id or f'i-{backend.address}'
        fields = {'address': backend.address, 'service_id': service_id, **changes}
        server = make_server(server_id, **fields)
        revision = self.registry.servers_state.as_of + 1
        change = ServerChange(server_id, server, revision)
        self.registry.apply_changes([change], revision)
        return backend

    def connect(self, listener=None):
        """Return a connection of a caller, or of a peer to another listener."""
        address = ('127.0.0.1', (listener or self.listener).server_port)
        connection = socket.create_connection(address, timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def send(
        self,
        path,
        *headers,
        method='GET',
        key='key-1',
        attempt='a-1',
        body=b'',
        connection=None,
    ):
        """Send a request and return the connection."""
        connection = connection or self.connect()
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: a.example',
            f'{ATTEMPT}: {attempt}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if body:
            lines.append(f'Content-Length: {len(body)}')
        message = '\r\n'.join((*lines, *headers, '', ''))
        connection.sendall(message.encode() + body)
        return connection

    def receive_all(self, connection):
        """Return everything until the connection ends."""
        received = b''
        while True:
            part = connection.recv(65536)
            if not part:
                return received
            received += part

    def receive(self, connection, ending=b''):
        """Return the bytes up to an ending, or one complete response."""
        received = b''
        while True:
            is_whole = ending in received if ending else _is_whole(received)
            part = b'' if is_whole else connection.recv(65536)
            if not part:
                return received
            received += part

    def ask(self, path, *headers, **options):
        """Send a request and return the complete response."""
        return self.receive(self.send(path, *headers, **options))

    def wait_for(self, condition):
        """Let other greenlets run until the condition holds, at most for 2 s."""
        for _ in range(400):
            if condition():
                return
            sleep(0.005)
        self.fail('the condition did not hold within 2 s')


def _is_whole(received):
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return False
