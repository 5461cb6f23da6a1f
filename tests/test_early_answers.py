"""Test answers that a server gives before it has read a long body.

The patterns are those of review/6 and of what operators of similar systems reported: a
server answers early and reads on later, or resets the connection within the upload.
"""

import struct
import unittest
from contextlib import suppress

from gevent import event, sleep, socket
from gevent.server import StreamServer

from marjoramfall.gateway.servers.backend_connection import (
    BackendConnection,
    ConnectionLostError,
    ServerTimeoutError,
)

BODY_BYTES = 3_000_000
# As on links with small windows, most of the body waits at the sender.
WINDOW_BYTES = 4096
RECEIVE_BYTES = 65536
TIMEOUT_MS = 5000
# Shorter than the time in which the server reads on.
SHORT_TIMEOUT_MS = 30
PAUSE_S = 0.2
HEAD_END = b'\r\n\r\n'
PART = b'part'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n' + PART
FRAMED = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n' + PART
# With a linger time of 0, closing resets the connection.
RESETTING = struct.pack('ii', 1, 0)


class UploadCase(unittest.TestCase):
    """Send a long body to a server with a small window."""

    def setUp(self):
        self.may_read_on = event.Event()
        self.received = bytearray()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        server = StreamServer(listener, self.serve)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        host, port = listener.getsockname()
        self.connection = BackendConnection(f'{host}:{port}', connect_timeout_ms=1000)
        self.addCleanup(self.connection.close)
        self.body = bytes(range(250)) * (BODY_BYTES // 250)

    def serve(self, accepted, _address):
        """Read the head of a request and go on as the test says."""
        with suppress(OSError):
            while HEAD_END not in self.received:
                self.received += accepted.recv(RECEIVE_BYTES)
            self.answer(accepted)

    def answer(self, accepted):
        """Answer the request whose head was read."""
        raise NotImplementedError

    def read_on(self, accepted):
        """Read the rest of the body, once the test lets it."""
        self.may_read_on.wait()
        while len(self.received_body) < len(self.body):
            received = accepted.recv(RECEIVE_BYTES)
            if not received:
                return
            self.received += received

    @property
    def received_body(self):
        """Return what the server has received after the head."""
        return bytes(self.received).partition(HEAD_END)[2]

    def send(self):
        """Send the request."""
        head = b'PUT / HTTP/1.1\r\nContent-Length: %d' % len(self.body)
        self.connection.send(head + HEAD_END + self.body)

    def time_out(self):
        """Wait for the answer for less time than the server needs."""
        with self.assertRaises(ServerTimeoutError):
            self.connection.read_response(SHORT_TIMEOUT_MS)

    def finish(self, response):
        """Read the answer; return whether the connection may be used again."""
        self.connection.read_all(response, TIMEOUT_MS)
        return self.connection.finish(response, 0)


class TestLateReader(UploadCase):
    """A server reads on after the time for which the reader of the answer waits."""

    def answer(self, accepted):
        """Read on, then answer."""
        self.read_on(accepted)
        accepted.sendall(FRAMED)

    def test_whole_body(self):
        """Guards against a body that is cut as the wait for its answer times out."""
        self.send()
        self.time_out()
        sleep(PAUSE_S)
        self.may_read_on.set()
        response = self.connection.read_response(TIMEOUT_MS)
        self.assertEqual(self.received_body, self.body)
        self.assertTrue(self.finish(response))


class TestEarlyAnswer(UploadCase):
    """A server answers first, keeps the connection and reads on later."""

    def answer(self, accepted):
        """Answer after the reader has timed out once, then read on."""
        sleep(PAUSE_S)
        accepted.sendall(FRAMED)
        self.read_on(accepted)

    def test_reuse(self):
        """Guards against the next request in place of the rest of a body."""
        self.send()
        self.time_out()
        response = self.connection.read_response(TIMEOUT_MS)
        self.assertFalse(self.finish(response))


class TestResetUpload(UploadCase):
    """A server resets the connection after an early part of its answer."""

    def answer(self, accepted):
        """Send a part of an answer without a length, and reset the connection."""
        accepted.sendall(UNFRAMED)
        self.may_read_on.wait()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
        accepted.close()

    def test_sender_first(self):
        """Guards against a part as the whole answer where the sender is told first.

        The system reports the reset once, and its end to all who read after that.
        """
        self.send()
        response = self.connection.read_response(TIMEOUT_MS)
        self.may_read_on.set()
        sleep(PAUSE_S)
        with self.assertRaises(ConnectionLostError):
            self.connection.read_all(response, TIMEOUT_MS)

    def test_one_report(self):
        """Guards against a sender that takes the only report of a reset."""
        self.send()
        response = self.connection.read_response(TIMEOUT_MS)
        self.may_read_on.set()
        sleep(PAUSE_S)
        with self.assertRaisesRegex(ConnectionLostError, 'reset'):
            self.connection.read_all(response, TIMEOUT_MS)


class TestEndedAnswer(UploadCase):
    """A server ends its early answer, and reads the body."""

    def answer(self, accepted):
        """Send an answer whose end is that of the connection."""
        accepted.sendall(UNFRAMED)
        accepted.shutdown(socket.SHUT_WR)
        self.read_on(accepted)

    def test_whole(self):
        """Guards against refusing a whole answer as its request is still sent."""
        self.send()
        response = self.connection.read_response(TIMEOUT_MS)
        self.assertEqual(self.connection.read_all(response, TIMEOUT_MS), PART)

    def test_closed_while_sent(self):
        """Guards against refusing a whole answer as its server closes after it."""
        self.send()
        response = self.connection.read_response(TIMEOUT_MS)
        sleep(PAUSE_S)
        self.assertEqual(self.connection.read_all(response, TIMEOUT_MS), PART)
