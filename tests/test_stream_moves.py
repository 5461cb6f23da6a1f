"""Test what callers get as their running streams move to a faster server.

The pattern is a long answer that began at a slow server and would not end before its
deadline, with each ending that the platform names for a move.
"""

from functools import partial

from gevent import sleep
from gevent.event import Event

from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.servers.server_load import HeardNotices
from tests.gateway_case import start_events
from tests.move_case import (
    BUSY,
    DROP,
    FIRST_EVENTS,
    NO_ROOM,
    NO_RUN,
    SLOW_GAP_S,
    MoveCase,
    answer_copy,
    answer_nothing,
    is_call,
    refuse,
    send_rest,
)


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
    """A stream that may be resumed leaves a server only once its run has stopped.

    The pattern is review/7: a server works on after its connection was closed.
    """

    repeat_rule = RepeatRule.RESUMABLE
    max_attempts = 2

    def test_stopped(self):
        """Guards against a run that goes on at two servers at once."""
        connection = self.start(answer_copy, self.stop)
        self.check_whole(connection)
        self.assertEqual(self.copies_of(self.source), 2)
        self.check_goes_on(self.streams_of(self.destination)[0])

    def test_no_way_to_stop(self):
        """Guards against leaving a server that can't be told to stop a run."""
        self.use_service(revision=3, moves_runs=False)
        connection = self.start()
        self.ends_whole = True
        self.has_stopped.set()
        self.check_whole(connection)
        self.assertEqual(self.copies_of(self.source), 0)
        self.assertEqual(self.destination.heads, [])
