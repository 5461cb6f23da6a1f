"""Test what an entry process has done by the time that it says ready.

The pattern is a load balancer that sends callers as soon as the readiness path
answers 200.
"""

import signal
import socket as plain_socket
import tempfile
import unittest
from contextlib import closing
from pathlib import Path

import msgspec
from gevent import Timeout, sleep, socket, spawn

from marjoramfall.gateway.peers.peer_table import Member
from marjoramfall_standins.loopback import free_address
from tests.platform_records import CONFIG, SERVER
from tests.process_harness import System
from tests.resolver_fakes import late_resolver
from tests.soak.entries import EntryProcess
from tests.store_case import MembersCase, StoreCase
from tests.watch_case import wait_until

TIMEOUT_S = 5
POLL_S = 0.01
# Waits end as soon as the condition holds; the limit only ends a broken run.
WAIT_LIMIT_S = 15
LISTENERS = ('front', 'ready', 'peer', 'delegation', 'metrics')
# Long enough for a caller to come between two listeners of an entry.
LOOKUP_S = 0.5


class EntryCase(StoreCase):
    """Start an entry process beside a store that knows a configuration."""

    def setUp(self):
        super().setUp()
        self.store.put('op', 'config', CONFIG)
        self.store.put('servers', 'i-1', SERVER)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        base_port = int(free_address().rpartition(':')[2])
        store = f'127.0.0.1:{self.server.server_port}'
        self.entry = EntryProcess(0, base_port, store, self.directory)
        self.addCleanup(self.entry.kill)
        ip, _ = self.entry.address
        self.address_by_listener = {
            name: (ip, base_port + offset) for offset, name in enumerate(LISTENERS)
        }

    def wait_until(self, condition):
        """Wait until a condition holds."""
        with Timeout(WAIT_LIMIT_S, AssertionError('waited in vain')):
            while not condition():
                sleep(POLL_S)

    def wait_ready(self):
        """Wait until the readiness path answers 200."""
        self.wait_until(self.says_ready)

    def is_informed(self):
        """Return whether the entry has read the configuration and the servers."""
        events = {line['event'] for line in self.log_lines()}
        return events >= {'configuration applied', 'server registered'}

    def says_ready(self):
        """Return whether the readiness path answers 200."""
        try:
            return b' 200 ' in self.ask('ready', b'GET /-/ready HTTP/1.1\r\n\r\n')
        except OSError:
            return False

    def ask(self, listener, request):
        """Send a request and return the first bytes of the answer."""
        address = self.address_by_listener[listener]
        with closing(socket.create_connection(address, TIMEOUT_S)) as connection:
            connection.sendall(request)
            return connection.recv(4096)

    def refusing(self):
        """Return the listeners that refuse a connection."""
        return [
            name
            for name, address in self.address_by_listener.items()
            if self.refuses(address)
        ]

    def refuses(self, address):
        """Return whether an address refuses a connection."""
        try:
            socket.create_connection(address, TIMEOUT_S).close()
        except ConnectionRefusedError:
            return True
        return False

    def log_lines(self):
        """Return what the entry has logged."""
        lines = (self.directory / 'entry-0.log').read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]


class TestReadyOrder(EntryCase):
    """An entry that says ready can be reached."""

    def test_late_resolver(self):
        """Guards against readiness before callers, peers, operators are listened to."""
        with late_resolver(self.directory, LOOKUP_S):
            self.entry.start()
        self.wait_ready()
        self.assertEqual(self.refusing(), [])

    def test_resolver_without_answer(self):
        """Guards against a start that waits for a name server."""
        with late_resolver(self.directory):
            self.entry.start()
        self.wait_ready()
        answer = self.ask('front', b'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n')
        self.assertTrue(answer.startswith(b'HTTP/1.1 4'), answer)

    def test_members_not_read(self):
        """Guards against readiness before the other entries are known."""
        self.store.faults.refused_table = 'entries'
        self.entry.start()
        self.wait_until(self.is_informed)
        self.assertFalse(self.says_ready())
        self.store.faults.refused_table = ''
        self.wait_ready()


class TestKnownMembers(MembersCase):
    """Other entries are known from the store, or from what they send."""

    def test_store_down(self):
        """Guards against an entry that waits for the store until an outage ends."""
        self.peers.add_member('entry-2', Member('10.0.0.2:7', 'dc-a'))
        self.assertFalse(self.peers.is_known)
        self.store.faults.status = 503
        self.addCleanup(spawn(self.directory.run).kill)
        self.assertTrue(wait_until(lambda: self.peers.is_known))
        self.peers.member_by_vm.clear()
        self.assertTrue(self.peers.is_known, 'after its peers have expired')

    def test_writes_refused(self):
        """Guards against entries that no write lets become ready, though they read."""
        self.store.faults.lose_writes = True
        self.addCleanup(spawn(self.directory.run).kill)
        self.assertTrue(wait_until(lambda: self.peers.is_known))


class TestStopOrder(EntryCase):
    """An entry that stops says so before it closes."""

    def test_not_ready_first(self):
        """Guards against closing to callers that the balancer still sends."""
        self.entry.start()
        self.wait_ready()
        self.entry.signal(signal.SIGTERM)
        self.wait_until(lambda: not self.says_ready())
        self.assertEqual(self.refusing(), [])
        self.wait_until(lambda: self.entry.exit_status is not None)
        self.assertEqual(self.entry.exit_status, 0)


class TestUnboundAddress(EntryCase):
    """An address that cannot be bound ends the start."""

    def test_each_listener(self):
        """Guards against an entry that runs without one of its listeners."""
        for name, address in self.address_by_listener.items():
            self.check(name, address, plain_socket.SOCK_STREAM)
        self.check('peer', self.address_by_listener['peer'], plain_socket.SOCK_DGRAM)
        self.assertIsNone(self.store.get('entries', 'entry-0'))

    def check(self, name, address, kind):
        """Start the entry while one address is taken."""
        (self.directory / 'entry-0.log').unlink(missing_ok=True)
        with closing(plain_socket.socket(plain_socket.AF_INET, kind)) as taken:
            taken.bind(address)
            if kind == plain_socket.SOCK_STREAM:
                taken.listen()
            self.entry.start()
            self.wait_until(lambda: self.entry.exit_status is not None)
        with self.subTest(listener=name, kind=kind):
            lines = self.log_lines()
            self.assertEqual(self.entry.exit_status, 1)
            self.assertEqual([line['event'] for line in lines], ['entry cannot listen'])
            self.assertIn(f'{address[0]}:{address[1]}', lines[0]['details'])


class TestOwnPrograms(unittest.TestCase):
    """The project's own entries and stand-ins need no name server."""

    def test_resolver_without_answer(self):
        """Guards against `make serve` waiting for a name server."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        with late_resolver(directory.name):
            system = System(entries=1)
        self.addCleanup(system.close)
        self.assertEqual(system.pay('entry-1', 'invoice-1')[0], 200)
