"""Test streams whose server is silent for a while and then goes on.

The pattern is a sound server that pauses, as under load. While no other server has a
free slot, what it sends afterwards is the only answer that callers can get; while
one has, two servers would work on one request.
"""

from functools import partial
from unittest.mock import patch

from gevent import sleep

from marjoramfall.gateway.delegation.service_paths import MIN_FAILED_SERVERS
from marjoramfall.gateway.servers import response_watch
from marjoramfall.gateway.servers.retry_budget import RetryBounds
from tests.gateway_case import GatewayCase, start_events
from tests.gateway_fakes import MODEL, make_config
from tests.test_server_faults import resume, stream_route

IDLE_MS = 150.0
SILENCE_S = 0.6
LONG_SILENCE_S = 10
# Shorter than the idle time.
RESUME_S = 0.1
LONG_PAUSE_MS = 60_000.0
END_OF_CHUNKS = b'0\r\n\r\n'


def pause_within_stream(exchange, silence_s=SILENCE_S):
    """Send an event, nothing for a while, then the rest of the stream."""
    start_events(exchange)
    exchange.event('1', 'a')
    sleep(silence_s)
    exchange.event('2', 'b')
    exchange.write(END_OF_CHUNKS)


def pause_before_stream(exchange):
    """Send nothing for a while, then a whole stream."""
    sleep(SILENCE_S)
    pause_within_stream(exchange, silence_s=0)


def break_after_silence(exchange):
    """Send an event, nothing for a while, and break off."""
    start_events(exchange)
    exchange.event('1', 'a')
    sleep(SILENCE_S)
    return False


def resume_later(exchange):
    """Send the rest of a stream once others have left their servers as well."""
    sleep(RESUME_S)
    resume(exchange)


class SilenceCase(GatewayCase):
    """Run two servers of one service with short idle times."""

    sound_pause_ms = IDLE_MS

    def setUp(self):
        super().setUp()
        self.set_time('STREAM_IDLE_TIMEOUT_MS', IDLE_MS)
        self.set_time('MIN_FIRST_EVENT_TIMEOUT_MS', IDLE_MS)
        self.set_time('SOUND_PAUSE_MS', self.sound_pause_ms)
        self.registry.put_config(
            make_config(2, routes=(stream_route(max_gap_ms=10),)), 2
        )

    def set_time(self, name, time_ms):
        """Replace a time of the product during the test."""
        patched = patch.object(response_watch, name, time_ms)
        patched.start()
        self.addCleanup(patched.stop)

    def add_servers(self, script, *, other_has_place):
        """Add a server that is asked first, and one that may have a free slot."""
        self.first = self.add_backend(script, service_id=MODEL)
        self.other = self.add_backend(resume, service_id=MODEL, server_id='other')
        load = self.fleet.queue(MODEL).load_by_id['other']
        load.add_peer_load(load.server.slots, 0)
        if other_has_place:
            self.wait_until_asked = partial(self.free_other, load)

    def free_other(self, load):
        """Free the other server once the first one was asked."""
        self.wait_for(lambda: self.first.heads)
        load.add_peer_load(-load.server.slots, 0)
        self.fleet.assign()

    def check_whole(self, received):
        """Check that a caller got each event once, and the end."""
        self.assertEqual(received.count(b'data: '), 2, received)
        self.assertTrue(received.endswith(END_OF_CHUNKS), received)

    def send_stream(self):
        """Send a request for a stream on a connection of its own."""
        return self.send('/review/1', 'Connection: close')


