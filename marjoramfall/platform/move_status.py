"""Write the status of version moves to the table that operators read."""

from collections.abc import Callable

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.message_bounds import Amount, Count
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.revision import era_of, number_of
from marjoramfall.gateway.versions.version_moves import Move, Phase, VersionMoves
from marjoramfall.platform.json_records import InvalidRecordError, decode_record
from marjoramfall.platform.store import Row, RowSet, StoreClient, StoreError

STATUS_TABLE = 'status'
STATUS_PREFIX = 'rollout/'
CHECK_INTERVAL_MS = 200
# Each entry waits this long for every live entry of its group whose VM name sorts
# before its own and for every group before its own, so that usually only one writes.
WRITE_STAGGER_MS = 400
RUNNING = 'running'
STATE_BY_PHASE = {
    Phase.RUNNING: RUNNING,
    Phase.COMPLETED: 'completed',
    Phase.ROLLED_BACK: 'rolled_back',
}


class _Status(msgspec.Struct, rename='camel'):
    state: str
    to: str
    # The revision of the operator's order within the store's era, which tells moves
    # of a service apart.
    order_revision: Count = 0
    # The time by the store's clock at which the move started.
    started_ms: Amount = 0


class MoveRecorder:
    """Write the state of each version move on behalf of all entries.

    A write is conditional on the revision of the row that was read. If two
    entries end a move differently, the first write decides and the other entry
    adopts its result.
    """

    def __init__(
        self,
        client: StoreClient,
        moves: VersionMoves,
        peers: PeerTable,
        clock: Clock,
        *,
        vm: str,
        store_era: Callable[[], int],
    ) -> None:
        self._store_era = store_era
        self._client = client
        self._moves = moves
        self._peers = peers
        self._clock = clock
        self._vm = vm
        self._recorded: set[tuple[int, str]] = set()
        self._pending_since_ms: dict[tuple[int, str], float] = {}

    def run(self) -> None:
        """Record the state of all moves at a fixed interval; never returns."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            for move in self._moves.moves:
                self.record_state(move)

    def record_state(self, move: Move) -> None:
        """Record each state of a move once, as soon as this entry may write it."""
        if self._store_era() > era_of(move.order.revision):
            # The restored store may not have the order yet, or not any more.
            return
        state = self._state_to_record(move)
        key = (move.order.revision, state)
        if key in self._recorded or not self._may_write(key):
            return
        # After a pause, peers may have withdrawn the version without this entry
        # knowing, and a completed move stops the old servers at once.
        is_completed = state == STATE_BY_PHASE[Phase.COMPLETED]
        if is_completed and not self._peers.is_in_touch():
            logger.bind(service=move.order.service_id, state=state).warning(
                'move not recorded: no peer heard'
            )
            return
        try:
            self._record(move, state)
        except StoreError as error:
            logger.bind(service=move.order.service_id, details=str(error)).warning(
                'move not recorded yet'
            )
            return
        self._recorded.add(key)

    def _state_to_record(self, move: Move) -> str:
        # The end of a move is recorded before this entry applies it, so the phase is
        # still RUNNING or WITHDRAWN when the end is due.
        phase = self._moves.due_end(move) or move.phase
        return STATE_BY_PHASE.get(phase, RUNNING)

    def _may_write(self, key: tuple[int, str]) -> bool:
        now_ms = self._clock.monotonic_ms()
        pending_since_ms = self._pending_since_ms.setdefault(key, now_ms)
        vms = (peer.state.vm for peer in self._peers.live_peers())
        groups = self._peers.groups
        earlier_entries = sum(vm < self._vm for vm in vms)
        earlier_entries += groups.names.index(groups.own_group)
        return now_ms - pending_since_ms >= earlier_entries * WRITE_STAGGER_MS

    def _record(self, move: Move, state: str) -> None:
        row_key = f'{STATUS_PREFIX}{move.order.service_id}'
        rows = self._client.read_table(STATUS_TABLE)
        order_revision = number_of(move.order.revision)
        if era_of(rows.revision) != era_of(move.order.revision):
            raise StoreError('the store was restored, and the order not read since')
        row = next((found for found in rows.rows if found.key == row_key), None)
        recorded = _decode_status(row)
        if recorded is not None and recorded.order_revision == order_revision:
            self._adopt_status(move, recorded, rows)
            if recorded.state in {state, 'completed', 'rolled_back'}:
                return
            started_ms = recorded.started_ms
        else:
            elapsed_ms = self._clock.monotonic_ms() - move.started_ms
            started_ms = rows.store_ms - elapsed_ms
        status = _Status(state, move.order.version, order_revision, started_ms)
        expected_revision = 0 if row is None else row.revision
        written = self._client.write_row(
            STATUS_TABLE,
            row_key,
            msgspec.json.encode(status),
            expected_revision=expected_revision,
        )
        if not written:
            raise StoreError('the status row has changed since it was read')
        self._end_move(move, state)

    def _adopt_status(self, move: Move, recorded: _Status, rows: RowSet) -> None:
        elapsed_ms = rows.store_ms - recorded.started_ms
        started_ms = self._clock.monotonic_ms() - elapsed_ms
        move.started_ms = min(move.started_ms, started_ms)
        self._end_move(move, recorded.state)

    def _end_move(self, move: Move, state: str) -> None:
        if state != RUNNING and move.phase < Phase.COMPLETED:
            self._moves.end(move, completed=state == STATE_BY_PHASE[Phase.COMPLETED])


def _decode_status(row: Row | None) -> _Status | None:
    try:
        return decode_record(row.content or b'', _Status) if row else None
    except InvalidRecordError as error:
        logger.bind(key=row.key, details=str(error)).warning(
            'invalid move status record'
        )
        return None
