"""Begin streams at a slow server, and script what a move of them meets."""

import json
from functools import partial

from gevent import sleep
from gevent.event import Event

from marjoramfall.gateway.model import RepeatRule, Service, WeightedService
from tests.gateway_case import GatewayCase, answer, read_attempt, start_events
from tests.gateway_fakes import MODEL, make_config, make_route

HANDLE = 'h-7'
OK = '200 OK'
NO_RUN = '404 Not Found'
BUSY = '409 Conflict'
NO_ROOM = '503 Service Unavailable'
END_OF_CHUNKS = b'0\r\n\r\n'
SLOW_GAP_S = 0.02
FAST_GAP_MS = 0.1
# A destination counts as fast only once it is well measured.
KNOWN_SAMPLES = 10
FIRST_EVENTS = 5
REST = FIRST_EVENTS + 1
USAGE = 'Marjoramfall-Token-Usage: 10,1000'
COPY = 'POST /-/kv-move'
DROP = f'DELETE /-/kv-handle/{HANDLE}'


def stream_route(name, rule, **changes):
    """Return a route of streams that a slow server does not end in time."""
    return make_route(
        name,
        rule,
        services=(WeightedService(MODEL, 1),),
        is_stream=True,
        timeout_ms=6000,
        **changes,
    )


def answer_copy(exchange, status=OK, handle=HANDLE):
    """Answer a call to copy a run."""
    body = {'handle': handle, 'createRevision': FIRST_EVENTS} if handle else {}
    exchange.respond(json.dumps(body).encode(), status)


def answer_nothing(exchange):
    """End the connection without an answer."""
    return False


def refuse(exchange):
    """Say that a request was not run."""
    answer(exchange, status=NO_ROOM, extra='Marjoramfall-Not-Executed: 1\r\n')


def send_rest(exchange, first=REST):
    """Send the last events of a stream, and its end."""
    start_events(exchange)
    for number in (first, first + 1):
        exchange.event(str(number), f'e{number}')
    exchange.write(END_OF_CHUNKS)


def send_plain_event(exchange, number, text):
    """Send an event in a body without chunks."""
    exchange.write(f'id: {number}\ndata: {text}\n\n'.encode())


def is_call(head, start):
    """Return whether this is the head of a request that starts so."""
    return head.startswith(start.encode())


class MoveCase(GatewayCase):
    """Begin a stream at a slow server, then offer a fast one."""

    repeat_rule = RepeatRule.AT_MOST_ONCE
    max_attempts = 1

    def setUp(self):
        super().setUp()
        self.use_service(revision=2)
        self.has_stopped = Event()
        self.ends_whole = False

    def use_service(self, revision, **changes):
        """Use a service whose runs can be moved."""
        config = make_config(
            revision,
            routes=(
                stream_route('long', self.repeat_rule, max_attempts=self.max_attempts),
            ),
        )
        fields = {'is_model': True, 'tokens_per_event': 1, 'moves_runs': True}
        config.service_by_id[MODEL] = Service(MODEL, 100, **{**fields, **changes})
        self.registry.put_config(config, revision)

    def begin(self, exchange):
        """Send events slowly until the run stops, then end without an end."""
        start_events(exchange)
        self.send_first(exchange)
        if self.ends_whole:
            exchange.event(str(FIRST_EVENTS + 1), f'e{FIRST_EVENTS + 1}')
            exchange.event(str(FIRST_EVENTS + 2), f'e{FIRST_EVENTS + 2}')
            exchange.write(END_OF_CHUNKS)
        return False

    def begin_without_length(self, exchange):
        """Send a stream that ends with its connection."""
        head = f'HTTP/1.1 200 OK\r\nMarjoramfall-Attempt-Id: {read_attempt(exchange)}'
        exchange.write(head.encode() + b'\r\n\r\n')
        exchange.event = partial(send_plain_event, exchange)
        self.send_first(exchange)
        return False

    def send_first(self, exchange):
        """Send the first events, the last of them as the run stops."""
        for number in range(1, FIRST_EVENTS):
            exchange.event(str(number), f'e{number}')
            sleep(SLOW_GAP_S)
        self.has_stopped.wait()
        exchange.event(str(FIRST_EVENTS), f'e{FIRST_EVENTS}')

    def stop(self, exchange, status=OK, handle=HANDLE):
        """Stop the run and answer."""
        self.has_stopped.set()
        answer_copy(exchange, status, handle)

    def stop_silently(self, exchange):
        """Stop the run and lose the answer."""
        self.has_stopped.set()
        return False

    def finish(self, exchange, status):
        """Answer a call to copy a run that ends by itself."""
        self.ends_whole = True
        self.has_stopped.set()
        answer_copy(exchange, status, '')

    def start(self, *copies, begin=None, destination=None):
        """Return the connection of a caller whose stream is to move."""
        self.source = self.add_backend(
            begin or self.begin, *copies, service_id=MODEL, server_id='slow'
        )
        connection = self.send('/long/1', USAGE, 'Connection: close', method='POST')
        self.began = self.receive(connection, f'e{FIRST_EVENTS - 1}'.encode())
        self.destination = self.add_backend(
            destination or send_rest, service_id=MODEL, server_id='fast'
        )
        load = self.load('fast')
        for _ in range(KNOWN_SAMPLES):
            load.speeds.add_event_sample(FAST_GAP_MS)
        self.forwarder.moves.look()
        return connection

    def load(self, server_id):
        """Return the load of a server."""
        return self.fleet.queue(MODEL).load_by_id[server_id]

    def check_whole(self, connection):
        """Check that each event came once, in order, and then the end."""
        received = self.began + self.receive_all(connection)
        ids = [line[4:] for line in received.split(b'\n') if line.startswith(b'id: ')]
        expected = [str(number).encode() for number in range(1, FIRST_EVENTS + 3)]
        self.assertEqual(ids, expected)
        self.assertTrue(received.endswith(END_OF_CHUNKS))
        self.assertEqual(received.count(b'HTTP/1.1 200'), 1)
        self.check_free()

    def check_broken(self, connection):
        """Check that the stream ended and does not look whole."""
        received = self.receive_all(connection)
        self.assertFalse(received.endswith(END_OF_CHUNKS))
        self.check_free()

    def check_free(self):
        """Check that no place is held any more."""
        self.wait_for(partial(self.is_free, 'slow'))
        self.wait_for(partial(self.is_free, 'fast'))

    def is_free(self, server_id):
        """Return whether no place of a server is held."""
        return not self.load(server_id).own_requests

    def streams_of(self, backend):
        """Return the heads of the streams that a server was asked for."""
        return [head.decode() for head in backend.heads if is_call(head, 'POST /long')]

    def copies_of(self, backend):
        """Return how many calls to copy a run a server got."""
        return sum(is_call(head, COPY) for head in backend.heads)

    def check_goes_on(self, head, last_event=FIRST_EVENTS):
        """Check that a request goes on from the copy after an event."""
        copy = f'kv-from: {self.source.address}/{HANDLE}\r\n'
        self.assertIn(copy, head.lower())
        self.assertIn(f'last-event-id: {last_event}\r\n', head.lower())

    def wait_for_drop(self):
        """Wait until the copy is freed."""
        self.wait_for(lambda: any(is_call(head, DROP) for head in self.source.heads))
