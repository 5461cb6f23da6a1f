"""Test that entries heed what servers say of themselves in their answers.

The pattern is a server that leaves, or that wants nothing for a while, and says so in
its answers before the store or any peer does.
"""

from functools import partial

from marjoramfall.gateway.registry import ServerChange
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import PLAIN, make_server, make_state

REQUEST_COUNT = 20
SERVER_ID = 'i-noticed'


class NoticeCase(GatewayCase):
    """Send requests to a server that says something of itself, and to another."""

    def register(self, backend, **changes):
        """Register the server again, with some fields changed."""
        server = make_server(
            SERVER_ID, address=backend.address, service_id=PLAIN, **changes
        )
        self.apply(server)

    def apply(self, server):
        """Apply a registration of the server, or its removal."""
        revision = self.registry.servers_state.as_of + 1
        change = ServerChange(SERVER_ID, server, revision)
        self.registry.apply_changes([change], revision)

    def ask_often(self):
        """Send requests one after the other, and check that all are served."""
        for _ in range(REQUEST_COUNT):
            response = self.ask('/read/1')
            self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)


class TestLeavingServer(NoticeCase):
    """A server that says in an answer that it leaves gets no new requests."""

    def setUp(self):
        super().setUp()
        self.leaving = self.add_backend(
            lambda exchange: answer(exchange, extra='Server-Leaving: 1\r\n'),
            server_id=SERVER_ID,
        )
        self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 200'))

    def test_no_requests(self):
        """Guards against requests until the store says that the server leaves."""
        self.add_backend(answer)
        self.ask_often()
        self.assertEqual(len(self.leaving.heads), 1)

    def test_registered_again(self):
        """Guards against forgetting it as the registration lapses and comes back."""
        self.apply(None)
        self.register(self.leaving)
        self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 503'))
        self.assertEqual(len(self.leaving.heads), 1)

    def test_started_again(self):
        """A new incarnation of the server gets requests again."""
        self.register(self.leaving, born_ms=2)
        self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 200'))
        self.assertEqual(len(self.leaving.heads), 2)


class TestBrittleServer(NoticeCase):
    """A server that would fall over is asked again only once it may have room.

    Entries that do not know each other's load send it more than it can take.
    """

    def setUp(self):
        super().setUp()
        extra = 'Marjoramfall-Not-Executed: 1\r\nServer-Brittle: 2\r\n'
        self.full = self.add_backend(
            lambda exchange: answer(
                exchange, status='503 Service Unavailable', extra=extra
            ),
            server_id=SERVER_ID,
        )

    def test_few_rejections(self):
        """Guards against entries that together make a full server fall over."""
        self.add_backend(answer)
        for vm in ('entry-2', 'entry-3', 'entry-4'):
            self.peers.update(make_state(vm))
        self.ask_often()
        self.assertLessEqual(len(self.full.heads), 1)

    def test_has_room(self):
        """A server that serves its requests gets more, though it is brittle."""
        brittle = self.add_backend(
            lambda exchange: answer(exchange, extra='Server-Brittle: 2\r\n')
        )
        self.ask_often()
        self.assertEqual(len(brittle.heads), REQUEST_COUNT)


class TestLapseMeanwhile(NoticeCase):
    """A server that registers again while it answers is heeded, too."""

    def answer_after_lapse(self, exchange):
        """Register again, and then answer."""
        self.apply(None)
        self.register(self.backend)
        answer(exchange, extra='Server-Leaving: 1\r\n')

    def test_leaving(self):
        """Guards against a notice that only the earlier registration heeds."""
        self.backend = self.add_backend(self.answer_after_lapse, server_id=SERVER_ID)
        self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 200'))
        self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 503'))
        self.assertEqual(len(self.backend.heads), 1)


class TestPause(NoticeCase):
    """A server that turns a request away with Retry-After gets none for so long."""

    def refuse(self, exchange):
        """Turn a request away, for longer than the test."""
        extra = f'Marjoramfall-Not-Executed: 1\r\nRetry-After: {self.pause_s}\r\n'
        answer(exchange, status='503 Service Unavailable', extra=extra)

    def setUp(self):
        super().setUp()
        self.pause_s = '60.5'
        self.refusing = self.add_backend(self.refuse, server_id=SERVER_ID)
        self.ask('/read/1')

    def test_no_requests(self):
        """Guards against sending on while the server wants nothing."""
        self.add_backend(answer)
        self.ask_often()
        self.assertEqual(len(self.refusing.heads), 1)

    def test_registered_again(self):
        """Guards against forgetting it as the registration lapses and comes back."""
        self.apply(None)
        self.register(self.refusing)
        self.ask('/read/1')
        self.assertEqual(len(self.refusing.heads), 1)

    def test_only_server(self):
        """Guards against a caller who waits in vain, and is not told until when."""
        response = self.ask('/read/1')
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertIn(b'no server takes requests', response)
        self.assertEqual(len(self.refusing.heads), 1)

    def test_write(self):
        """Guards against using the only server as it is the last one left."""
        self.ask('/post/1', method='POST', body=b'x')
        self.assertEqual(len(self.refusing.heads), 1)


class TestShortPause(NoticeCase):
    """Requests that wait are sent once the pause is over."""

    def test_sent_after_pause(self):
        """Guards against requests that wait although the server takes them again."""
        refusal = 'Marjoramfall-Not-Executed: 1\r\nRetry-After: 0.2\r\n'
        backend = self.add_backend(
            lambda exchange: answer(
                exchange, status='503 Service Unavailable', extra=refusal
            ),
            answer,
        )
        self.ask('/read/1')
        response = self.ask('/read/1')
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
        self.assertEqual(len(backend.heads), 2)

    def test_unreadable(self):
        """A date, or what is no number, asks for no pause."""
        for text in ('Wed, 21 Oct 2026 07:28:00 GMT', '-1', 'nan', 'inf', ''):
            with self.subTest(text):
                refusal = f'Marjoramfall-Not-Executed: 1\r\nRetry-After: {text}\r\n'
                backend = self.add_backend(
                    partial(answer, status='503 Service Unavailable', extra=refusal),
                    answer,
                )
                self.ask('/read/1')
                self.assertTrue(self.ask('/read/1').startswith(b'HTTP/1.1 200'))
                self.assertEqual(len(backend.heads), 2)
                self.doCleanups()
                self.setUp()
