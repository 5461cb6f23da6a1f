"""Carry messages between entries over ZeroMQ."""

from collections.abc import Callable

import gevent
from gevent.queue import Full, Queue
from loguru import logger
from zmq import green as zmq

from marjoramfall.messages import (
    MalformedMessageError,
    Message,
    MessageCodec,
    ProtocolVersionError,
)
from marjoramfall.process.metrics import Metrics

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
HIGH_WATER_MARK = 10_000
OUTBOX_LENGTH = 20_000
MAX_IDLE_SOCKETS = 1024
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000


class PeerTransport:
    """Receive on one socket and send on one socket per peer address."""

    def __init__(
        self,
        address: str,
        codec: MessageCodec,
        metrics: Metrics,
        *,
        deliver: Callable[[str, Message], None],
    ) -> None:
        self._address = address
        self._codec = codec
        self._metrics = metrics
        self._deliver = deliver
        self._context = zmq.Context()
        self._outbox: Queue = Queue(OUTBOX_LENGTH)
        self._sockets_by_address: dict[str, zmq.Socket] = {}
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Bind the address and start the receiving and the sending task."""
        receiver = self._context.socket(zmq.PULL)
        receiver.setsockopt(zmq.LINGER, 0)
        receiver.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        receiver.bind(f'tcp://{self._address}')
        self._tasks = [
            gevent.spawn(self._receive, receiver),
            gevent.spawn(self._send),
        ]

    def stop(self) -> None:
        """End both tasks and close their sockets."""
        gevent.killall(self._tasks)
        self._context.destroy(linger=100)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; it is dropped and counted if the queue is full."""
        try:
            self._outbox.put_nowait((address, message))
        except Full:
            self._metrics.peer_drops.inc({'reason': 'outbox_full'})

    def _send(self) -> None:
        for address, message in self._outbox:
            frame = self._codec.encode(message)
            try:
                self._socket(address).send(frame, zmq.NOBLOCK)
            except zmq.Again:
                self._metrics.peer_drops.inc({'reason': 'peer_blocked'})
                continue
            self._count('sent', message, len(frame))

    def _receive(self, receiver: zmq.Socket) -> None:
        while True:
            frame = receiver.recv()
            try:
                sender, message = self._codec.decode(frame)
            except (MalformedMessageError, ProtocolVersionError) as error:
                self._metrics.peer_drops.inc({'reason': error.code})
                logger.bind(code=error.code).warning('dropped a peer message')
                continue
            self._count('received', message, len(frame))
            self._deliver(sender, message)

    def _socket(self, address: str) -> zmq.Socket:
        existing = self._sockets_by_address.get(address)
        if existing is not None:
            return existing
        if len(self._sockets_by_address) >= MAX_IDLE_SOCKETS:
            oldest = next(iter(self._sockets_by_address))
            self._sockets_by_address.pop(oldest).close(linger=0)
        created = self._context.socket(zmq.PUSH)
        created.setsockopt(zmq.LINGER, 0)
        # Messages for a peer that is down would reach its next incarnation.
        created.setsockopt(zmq.IMMEDIATE, 1)
        created.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        created.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        created.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        created.connect(f'tcp://{address}')
        self._sockets_by_address[address] = created
        return created

    def _count(self, direction: str, message: Message, size: int) -> None:
        kind = type(message).__name__
        self._metrics.peer_messages.inc({'direction': direction, 'kind': kind})
        self._metrics.peer_bytes.add({'direction': direction}, size)
