"""Keep servers that have just started to the rate that they bear."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.model import BackendServer, ServerRun, Service
from marjoramfall.gateway.servers.cold_bounds import ColdBounds
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.placement_rules import PlacementRule
from marjoramfall.gateway.servers.server_load import ServerLoad

# What a registration or an answer says of the time left is read a little later.
END_MARGIN_MS = 250.0
# A server that says more is not kept from all others for ever.
MAX_COLD_MS = 600_000.0
PROBE_INTERVAL_MS = 400.0
MAX_PROBES_AT_ONCE = 8
# Each assignment asks for every cold server which entry uses it.
CHOICE_VALID_MS = 100.0
# More incarnations than a large system replaces while one of them is cold.
MAX_RUNS = 4096


@dataclass(slots=True)
class _Hold:
    """Hold until when a server is cold, or may be, and what was sent meanwhile.

    One that this entry has failed to reach may have started again; until it is
    reached, that is for an unknown time.
    """

    cold_until_ms: float
    is_suspect: bool = False
    probed_ms: float = -inf
    next_ms: float = -inf
    sent: int = 0
    # Whether this entry is the one that uses the server, and when that was found.
    is_chosen: bool = False
    chosen_ms: float = -inf


class ColdServers:
    """Decide whether this entry may use a server that is cold, or may be.

    One entry uses it at a bounded rate, chosen by all in the same way; none else
    does. Nothing is counted across entries, so that those that are out of touch
    can't exceed the bound either.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        is_chosen: Callable[[BackendServer], bool],
        bounds: ColdBounds | None = None,
    ) -> None:
        self._clock = clock
        self._service_by_id: Mapping[str, Service] = {}
        self._is_chosen = is_chosen
        self.bounds = bounds or ColdBounds()
        self._hold_by_run: dict[ServerRun, _Hold] = {}
        # The last registration of each incarnation; the first heard of come first.
        self._seen_by_run: dict[ServerRun, BackendServer] = {}
        self._is_informed = False
        # Counted for operators.
        self.sent_count = 0

    @property
    def held_count(self) -> int:
        """Return the number of servers that are cold, or may be."""
        return len(self._hold_by_run)

    def add_gauges(self, metrics: GatewayMetrics) -> None:
        """Let operators see the cold servers and what this entry sends them."""
        metrics.add_gauge(
            'marjoramfall_gateway_cold_servers',
            'Servers that are cold, or may be.',
            lambda: self.held_count,
        )
        metrics.add_gauge(
            'marjoramfall_gateway_cold_server_requests',
            'Requests that this entry has sent to cold servers since its start.',
            lambda: self.sent_count,
        )

    def use_services(self, service_by_id: Mapping[str, Service]) -> None:
        """Replace the services, which say how long their servers are cold."""
        self._service_by_id = service_by_id

    def on_servers(self, servers: list[BackendServer]) -> None:
        """Find the servers that have started, by the whole list of them."""
        for found in servers:
            if self._rate(found) and self._seen_by_run.get(found.run) != found:
                self._observe(found)
        self._is_informed = self._is_informed or bool(servers)
        listed = {server.run for server in servers}
        for run in self._hold_by_run.keys() - listed:
            self._hold_by_run.pop(run)

    def on_answer(self, server: BackendServer, cold_ms: float | None) -> None:
        """Heed how long a server has said that it stays cold, None if it has not."""
        if cold_ms and self._rate(server):
            self._begin(server, cold_ms, 'answer')

    def on_unreached(self, server: BackendServer) -> None:
        """Note that a server did not accept a connection: it may start again."""
        if not self._rate(server):
            return
        hold = self._hold_by_run.get(server.run)
        if hold is None:
            hold = _Hold(inf)
            self._hold_by_run[server.run] = hold
            logger.bind(server=server.server_id).info('server may start again cold')
        hold.is_suspect = True
        hold.cold_until_ms = inf
        hold.probed_ms = self._clock.monotonic_ms()

    def on_reached(self, server: BackendServer) -> None:
        """Note that a server accepts connections: it is cold for so long at most."""
        hold = self._hold_by_run.get(server.run)
        service = self._service_by_id.get(server.service_id)
        if hold is None or not hold.is_suspect or service is None:
            return
        hold.is_suspect = False
        hold.cold_until_ms = self._end_ms(service.cold_start_ms)
        logger.bind(server=server.server_id, cold_ms=round(service.cold_start_ms)).info(
            'server reached again, may be cold'
        )

    def take_due_probes(self, loads: Iterable[ServerLoad]) -> list[BackendServer]:
        """Return servers to connect to now, to learn whether they are back."""
        if not self._hold_by_run:
            return []
        now_ms = self._clock.monotonic_ms()
        due = [load.server for load in loads if self._is_due(load.server, now_ms)]
        due.sort(key=lambda server: self._hold_by_run[server.run].probed_ms)
        due = due[:MAX_PROBES_AT_ONCE]
        for server in due:
            self._hold_by_run[server.run].probed_ms = now_ms
        return due

    def end_ms(self, server: BackendServer) -> float:
        """Return until when a server is cold, 0 if it is not."""
        hold = self._hold_by_run.get(server.run)
        return 0 if hold is None else hold.cold_until_ms

    def is_cold(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a server is cold, or may be."""
        hold = self._hold_by_run.get(server.run)
        if hold is None:
            return False
        if now_ms < hold.cold_until_ms:
            return True
        self._hold_by_run.pop(server.run)
        if hold.sent:
            logger.bind(server=server.server_id, sent=hold.sent).info('server is warm')
        return False

    def may_send(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this entry may send a request to a server now."""
        if not self.is_cold(server, now_ms):
            return True
        hold = self._hold_by_run[server.run]
        if now_ms < hold.next_ms:
            return False
        if now_ms - hold.chosen_ms >= CHOICE_VALID_MS:
            hold.chosen_ms = now_ms
            hold.is_chosen = self._is_chosen(server)
        return hold.is_chosen

    def on_sent(self, server: BackendServer, now_ms: float) -> None:
        """Count a request to a server, if it is cold."""
        hold = self._hold_by_run.get(server.run)
        rate_per_s = self._rate(server)
        if hold is None or not rate_per_s:
            return
        hold.next_ms = now_ms + self.bounds.interval_ms(rate_per_s)
        hold.sent += 1
        self.sent_count += 1

    def _observe(self, server: BackendServer) -> None:
        is_new = server.run not in self._seen_by_run
        self._seen_by_run[server.run] = server
        if len(self._seen_by_run) > MAX_RUNS:
            self._seen_by_run.pop(next(iter(self._seen_by_run)))
        if server.cold_ms > 0:
            self._begin(server, server.cold_ms, 'registration')
        elif server.cold_ms < 0 and is_new and self._is_informed:
            # It has started just now and does not say how long it stays cold.
            service = self._service_by_id.get(server.service_id)
            self._begin(server, service.cold_start_ms, 'start')
        elif not is_new:
            self._hold_by_run.pop(server.run, None)

    def _begin(self, server: BackendServer, cold_ms: float, source: str) -> None:
        hold = self._hold_by_run.get(server.run)
        end_ms = self._end_ms(cold_ms)
        if hold is None:
            hold = _Hold(end_ms)
            self._hold_by_run[server.run] = hold
            logger.bind(
                server=server.server_id,
                cold_ms=round(cold_ms),
                source=source,
                is_chosen=self._is_chosen(server),
            ).info('server is cold')
        hold.is_suspect = False
        hold.cold_until_ms = end_ms

    def _end_ms(self, cold_ms: float) -> float:
        return self._clock.monotonic_ms() + min(cold_ms, MAX_COLD_MS) + END_MARGIN_MS

    def _is_due(self, server: BackendServer, now_ms: float) -> bool:
        hold = self._hold_by_run.get(server.run)
        return (
            hold is not None
            and hold.is_suspect
            and now_ms - hold.probed_ms >= PROBE_INTERVAL_MS
        )

    def _rate(self, server: BackendServer) -> float:
        service = self._service_by_id.get(server.service_id)
        if service is None or not service.cold_start_ms:
            return 0
        return service.cold_rate_per_s


class ColdRule(PlacementRule):
    """Exclude cold servers that this entry may not use now."""

    def __init__(self, servers: ColdServers) -> None:
        self._servers = servers

    @property
    def name(self) -> str:
        """Return what logs and operators call the rule."""
        return 'cold'

    @property
    def is_active(self) -> bool:
        """Return whether any server is cold, or may be."""
        return self._servers.held_count > 0

    def excludes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the server is cold and its next request not due here."""
        return not self._servers.may_send(load.server, now_ms)

    def passes(self, load: ServerLoad, demand: Demand) -> bool:
        """Return True, as every server is warm after a while."""
        return True

    def on_assigned(self, load: ServerLoad, demand: Demand, now_ms: float) -> None:
        """Count a request that goes to a cold server."""
        self._servers.on_sent(load.server, now_ms)
