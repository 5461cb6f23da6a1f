"""Find out whether servers that may have restarted are reached again."""

from collections.abc import Callable, Iterable

from gevent import spawn

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.cold_servers import ColdRule, ColdServers
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.server_load import ServerLoad


class ColdProbes:
    """Keep cold servers, and connect to those that may be, without a request."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        *,
        is_chosen: Callable[[BackendServer], bool],
    ) -> None:
        self._pool = pool
        self.servers = ColdServers(clock, is_chosen=is_chosen)
        self.rule = ColdRule(self.servers)

    def mark(self, loads: Iterable[ServerLoad]) -> None:
        """Tell each server until when it counts as slow."""
        for load in loads:
            load.speeds.cold_until_ms = self.servers.end_ms(load.server)

    def probe(self, loads: Iterable[ServerLoad]) -> None:
        """Connect to the servers whose turn it is."""
        for server in self.servers.take_due_probes(loads):
            spawn(self._probe, server)

    def _probe(self, server: BackendServer) -> None:
        try:
            self._pool.open_kept(server.server_id, server.address)
        except NotReachedError:
            self.servers.on_unreached(server)
        else:
            self.servers.on_reached(server)
