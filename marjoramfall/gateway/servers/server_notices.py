"""Heed what servers say of themselves in their responses."""

from collections.abc import Callable

from loguru import logger

from marjoramfall.clock import MS_PER_SECOND, Clock
from marjoramfall.gateway.model import BackendServer, ServerNotice, ServerRun
from marjoramfall.gateway.servers.server_load import HeardNotices, ServerLoad

# More incarnations than a large system replaces while one of them leaves.
MAX_RUNS = 4096
MIN_REJECTIONS_PER_S = 1.0
# The server may have room again long before all entries have asked it.
MAX_BRITTLE_PAUSE_MS = 3000.0


class ServerNotices:
    """Remember what each incarnation of a server has said to this entry.

    This outlasts a registration that lapses and comes back.
    """

    def __init__(
        self,
        clock: Clock,
        find_load: Callable[[str], ServerLoad | None],
        *,
        entry_count: Callable[[], int],
        on_cold: Callable[[BackendServer, float], None] | None = None,
    ) -> None:
        self._clock = clock
        self._entry_count = entry_count
        self._on_cold = on_cold
        self._find_load = find_load
        # The first heard of come first.
        self._heard_by_run: dict[ServerRun, HeardNotices] = {}

    def on_response(
        self, load: ServerLoad, notice: ServerNotice, *, attempt_id: str
    ) -> None:
        """Apply what the response to a request says of the server."""
        if notice.cold_ms and self._on_cold is not None:
            self._on_cold(load.server, notice.cold_ms)
        pause_ms = self._pause_ms(notice)
        if not notice.is_leaving and pause_ms is None:
            return
        heard = self._find(load.server.run)
        log = logger.bind(request=attempt_id, server=load.server.server_id)
        if notice.is_leaving and not heard.is_leaving:
            heard.is_leaving = True
            log.info('server says that it leaves')
        if pause_ms is not None:
            resumed_ms = self._clock.monotonic_ms() + pause_ms
            heard.resumed_ms = max(heard.resumed_ms, resumed_ms)
            log.bind(
                pause_ms=round(pause_ms), rejections_per_s=notice.rejections_per_s
            ).info('server asks for a pause')

    def apply_to_new_server(self, load: ServerLoad) -> None:
        """Apply what the server has said before it was registered again."""
        heard = self._heard_by_run.get(load.server.run)
        if heard is not None:
            load.use_notices(heard)

    def _pause_ms(self, notice: ServerNotice) -> float | None:
        """Return how long to send nothing after a response, None to go on.

        Each entry may be rejected only so often that all together stay below what the
        server bears.
        """
        if notice.rejections_per_s is None:
            return notice.pause_ms
        rate_per_s = max(notice.rejections_per_s, MIN_REJECTIONS_PER_S)
        pause_ms = MS_PER_SECOND * self._entry_count() / rate_per_s
        return max(notice.pause_ms or 0, min(pause_ms, MAX_BRITTLE_PAUSE_MS))

    def _find(self, run: ServerRun) -> HeardNotices:
        heard = self._heard_by_run.get(run)
        if heard is not None:
            return heard
        heard = HeardNotices()
        self._heard_by_run[run] = heard
        # The server may have been registered again since the request was sent.
        load = self._find_load(run.server_id)
        if load is not None and load.server.run == run:
            load.use_notices(heard)
        if len(self._heard_by_run) > MAX_RUNS:
            self._heard_by_run.pop(next(iter(self._heard_by_run)))
        return heard
