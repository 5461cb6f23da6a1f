"""Heed what servers say of themselves in their responses."""

from collections import OrderedDict

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.crash_evidence import ServerRun
from marjoramfall.gateway.model import ServerNotice
from marjoramfall.gateway.server_load import ServerLoad

# More incarnations than a large system replaces while one of them leaves.
MAX_RUNS = 4096


class ServerNotices:
    """Remember what each incarnation of a server has said to this entry.

    This outlasts a registration that lapses and comes back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The newest last.
        self._leaving_runs: OrderedDict[ServerRun, None] = OrderedDict()
        self._resumed_ms_by_run: dict[ServerRun, float] = {}

    def on_response(
        self, load: ServerLoad, notice: ServerNotice, *, attempt_id: str
    ) -> None:
        """Apply what the response to a request says of the server."""
        if notice.is_leaving:
            self._note_leaving(load, attempt_id)
        if notice.pause_ms is not None:
            self._note_pause(load, notice.pause_ms, attempt_id)

    def apply_to_new_server(self, load: ServerLoad) -> None:
        """Apply what the server has said before it was registered again."""
        run = _run_of(load)
        if run in self._leaving_runs:
            load.note_leaving()
        load.pause_until(self._resumed_ms_by_run.get(run, 0))

    def _note_leaving(self, load: ServerLoad, attempt_id: str) -> None:
        run = _run_of(load)
        if run in self._leaving_runs:
            return
        load.note_leaving()
        self._leaving_runs[run] = None
        if len(self._leaving_runs) > MAX_RUNS:
            self._leaving_runs.popitem(last=False)
        logger.bind(request=attempt_id, server=run.server_id).info(
            'server says that it leaves'
        )

    def _note_pause(self, load: ServerLoad, pause_ms: float, attempt_id: str) -> None:
        run = _run_of(load)
        now_ms = self._clock.monotonic_ms()
        resumed_ms = max(now_ms + pause_ms, self._resumed_ms_by_run.get(run, 0))
        self._drop_ended_pauses(now_ms)
        self._resumed_ms_by_run[run] = resumed_ms
        load.pause_until(resumed_ms)
        logger.bind(
            request=attempt_id, server=run.server_id, pause_ms=round(pause_ms)
        ).info('server asks for a pause')

    def _drop_ended_pauses(self, now_ms: float) -> None:
        for run, resumed_ms in tuple(self._resumed_ms_by_run.items()):
            if resumed_ms <= now_ms:
                self._resumed_ms_by_run.pop(run)


def _run_of(load: ServerLoad) -> ServerRun:
    return ServerRun(load.server.server_id, load.server.born_ms)
