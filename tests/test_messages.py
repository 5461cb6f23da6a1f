import unittest

import msgspec

from marjoramfall.messages import (
    Heartbeat,
    MalformedMessageError,
    MessageCodec,
    ProtocolVersionError,
)


class MessageCodecTest(unittest.TestCase):
    """Check that only whole messages of this protocol version are accepted."""

    def setUp(self):
        self.codec = MessageCodec('vm-1.0.a')
        self.heartbeat = Heartbeat(
            address='127.0.0.1:1', revision=3, head_age_ms=None, store_reachable=True
        )

    def test_round_trip(self):
        """Guards against a message that changes on its way to a peer."""
        sender, message = self.codec.decode(self.codec.encode(self.heartbeat))
        self.assertEqual((sender, message), ('vm-1.0.a', self.heartbeat))

    def test_malformed(self):
        """Guards against garbage that ends the receiving task."""
        frame = self.codec.encode(self.heartbeat)
        for broken in (b'', b'garbage', frame[:-3]):
            with self.assertRaises(MalformedMessageError):
                self.codec.decode(broken)

    def test_other_version(self):
        """Guards against reading fields of another protocol version."""
        parts = msgspec.msgpack.decode(self.codec.encode(self.heartbeat))
        parts[0] += 1
        with self.assertRaises(ProtocolVersionError):
            self.codec.decode(msgspec.msgpack.encode(parts))
