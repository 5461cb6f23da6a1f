"""Tell which runs of a call ended with their server, or with the path to it."""

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.connection_pool import SETTLING_MS, ConnectionPool
from marjoramfall.gateway.servers.outcome import Outcome
from marjoramfall.gateway.servers.server_load import ServerLoad

# Bounds the runs beyond the route's `max_attempts`: a request may be what ends each
# server it is sent to.
MAX_LOST_RUNS = 3
# How long a new connection has to last to show, after the last attempt, that the
# server is still there. Any longer wait holds up the next attempt.
LAST_SETTLING_MS = 100.0


class LostRuns:
    """Take off a call's attempts the runs that its servers did not outlast.

    Of a server that accepts connections just after it has lost one, nobody knows
    that it has ended.
    """

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    def on_outcome(self, call: Call, load: ServerLoad, outcome: Outcome) -> None:
        """Find out whether a server whose connection was lost can be reached.

        Others are not sent to one that can't be.
        """
        if not outcome.is_connection_lost or not call.may_repeat:
            return
        if call.lost_runs >= MAX_LOST_RUNS:
            return
        server = load.server
        settling_ms = SETTLING_MS if call.attempts_left > 0 else LAST_SETTLING_MS
        try:
            self._pool.open_kept(server.server_id, server.address, settling_ms)
        except NotReachedError as error:
            call.lost_runs += 1
            load.on_unreachable(self._clock.monotonic_ms())
            logger.bind(
                request=call.fields.attempt_id,
                server=server.server_id,
                details=str(error),
                runs=call.runs,
                lost_runs=call.lost_runs,
                attempts_left=call.attempts_left,
            ).info('run ended with its server: not counted as an attempt')
