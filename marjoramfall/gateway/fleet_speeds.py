"""Compare the speeds of model servers and sum them up for other groups."""

from collections.abc import Collection, Mapping

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.group_digest import Scope
from marjoramfall.gateway.peers.peer_loads import PeerLoads
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.length_estimate import LengthEstimates
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.server_speeds import US_PER_MS, Speed
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.speed_prior import expect_speeds

# A speed that was not measured for this long weighs half beside those of peers.
FADE_INTERVAL_MS = 5000.0
# A speed is logged again once it has changed by this factor.
LOGGED_CHANGE = 1.5


class FleetSpeeds:
    """Keep what follows from the speeds of all servers up to date."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTable,
        peer_loads: PeerLoads,
        *,
        load_by_id: Mapping[str, ServerLoad],
        queue_by_service: Mapping[str, ServiceQueue],
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._peer_loads = peer_loads
        self._load_by_id = load_by_id
        self._queue_by_service = queue_by_service
        self._faded_ms = clock.monotonic_ms()
        self._logged_ms_by_server: dict[str, float] = {}
        self.lengths = LengthEstimates()

    def compare(self) -> None:
        """Compare the speeds of the servers of each model service."""
        self._fade()
        for queue in self._queue_by_service.values():
            loads = queue.load_by_id.values()
            if any(load.is_model for load in loads):
                expect_speeds(loads)
                queue.fast_slots.update(loads)
                self._log_changes(loads)

    def remove(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._logged_ms_by_server.pop(server_id, None)

    def unmeasured_count(self) -> int:
        """Return the number of model servers whose speed is not known."""
        return sum(
            load.is_model and not load.speeds.is_known
            for load in self._load_by_id.values()
        )

    def spared_count(self) -> int:
        """Return how many requests left a fast slot to others since the start."""
        return sum(
            queue.fast_slots.spared_count for queue in self._queue_by_service.values()
        )

    def for_digest(self, scope: Scope) -> dict[str, Speed]:
        """Return the speeds that a digest of this scope sums up."""
        if scope is Scope.OTHER_GROUPS:
            return self._peer_loads.model_speeds_of(self._peers.outside.live_sources())
        sources = {peer.state.vm for peer in self._peers.live_peers()}
        own = {
            server_id: load.speeds.own for server_id, load in self._load_by_id.items()
        }
        return self._peer_loads.model_speeds_of(sources, own)

    def _fade(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._faded_ms < FADE_INTERVAL_MS:
            return
        self._faded_ms = now_ms
        for load in self._load_by_id.values():
            if load.is_model:
                load.speeds.fade()

    def _log_changes(self, loads: Collection[ServerLoad]) -> None:
        for load in loads:
            logged_ms = self._logged_ms_by_server.get(load.server.server_id, 0)
            event_ms = load.speeds.event_ms
            is_close = logged_ms <= event_ms * LOGGED_CHANGE and (
                event_ms <= logged_ms * LOGGED_CHANGE
            )
            if load.speeds.is_known and not is_close:
                self._log_speed(load, logged_ms)

    def _log_speed(self, load: ServerLoad, logged_ms: float) -> None:
        speeds = load.speeds
        self._logged_ms_by_server[load.server.server_id] = speeds.event_ms
        logger.bind(
            server=load.server.server_id,
            event_ms=round(speeds.event_ms, 1),
            before_ms=round(logged_ms, 1),
            token_us=round(speeds.token_ms * US_PER_MS, 1),
            own_samples=speeds.own.samples,
            peer_samples=speeds.peers.samples,
        ).info('speed of a server learned')
