"""Keep the servers to the rates that they name in their responses."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import BackendServer, ServerLimit
from marjoramfall.gateway.peers.peer_state import ServerLimitReport
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.shared_limit import SharedLimit
from marjoramfall.gateway.shared_limits import SharedLimits

# A server that takes nothing at all could never lift its limit in a response.
MIN_RATE_PER_S = 0.1
# A changed limit is sent more than once, as datagrams may be lost.
REPORTS_PER_CHANGE = 3


@dataclass(slots=True)
class NamedLimit:
    """Hold the rate that the newest response of a server names, None for no limit."""

    load: ServerLoad
    limit: SharedLimit
    rate_per_s: float | None
    named_ms: float


class ServerLimits:
    """Apply the limits of servers that any entry has heard of.

    The requests to a server are counted from its first limit on and for as long as it
    is registered, as entries learn at different times that a limit was lifted.
    """

    def __init__(
        self, clock: Clock, limits: SharedLimits, *, notify_peers: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._notify_peers = notify_peers
        self._named_by_id: dict[str, NamedLimit] = {}
        self._reports_due = 0

    def on_response(
        self, load: ServerLoad, rate_per_s: float | None, *, attempt_id: str
    ) -> None:
        """Record what the response to a request says of the server's limit."""
        named = self._named_by_id.get(load.server.server_id)
        if named is None and rate_per_s is None:
            return
        now_ms = self._clock.monotonic_ms()
        if self._update(load, rate_per_s, now_ms):
            logger.bind(
                request=attempt_id,
                server=load.server.server_id,
                rate_per_s=rate_per_s,
                running=load.running,
            ).info('server limit changed')
            self._reports_due = REPORTS_PER_CHANGE
            self._notify_peers()

    def merge(
        self,
        reports: Iterable[ServerLimitReport],
        find_load: Callable[[str], ServerLoad | None],
    ) -> None:
        """Apply the limits of which a peer has heard in newer responses."""
        now_ms = self._clock.monotonic_ms()
        for report in reports:
            load = find_load(report.server_id)
            if load is None or load.server.born_ms != report.born_ms:
                continue
            named = self._named_by_id.get(report.server_id)
            named_ms = now_ms - report.age_ms
            if named is not None and named.named_ms >= named_ms:
                continue
            if self._update(load, report.rate_per_s, named_ms):
                logger.bind(
                    server=report.server_id,
                    rate_per_s=report.rate_per_s,
                    age_ms=report.age_ms,
                ).info('server limit changed, as a peer reports')

    def reports(self, *, is_full: bool) -> list[ServerLimitReport]:
        """Return the limits for peers, or nothing if they have them already."""
        if not is_full and not self._reports_due:
            return []
        self._reports_due = max(0, self._reports_due - 1)
        now_ms = self._clock.monotonic_ms()
        return [
            ServerLimitReport(
                server_id,
                named.load.server.born_ms,
                named.rate_per_s,
                int(now_ms - named.named_ms),
            )
            for server_id, named in self._named_by_id.items()
        ]

    def refill(self, silent_share: float) -> None:
        """Refill all limits, and withhold the share that silent peers may be using."""
        now_ms = self._clock.monotonic_ms()
        for named in self._named_by_id.values():
            named.limit.refill(now_ms, silent_share)

    def remove(self, server: BackendServer) -> None:
        """Forget the limit of a server that has gone."""
        if self._named_by_id.pop(server.server_id, None) is not None:
            self._limits.remove_server_limit(_limit_name(server))

    def _update(
        self, load: ServerLoad, rate_per_s: float | None, named_ms: float
    ) -> bool:
        """Apply what a response said at a time; return whether the limit changed."""
        named = self._named_by_id.get(load.server.server_id)
        if named is None:
            limit = self._set_limit(load.server, rate_per_s)
            named = NamedLimit(load, limit, None, named_ms)
            self._named_by_id[load.server.server_id] = named
        named.named_ms = named_ms
        if rate_per_s == named.rate_per_s:
            return False
        if named.rate_per_s is None:
            # What was sent while no limit was in force is not made up for.
            named.limit.level = 0
        named.rate_per_s = rate_per_s
        self._set_limit(load.server, rate_per_s)
        load.use_limit(named.limit, is_in_force=rate_per_s is not None)
        return True

    def _set_limit(
        self, server: BackendServer, rate_per_s: float | None
    ) -> SharedLimit:
        rule = ServerLimit(
            _limit_name(server), max(MIN_RATE_PER_S, rate_per_s or MIN_RATE_PER_S)
        )
        return self._limits.set_server_limit(rule, self._clock.monotonic_ms())


def _limit_name(server: BackendServer) -> str:
    """Return a name that no team has, for one incarnation of a server."""
    return f'server/{server.server_id}/{server.born_ms}'
