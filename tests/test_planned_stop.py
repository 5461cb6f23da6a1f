"""Test the planned stop of an entry under load.

The pattern is a caller whose request is accepted in the last moments before the
process exits: in the backlog of the listener, or on a kept connection.
"""

import unittest

from gevent import sleep, socket, spawn

from marjoramfall.clock import RuntimeClock
from marjoramfall.gateway import entry as entry_module
from marjoramfall.gateway.entry import Entry
from marjoramfall.gateway.entry_settings import EntryBounds, GatewaySettings
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.registry import ServerChange
from marjoramfall.gateway.servers.socket_state import has_input
from marjoramfall.platform.dialect import PlatformDialect
from tests.gateway_case import ATTEMPT, TIMEOUT_S, answer
from tests.gateway_fakes import make_config, make_route, make_server
from tests.scripted_backend import ScriptedBackend

REQUEST = (
    f'GET /read/1 HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT}: a-1\r\n'
    'Authorization: Bearer key-1\r\n\r\n'
).encode()
BALANCER_REACTION_MS = 300
PAUSE_S = 0.02


def free_address():
    """Return a loopback address whose port was free just now."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{listener.getsockname()[1]}'


def answer_slowly(exchange):
    """Answer after a pause."""
    sleep(PAUSE_S)
    answer(exchange)


class TestPlannedStop(unittest.TestCase):
    """A planned stop answers every request that it accepted."""

    def setUp(self):
        original_ms = entry_module.BALANCER_REACTION_MS
        entry_module.BALANCER_REACTION_MS = BALANCER_REACTION_MS
        self.addCleanup(setattr, entry_module, 'BALANCER_REACTION_MS', original_ms)
        backend = ScriptedBackend(answer_slowly)
        self.addCleanup(backend.stop)
        self.entry = self.new_entry()
        self.entry.registry.put_config(make_config(), 1)
        change = ServerChange('s1', make_server('s1', address=backend.address), 1)
        self.entry.registry.apply_changes([change], 1)
        self.entry.listen()
        self.runner = spawn(self.entry.run)
        self.addCleanup(self.runner.kill)
        self.wait_for_listener()

    def new_entry(self):
        """Return an entry on free ports of the loopback address."""
        bounds = EntryBounds(
            grace_s=4,
            retry_ratio=0.2,
            retry_window_s=10,
            retry_slack=50,
            limit_tolerance_share=0,
            limit_tolerance=0,
            expose_share=0.1,
            expose_slack=50,
        )
        self.front = free_address()
        settings = GatewaySettings(
            vm='entry-1',
            ip='127.0.0.1',
            data_centre='dc-a',
            peer_port=int(free_address().rpartition(':')[2]),
            front_address=self.front,
            ready_address=free_address(),
            metrics_address=free_address(),
            is_first_start=True,
            delegation_address=free_address(),
            bounds=bounds,
        )
        return Entry(
            settings,
            PlatformDialect(),
            RuntimeClock(),
            ready_path='/ready',
            on_stale_watch=lambda: None,
        )

    def wait_for_listener(self):
        """Wait until the entry accepts connections, at most for 5 s."""
        for _ in range(250):
            try:
                self.connect().close()
            except ConnectionRefusedError:
                sleep(PAUSE_S)
            else:
                break
        self.wait_for(lambda: not self.entry._listeners.callers.connections)

    def wait_for(self, condition):
        """Wait until the condition holds, at most for 5 s."""
        for _ in range(250):
            if condition():
                return
            sleep(PAUSE_S)
        self.fail('the condition did not hold within 5 s')

    def connect(self):
        """Return a connection of a caller."""
        host, _, port = self.front.rpartition(':')
        connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def test_backlog(self):
        """Guards against resetting requests that wait in the listener's backlog."""
        self.entry.begin_stop()
        # Connections that arrive now stay in the backlog until the process exits.
        self.entry._listeners.callers.stop_accepting()
        callers = [self.connect() for _ in range(8)]
        for caller in callers:
            caller.sendall(REQUEST)
        for caller in callers:
            self.assertIn(b'HTTP/1.1 200 OK', caller.recv(65536))
        self.runner.join(TIMEOUT_S)
        self.assertTrue(self.runner.ready())

    def test_callers_until_exit(self):
        """Guards against cutting callers that connect and ask until the exit."""
        self.entry.begin_stop()
        cut = []
        workers = [spawn(self.ask_until_exit, cut) for _ in range(6)]
        for worker in workers:
            worker.join(TIMEOUT_S)
        self.assertEqual(cut, [])

    def test_kept_connection(self):
        """Guards against closing a connection whose next request was received."""
        caller = self.connect()
        self.wait_for(lambda: self.entry._listeners.callers.connections)
        accepted = self.entry._listeners.callers.connections[0]
        self.wait_for(lambda: accepted.is_idle)
        caller.sendall(REQUEST)
        self.assertFalse(accepted.is_idle)

    def test_unfinished_request(self):
        """Guards against a posting cut off with no answer at the end of the grace."""
        self.use_hanging_server()
        caller = self.post(deadline_ms=9000)
        self.entry.begin_stop()
        self.assertIn(b'HTTP/1.1 502', self.receive_until_exit(caller))

    def test_late_request(self):
        """Guards against a request taken late in the grace and cut at its end.

        Its deadline is just before the exit of the process, and its server's own
        error is awaited for a moment longer.
        """
        self.use_hanging_server()
        self.post(deadline_ms=9000)
        self.entry.begin_stop()
        sleep(1)
        caller = self.post(deadline_ms=2700)
        self.assertIn(b'HTTP/1.1 50', self.receive_until_exit(caller))

    def use_hanging_server(self):
        """Replace the server by one that never answers."""
        post = make_route('post', RepeatRule.AT_MOST_ONCE, timeout_ms=9000)
        self.entry.registry.put_config(make_config(2, routes=(post,)), 2)
        hanging = ScriptedBackend(lambda exchange: sleep(TIMEOUT_S))
        self.addCleanup(hanging.stop)
        change = ServerChange('s1', make_server('s1', address=hanging.address), 2)
        self.entry.registry.apply_changes([change], 2)

    def post(self, *, deadline_ms):
        """Send a posting and return its connection."""
        caller = self.connect()
        deadline = f'Marjoramfall-Deadline-Ms: {deadline_ms}'
        caller.sendall(
            f'POST /post/1 HTTP/1.1\r\nHost: a.example\r\n{deadline}\r\n'
            f'{ATTEMPT}: a-1\r\nAuthorization: Bearer key-1\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        return caller

    def receive_until_exit(self, caller):
        """Return what a caller has got when the process exits."""
        self.runner.join(TIMEOUT_S)
        self.assertTrue(self.runner.ready())
        return caller.recv(65536) if has_input(caller) else b''

    def ask_until_exit(self, cut):
        """Send requests on new connections and note those without an answer."""
        while True:
            try:
                caller = self.connect()
            except ConnectionRefusedError:
                return
            try:
                caller.sendall(REQUEST)
                received = caller.recv(65536)
            except ConnectionResetError:
                received = b''
            if not received:
                cut.append(caller)
            caller.close()
            sleep(PAUSE_S)
