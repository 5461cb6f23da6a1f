"""Test what callers get as their running streams move to a faster server.

The pattern is a long answer that began at a slow server and would not end before its
deadline, with each ending that the platform names for a move.
"""

import json
from functools import partial

from gevent import sleep
from gevent.event import Event

from marjoramfall.gateway.model import RepeatRule, Service, WeightedService
from marjoramfall.gateway.servers.server_load import HeardNotices
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
        config.service_by_id[MODEL] = Service(
            MODEL, 100, is_model=True, tokens_per_event=1, moves_runs=True, **changes
        )
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


class TestMove(MoveCase):
    """A stream that may run once only goes on from a copy of its run."""

    def test_copied(self):
        """Guards against a lost or doubled event, and a run of its own."""
        connection = self.start(answer_copy, self.stop)
        self.check_whole(connection)
        self.assertEqual(len(self.streams_of(self.source)), 1)
        self.check_goes_on(self.streams_of(self.destination)[0])
        self.assertFalse(any(is_call(head, DROP) for head in self.source.heads))

    def test_stream_without_length(self):
        """Guards against a stream that looks whole as its run has stopped."""
        self.check_whole(
            self.start(answer_copy, self.stop, begin=self.begin_without_length)
        )

    def test_stays(self):
        """Guards against a stream that is cut as its run can't be copied."""
        for status in (NO_RUN, BUSY, NO_ROOM):
            with self.subTest(status):
                self.doCleanups()
                self.setUp()
                connection = self.start(partial(answer_copy, status=status, handle=''))
                self.wait_for(partial(self.is_free, 'fast'))
                self.ends_whole = True
                self.has_stopped.set()
                self.check_whole(connection)
                self.assertEqual(self.copies_of(self.source), 1)
                self.assertEqual(self.destination.heads, [])

    def test_copy_answer_lost(self):
        """Guards against a stop while nobody knows of a copy."""
        connection = self.start(answer_nothing)
        self.wait_for(partial(self.is_free, 'fast'))
        self.ends_whole = True
        self.has_stopped.set()
        self.check_whole(connection)
        self.assertEqual(self.destination.heads, [])

    def test_ended_before_stop(self):
        """Guards against a whole stream that is taken for a stopped one."""
        connection = self.start(answer_copy, partial(self.finish, status=NO_RUN))
        self.check_whole(connection)
        self.assertEqual(self.destination.heads, [])
        self.wait_for_drop()