class TestSilentServer(SilenceCase):
    """A stream leaves a silent server only once it has another place."""

    def test_no_other_place(self):
        """Guards against a stream cut as its server pauses and the others are full."""
        for script in (pause_within_stream, pause_before_stream):
            with self.subTest(script.__name__):
                self.add_servers(script, other_has_place=False)
                self.check_whole(self.receive_all(self.send_stream()))
                self.assertEqual(len(self.other.heads), 0)
                self.doCleanups()
                self.setUp()

    def test_spent_budget(self):
        """Guards against a stream cut as its server pauses and no retry is left."""
        self.retry_budgets.replace_bounds(RetryBounds(share=0, slack=0, window_ms=1000))
        self.add_servers(pause_within_stream, other_has_place=True)
        connection = self.send_stream()
        self.wait_until_asked()
        self.check_whole(self.receive_all(connection))
        self.assertEqual(len(self.other.heads), 0)

    def test_place_comes_free(self):
        """A stream whose server stays silent goes on at the first free place."""
        script = partial(pause_within_stream, silence_s=5)
        self.add_servers(script, other_has_place=True)
        connection = self.send_stream()
        sleep(2 * IDLE_MS / 1000)
        self.assertEqual(len(self.other.heads), 0)
        self.wait_until_asked()
        self.check_whole(self.receive_all(connection))
        self.assertEqual(len(self.other.heads), 1)

    def test_break_while_searching(self):
        """Guards against a request that waits twice as its silent server breaks off."""
        self.add_servers(break_after_silence, other_has_place=False)
        connection = self.send_stream()
        queue = self.fleet.queue(MODEL)
        self.wait_for(lambda: len(queue.waiters) == 1)
        searching = queue.waiters[0]
        self.wait_for(lambda: queue.waiters and queue.waiters[0] is not searching)
        self.assertEqual(len(queue.waiters), 1)
        self.free_other(queue.load_by_id['other'])
        self.check_whole(self.receive_all(connection))

    def test_search_ends(self):
        """Guards against a place that stays taken as the first server goes on."""
        self.add_servers(pause_within_stream, other_has_place=False)
        self.receive_all(self.send_stream())
        queue = self.fleet.queue(MODEL)
        self.assertEqual(queue.waiters, [])
        own = [load.own_requests for load in queue.load_by_id.values()]
        self.assertEqual(own, [[], []])


class TestPausingServer(SilenceCase):
    """A stream stays at a server that pauses, and leaves one that is out of reach."""

    sound_pause_ms = LONG_PAUSE_MS

    def stop_and_pause(self, exchange):
        """Accept no connection any more, and send nothing on the one in use."""
        self.first.stop()
        pause_within_stream(exchange, silence_s=LONG_SILENCE_S)

    def test_pause(self):
        """Guards against two servers at work on one request after a pause."""
        for script in (pause_within_stream, pause_before_stream):
            with self.subTest(script.__name__):
                self.add_servers(script, other_has_place=True)
                connection = self.send_stream()
                self.wait_until_asked()
                self.check_whole(self.receive_all(connection))
                self.assertEqual(len(self.other.heads), 0)
                self.doCleanups()
                self.setUp()

    def test_out_of_reach(self):
        """Guards against a stream that waits for a server that is gone."""
        self.add_servers(self.stop_and_pause, other_has_place=True)
        connection = self.send_stream()
        self.wait_until_asked()
        self.check_whole(self.receive_all(connection))
        self.assertEqual(len(self.other.heads), 1)


class TestSilentService(SilenceCase):
    """Servers that pause together are no lost path."""

    def test_path_kept(self):
        """Guards against requests sent to peers as several servers pause at once."""
        script = partial(pause_within_stream, silence_s=LONG_SILENCE_S)
        paused = [
            self.add_backend(script, service_id=MODEL)
            for _ in range(MIN_FAILED_SERVERS)
        ]
        for load in self.fleet.queue(MODEL).load_by_id.values():
            # One stream each.
            load.add_peer_load(load.server.slots - 1, 0)
        with patch.object(self.fleet.paths, '_lose') as lose:
            connections = [self.send_stream() for _ in paused]
            self.wait_for(lambda: all(server.heads for server in paused))
            for _ in paused:
                self.add_backend(resume_later, service_id=MODEL)
            for connection in connections:
                self.check_whole(self.receive_all(connection))
        lose.assert_not_called()
