"""Test that the tasks of an entry outlast an error that nobody expects."""

import unittest
from contextlib import closing

from gevent import sleep, socket
from loguru import logger

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway.peers.peer_exchange import PeerExchange
from marjoramfall.gateway.peers.peer_state import encode_state
from marjoramfall.gateway.peers.peer_table import Member, PeerTable
from marjoramfall.gateway.tasks import start_task
from marjoramfall.platform.watch import ServerWatch
from tests.gateway_fakes import make_state, new_registry
from tests.platform_records import SERVER
from tests.test_peer_exchange import QuietListener
from tests.watch_case import WatchCase, wait_until


class FailingWatch(ServerWatch):
    """Fail at the first change by an error that no caller expects."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.calls = 0

    def apply_changes(self, rows):
        self.calls += 1
        if self.calls == 1:
            raise OverflowError('unexpected')
        super().apply_changes(rows)


class FailingListener(QuietListener):
    """Fail at the first state of a peer."""

    def __init__(self):
        self.heard_vms = []

    def on_peer_state(self, state):
        self.heard_vms.append(state.vm)
        if len(self.heard_vms) == 1:
            raise OverflowError('unexpected')


class TestTask(unittest.TestCase):
    """A task is started again until it ends by itself."""

    def setUp(self):
        self.starts = 0
        self.lines = []
        handler = logger.add(
            lambda message: self.lines.append(message.record), level='WARNING'
        )
        self.addCleanup(logger.remove, handler)

    def run_once(self):
        """Fail at the first start."""
        self.starts += 1
        if self.starts == 1:
            raise OverflowError('unexpected')

    def test_restart(self):
        """Guards against a task that ends for good by an unexpected error."""
        start_task(self.run_once, RuntimeClock(), name='example').join(timeout=5)
        self.assertEqual(self.starts, 2)

    def test_log_line(self):
        """Guards against a task whose error is seen on standard error only."""
        start_task(self.run_once, RuntimeClock(), name='example').join(timeout=5)
        line = next(line for line in self.lines if line['extra'].get('task'))
        self.assertEqual(line['extra']['task'], 'example')
        self.assertIsInstance(line['exception'].value, OverflowError)

    def test_kill(self):
        """Guards against a task that goes on after it was stopped."""
        task = start_task(lambda: sleep(60), RuntimeClock(), name='example')
        sleep(0)
        task.kill(timeout=5)
        self.assertTrue(task.ready())


class TestTasksOfEntry(WatchCase):
    """An entry hears of changes after an error of one of its tasks."""

    def test_watch(self):
        """Guards against an entry that is deaf to the store after one error."""
        self.registry = new_registry(self.clock)
        watch = self.new_watch(FailingWatch)
        watch.start()
        self.addCleanup(watch.stop)
        self.assertTrue(wait_until(lambda: self.knows('i-1')))
        self.store.put('servers', 'i-2', SERVER)
        self.assertTrue(wait_until(lambda: watch.calls))
        self.store.put('servers', 'i-3', SERVER)
        self.assertTrue(wait_until(lambda: self.knows('i-2') and self.knows('i-3')))

    def knows(self, server_id):
        """Return whether a server is registered here."""
        return server_id in {server.server_id for server in self.registry.servers}


class TestPeerTasks(unittest.TestCase):
    """An entry hears its peers after an error of one of its tasks."""

    def setUp(self):
        clock = RuntimeClock()
        self.peers = PeerTable(clock, own_vm='entry-1', data_centre='dc-a')
        self.listener = FailingListener()
        self.exchange = PeerExchange(
            '127.0.0.1:0',
            self.peers,
            new_registry(clock),
            self.listener,
            clock,
            own_vm='entry-1',
        )
        self.exchange.start()

    def send(self, vm):
        """Send the state of a peer to the entry."""
        own_address = self.exchange._socket.getsockname()
        self.exchange._socket.sendto(encode_state(make_state(vm)), own_address)

    def test_receive(self):
        """Guards against an entry that is deaf to its peers after one error."""
        self.send('entry-2')
        self.assertTrue(wait_until(lambda: self.listener.heard_vms))
        self.send('entry-3')
        self.assertTrue(wait_until(lambda: 'entry-3' in self.listener.heard_vms))

    def test_odd_address(self):
        """Guards against one odd address of a peer that ends all sending."""
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as receiver:
            receiver.bind(('127.0.0.1', 0))
            receiver.settimeout(5)
            host, port = receiver.getsockname()
            self.peers.add_member('entry-2', Member('nowhere', 'dc-a'))
            self.peers.add_member('entry-3', Member(f'{host}:{port}', 'dc-a'))
            self.exchange.schedule_datagram()
            self.assertTrue(receiver.recv(1))