class TestStoppedRun(MoveCase):
    """A run that has stopped goes on once, wherever that is certain."""

    def die_at_source(self, exchange):
        """End the source during a call to copy its run."""
        self.source.stop()
        self.has_stopped.set()
        return False

    def refuse_late(self, exchange):
        """Refuse a request as its source has begun to leave."""
        self.load('slow').use_notices(HeardNotices(is_leaving=True))
        refuse(exchange)

    def copy_late(self, exchange):
        """Answer a call as the destination has begun to leave."""
        self.load('fast').use_notices(HeardNotices(is_leaving=True))
        answer_copy(exchange)

    def die(self, exchange):
        """End the destination as it gets the stream."""
        self.destination.stop()
        return False

    def die_later(self, exchange):
        """End the destination after an event."""
        start_events(exchange)
        exchange.event(str(FIRST_EVENTS + 1), f'e{FIRST_EVENTS + 1}')
        sleep(SLOW_GAP_S)
        return self.die(exchange)

    def test_no_room(self):
        """Guards against a stream cut as its last copy finds no room."""
        connection = self.start(
            answer_copy, partial(self.stop, status=NO_ROOM), send_rest
        )
        self.check_whole(connection)
        self.check_goes_on(self.streams_of(self.source)[1])
        self.assertEqual(self.destination.heads, [])

    def test_stop_answer_lost(self):
        """Guards against a stopped run whose handle nobody knows."""
        connection = self.start(answer_copy, self.stop_silently, answer_copy)
        self.check_whole(connection)
        self.check_goes_on(self.streams_of(self.destination)[0])

    def test_all_stop_answers_lost(self):
        """Guards against a second run of a stream that may have stopped."""
        connection = self.start(answer_copy, self.stop_silently, answer_nothing)
        self.check_broken(connection)
        self.assertEqual(self.destination.heads, [])
        self.assertEqual(len(self.streams_of(self.source)), 1)

    def test_no_length_and_no_answer(self):
        """Guards against a stopped stream that looks whole, as it has no length."""
        connection = self.start(
            answer_copy,
            self.stop_silently,
            answer_nothing,
            begin=self.begin_without_length,
        )
        self.check_broken(connection)

    def test_scarce_memory(self):
        """Guards against counting a run twice at the server that holds its place."""
        self.use_service(revision=3, memory_tokens=1900)
        connection = self.start(answer_copy, self.stop)
        self.check_whole(connection)
        self.check_goes_on(self.streams_of(self.destination)[0])

    def test_source_killed(self):
        """Guards against a run elsewhere after the source died during the copy."""
        self.check_broken(self.start(self.die_at_source))
        self.assertEqual(self.destination.heads, [])

    def test_destination_refuses(self):
        """Guards against a stream cut as its destination does not run it."""
        connection = self.start(answer_copy, self.stop, send_rest, destination=refuse)
        self.check_whole(connection)
        self.check_goes_on(self.streams_of(self.source)[1])

    def test_both_refuse(self):
        """Guards against a run without the memory of the first one."""
        connection = self.start(answer_copy, self.stop, refuse, destination=refuse)
        self.check_broken(connection)
        self.assertEqual(len(self.streams_of(self.source)), 2)
        self.assertEqual(len(self.streams_of(self.destination)), 1)

    def test_copy_lapsed(self):
        """Guards against a request for a copy that its source has dropped."""
        self.use_service(revision=3, copy_kept_ms=0.001)
        connection = self.start(answer_copy, self.stop, destination=refuse)
        self.check_broken(connection)
        self.assertEqual(len(self.streams_of(self.source)), 1)

    def test_source_leaves(self):
        """Guards against a request to a server that is about to stop."""
        connection = self.start(answer_copy, self.stop, destination=self.refuse_late)
        self.check_broken(connection)
        self.assertEqual(len(self.streams_of(self.source)), 1)

    def test_destination_leaves(self):
        """Guards against a request to a destination that leaves during the copy."""
        connection = self.start(self.copy_late, self.stop, send_rest)
        self.check_whole(connection)
        self.assertEqual(self.streams_of(self.destination), [])
        self.check_goes_on(self.streams_of(self.source)[1])

    def test_destination_dies(self):
        """Guards against a stream cut as its destination dies after the stop."""
        connection = self.start(answer_copy, self.stop, send_rest, destination=self.die)
        self.check_whole(connection)
        self.check_goes_on(self.streams_of(self.source)[1])

    def test_destination_dies_later(self):
        """Guards against an event that comes twice as the source goes on."""
        connection = self.start(
            answer_copy, self.stop, send_rest, destination=self.die_later
        )
        self.check_whole(connection)
        head = self.streams_of(self.source)[1]
        self.check_goes_on(head, last_event=FIRST_EVENTS + 1)

    def test_uncertain_destination(self):
        """Guards against a run at both servers after a lost connection."""
        connection = self.start(
            answer_copy, self.stop, send_rest, destination=answer_nothing
        )
        self.check_broken(connection)
        self.assertEqual(len(self.streams_of(self.source)), 1)

    def test_budget_spent(self):
        """Guards against moves beyond the budget that all entries share."""
        self.fleet.retries.try_move = lambda call: False
        connection = self.start()
        self.ends_whole = True
        self.has_stopped.set()
        self.check_whole(connection)
        self.assertEqual(self.copies_of(self.source), 0)


class TestLeavingCaller(MoveCase):
    """A caller that leaves leaves no copy and no run behind."""

    def leave(self, exchange):
        """Let the caller leave before the answer."""
        self.is_started.wait()
        self.connection.close()
        self.wait_for(lambda: not self.gateway.in_flight)
        answer_copy(exchange)

    def check_dropped(self, *copies):
        """Check that the copy is freed, and not used."""
        self.is_started = Event()
        self.connection = self.start(*copies, self.leave, answer_copy)
        self.is_started.set()
        self.wait_for_drop()
        self.check_free()
        self.assertEqual(self.destination.heads, [])
        self.has_stopped.set()

    def test_during_copy(self):
        """Guards against a copy that stays until it expires."""
        self.check_dropped()

    def test_during_stop(self):
        """Guards against a stopped run that goes on for nobody."""
        self.check_dropped(answer_copy)


class TestResumableMove(MoveCase):
    """A stream that may be resumed moves without a copy."""

    repeat_rule = RepeatRule.RESUMABLE
    max_attempts = 2

    def test_resumed(self):
        """Guards against a copy where the route needs none."""
        connection = self.start(destination=partial(send_rest, first=FIRST_EVENTS))
        received = self.began + self.receive_all(connection)
        self.assertIn(f'id: {FIRST_EVENTS + 1}\n'.encode(), received)
        self.assertTrue(received.endswith(END_OF_CHUNKS))
        head = self.streams_of(self.destination)[0].lower()
        self.assertIn(f'last-event-id: {FIRST_EVENTS - 1}\r\n', head)
        self.assertNotIn('kv-from', head)
        self.assertEqual(self.copies_of(self.source), 0)
        self.has_stopped.set()
        self.check_free()
