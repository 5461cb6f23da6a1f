"""Provide an entry that reaches no server, and peers that reach them all."""

from gevent import socket
from gevent.server import StreamServer

from marjoramfall.gateway.callers.body_budget import BodyBudget
from marjoramfall.gateway.callers.caller_connection import CallerConnection
from marjoramfall.gateway.delegation.requests import DelegatedRequests
from marjoramfall.gateway.registry import ServerChange
from tests.gateway_case import GatewayCase, start_events
from tests.gateway_fakes import MODEL, PLAIN, make_server, make_state
from tests.test_unreachable_servers import closed_address

SERVER_COUNT = 3


def begin_stream(exchange):
    """Send the first event of a stream."""
    start_events(exchange)
    exchange.event('1', 'a')


def end_stream(exchange, released):
    """Send the second and last event of a stream once it is released."""
    released.wait()
    exchange.event('2', 'b')
    exchange.write(b'0\r\n\r\n')


def stop_all(backends, _exchange):
    """Refuse connections everywhere, and reset the one in use."""
    for backend in backends:
        backend.stop()
    return False


class UnreachableCase(GatewayCase):
    """Register servers that refuse connections."""

    def add_unreachable(self, server_id, service_id):
        """Register a server that this entry can't reach."""
        server = make_server(server_id, address=closed_address(), service_id=service_id)
        revision = self.registry.servers_state.as_of + 1
        change = ServerChange(server_id, server, revision)
        self.registry.apply_changes([change], revision)


class PeerEntry(UnreachableCase):
    """Run a second entry that serves what the first delegates to it."""

    def setUp(self):
        super().setUp()
        handler = DelegatedRequests(self.gateway)
        self.delegated = StreamServer(
            ('127.0.0.1', 0), lambda sock, _address: self.serve_delegated(sock, handler)
        )
        self.delegated.start()
        self.addCleanup(self.delegated.stop, timeout=0)
        self.address = f'127.0.0.1:{self.delegated.server_port}'
        self.sockets = []

    def runTest(self):
        """Run nothing: this is a part of other tests."""

    def serve_delegated(self, sock, handler):
        """Serve a connection of a peer."""
        self.sockets.append(sock)
        CallerConnection(
            sock,
            handler,
            self.clock,
            bodies=BodyBudget(),
            on_end=lambda ended: None,
        ).run()

    def send_delegated(self, path, service_id, *, runs, lost_runs=0):
        """Send a request as another entry does, and return the connection."""
        return self.send(
            path,
            f'X-Delegated-Service: {service_id}',
            f'X-Delegated-Runs: {runs}',
            f'X-Delegated-Lost-Runs: {lost_runs}',
            'Connection: close, x-delegated-lost-runs',
            connection=self.connect(self.delegated),
        )

    def crash(self):
        """End all connections of peers and listen no more."""
        self.delegated.stop(timeout=0)
        for sock in self.sockets:
            # The descriptor stays open until its greenlets notice the end.
            sock.shutdown(socket.SHUT_RDWR)


class DelegationCase(UnreachableCase):
    """Provide an entry whose servers refuse connections, and peers."""

    def setUp(self):
        super().setUp()
        self.sequence = 0
        for service_id in (PLAIN, MODEL):
            for number in range(SERVER_COUNT):
                self.add_unreachable(f'{service_id}-{number}', service_id)

    def add_peer(self, vm='entry-2', **changes):
        """Start an entry that offers to reach both services."""
        peer = PeerEntry()
        peer.setUp()
        self.addCleanup(peer.doCleanups)
        self.hear(peer, vm, **changes)
        return peer

    def hear(self, peer, vm='entry-2', **changes):
        """Receive a state of a peer."""
        self.sequence += 1
        fields = {
            'delegation_address': peer.address,
            'reached_service_ids': [PLAIN, MODEL],
            **changes,
        }
        self.peers.update(make_state(vm, self.sequence, **fields))

    def post(self, attempt='a-1'):
        """Return the response to a request that must not run twice."""
        return self.ask('/post/1', method='POST', attempt=attempt, body=b'sum')
