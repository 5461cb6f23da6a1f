"""Heed what servers say of themselves in their responses."""

from collections import OrderedDict

from loguru import logger

from marjoramfall.gateway.crash_evidence import ServerRun
from marjoramfall.gateway.server_load import ServerLoad

# More incarnations than a large system replaces while one of them leaves.
MAX_RUNS = 4096


class ServerNotices:
    """Remember, for each incarnation of a server, that it has said that it leaves.

    This outlasts a registration that lapses and comes back.
    """

    def __init__(self) -> None:
        # The newest last.
        self._leaving_runs: OrderedDict[ServerRun, None] = OrderedDict()

    def on_response(
        self, load: ServerLoad, *, says_leaving: bool, attempt_id: str
    ) -> None:
        """Record what the response to a request says of the server."""
        run = _run_of(load)
        if says_leaving and run not in self._leaving_runs:
            load.note_leaving()
            self._leaving_runs[run] = None
            if len(self._leaving_runs) > MAX_RUNS:
                self._leaving_runs.popitem(last=False)
            logger.bind(request=attempt_id, server=load.server.server_id).info(
                'server says that it leaves'
            )

    def apply_to_new_server(self, load: ServerLoad) -> None:
        """Apply what the server has said before it was registered again."""
        if _run_of(load) in self._leaving_runs:
            load.note_leaving()


def _run_of(load: ServerLoad) -> ServerRun:
    return ServerRun(load.server.server_id, load.server.born_ms)
