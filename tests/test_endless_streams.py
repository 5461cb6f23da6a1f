"""Test callers of an entry while a server sends the body of a stream without end.

The pattern is a faulty server that sends faster than its entry reads, so that bytes
are always at hand: bytes that add nothing, or events that never end.
"""

import socket as blocking_socket
import threading
import unittest
from contextlib import suppress

from gevent import spawn

from marjoramfall.gateway.registry import ServerChange
from marjoramfall.gateway.servers.event_splitter import (
    EventSplitter,
    StreamOverheadError,
)
from tests.gateway_case import GatewayCase, answer
from tests.gateway_fakes import MODEL, PLAIN, make_config, make_route, make_server

HEAD = (
    b'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: %b\r\n'
    b'Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n'
)
BLOCK_BYTES = 65_536
PART_BYTES = 1000
FLOODS = 4
BOOKINGS = 10
FLOOD_DEADLINE_MS = 6000
# Events without an id are never repeated ones.
NEW_EVENTS = b'data: a\n\n' * (BLOCK_BYTES // 9)
OVERHEAD_BLOCKS = {
    'line feeds': b'\n' * BLOCK_BYTES,
    'line ends': b'\r\n' * (BLOCK_BYTES // 2),
    'comments': b':\n\n' * (BLOCK_BYTES // 3),
    'comment lines': b': comment\n' * (BLOCK_BYTES // 10),
    'a repeated event': b'id: 1\ndata: a\n\n' * (BLOCK_BYTES // 15),
    'an event without end': b'x' * BLOCK_BYTES,
}


def feed_in_parts(splitter, stream):
    """Feed a stream in parts that are smaller than the bound."""
    for begin in range(0, len(stream), PART_BYTES):
        splitter.feed(stream[begin : begin + PART_BYTES])


class FloodingServer:
    """Send a block without end in threads, which go on while greenlets are busy."""

    def __init__(self, block):
        self._block = block
        self._listener = blocking_socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Listen no more; connections end as the gateway closes them."""
        self._listener.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, suppress(OSError):
            head = connection.recv(BLOCK_BYTES)
            _, _, rest = head.lower().partition(b'attempt-id: ')
            connection.sendall(HEAD % rest.partition(b'\r\n')[0])
            while True:
                connection.sendall(self._block)


class TestOtherCallers(GatewayCase):
    """Callers of sound servers are served beside streams without end."""

    def setUp(self):
        super().setUp()
        flood = make_route(
            'flood',
            services=make_config().find_route('a.example', '/review/1').services,
            is_stream=True,
            timeout_ms=FLOOD_DEADLINE_MS,
            max_attempts=1,
        )
        read = make_route('read', timeout_ms=FLOOD_DEADLINE_MS)
        self.registry.put_config(make_config(2, routes=(flood, read)), 2)

    def add_flooding(self, block):
        """Register a server that sends a block without end."""
        flooding = FloodingServer(block)
        self.addCleanup(flooding.stop)
        server = make_server(
            'flooding', address=flooding.address, service_id=MODEL, slots=FLOODS
        )
        revision = self.registry.servers_state.as_of + 1
        change = ServerChange('flooding', server, revision)
        self.registry.apply_changes([change], revision)

    def test_new_events(self):
        """Guards against an entry that answers nobody until a flood has ended."""
        self.add_flooding(NEW_EVENTS)
        self.add_backend(answer, service_id=PLAIN)
        floods = [
            spawn(self.receive_all, self.send('/flood/1', 'Connection: close'))
            for _ in range(FLOODS)
        ]
        load = self.fleet.queue(MODEL).load_by_id['flooding']
        self.wait_for(lambda: len(load.own_requests) == FLOODS)
        for _ in range(BOOKINGS):
            self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(len(load.own_requests), FLOODS)
        for flood in floods:
            flood.kill()

    def test_no_new_events(self):
        """Guards against a stream that goes on with bytes that add nothing."""
        for name, block in OVERHEAD_BLOCKS.items():
            with self.subTest(name):
                self.add_flooding(block)
                received = self.receive_all(self.send('/flood/1', 'Connection: close'))
                self.assertEqual(received.count(b'data: a'), 1)
                self.assertFalse(received.endswith(b'0\r\n\r\n'))
                self.doCleanups()
                self.setUp()


class TestOverhead(unittest.TestCase):
    """A stream may hold a bounded number of bytes that add no event."""

    def test_bound(self):
        """Guards against overhead that is split so that no part exceeds the bound."""
        for name, block in OVERHEAD_BLOCKS.items():
            with self.subTest(name):
                splitter = EventSplitter()
                splitter.feed(b'id: 1\ndata: a\n\n')
                with self.assertRaises(StreamOverheadError):
                    feed_in_parts(splitter, 2 * block)

    def test_added_before_overhead(self):
        """Guards against a hole in a resumed stream.

        An event that arrives together with too many other bytes is returned, as its
        id counts as forwarded.
        """
        splitter = EventSplitter()
        event = b'id: 1\ndata: a\n\n'
        self.assertTrue(splitter.feed(event + 2 * BLOCK_BYTES * b'x').startswith(event))

    def test_long_ids(self):
        """Guards against an error of the entry itself at an id of thousands of digits.

        Python converts no number of more than 4,300 digits.
        """
        splitter = EventSplitter()
        digits = b'9' * 5000
        events = [b'id: 1%b\ndata: a\n\n' % digits, b'id: 2%b\ndata: b\n\n' % digits]
        for event in events:
            self.assertEqual(splitter.feed(event), event)
        self.assertEqual(splitter.feed(b'id: 0007\ndata: c\n\n'), b'')

    def test_repeated_stream(self):
        """Guards against breaking off a server that repeats all that came before."""
        splitter = EventSplitter()
        text = b'x' * 1000
        events = [b'id: %d\ndata: %b\n\n' % (number, text) for number in range(200)]
        splitter.feed(b''.join(events))
        splitter.discard_partial_event()
        self.assertEqual(splitter.feed(b''.join(events)), b'')

    def test_empty_lines(self):
        """Guards against events that are changed or held back by empty lines."""
        splitter = EventSplitter()
        stream = b'\n\r\nid: 1\ndata: a\n\n\n\n\r\n\nid: 2\r\ndata: b\r\n\r\n'
        self.assertEqual(splitter.feed(stream), stream)
        self.assertEqual(splitter.event_count, 2)
