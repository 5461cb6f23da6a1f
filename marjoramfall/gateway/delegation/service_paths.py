"""Tell which services this entry reaches, and notice when a path is back."""

import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.backend_connection import NotReachedError
from marjoramfall.gateway.servers.connection_pool import ConnectionPool
from marjoramfall.gateway.servers.overload import PathLostError
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.tasks import start_task

# Servers crash one by one. Where this many fail in a row without a response of any
# in between, it is the path to the service that is lost.
MIN_FAILED_SERVERS = 3
PROBE_INTERVAL_MS = 400.0
MAX_WITNESSES = 3
# How long a response shows that there is a path.
RESPONSE_VALID_MS = 3000.0


@dataclass(slots=True)
class _Path:
    """Hold when requests to the servers of a service failed to get through."""

    failed_ms_by_server: dict[str, float] = field(default_factory=dict)
    is_lost: bool = False


class ServicePaths:
    """Watch the paths from this entry to the servers of each service.

    While the path to a service is lost, its servers are probed by connecting to
    them, so that no request has to try.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        *,
        load_by_id: Mapping[str, ServerLoad],
        find_queue: Callable[[str], ServiceQueue],
        notify_peers: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._load_by_id = load_by_id
        self._find_queue = find_queue
        self._notify_peers = notify_peers
        self._path_by_service: dict[str, _Path] = defaultdict(_Path)

    def is_lost(self, service_id: str) -> bool:
        """Return whether this entry reaches no server of the service."""
        return self._path_by_service[service_id].is_lost

    def reached_service_ids(self) -> list[str]:
        """Return the services whose servers this entry is likely to reach."""
        return [
            service_id
            for service_id, path in self._path_by_service.items()
            if self._is_reached(service_id, path)
        ]

    def on_response(self, server: BackendServer, sent_ms: float) -> None:
        """Record that a server has answered a request sent at that time."""
        path = self._path_by_service[server.service_id]
        for server_id, failed_ms in tuple(path.failed_ms_by_server.items()):
            if failed_ms <= sent_ms:
                path.failed_ms_by_server.pop(server_id)
        if path.is_lost and not path.failed_ms_by_server:
            self._regain(server.service_id, path)

    def on_failure(self, server: BackendServer) -> None:
        """Record that a request may not have reached a server, or its answer us."""
        path = self._path_by_service[server.service_id]
        path.failed_ms_by_server[server.server_id] = self._clock.monotonic_ms()
        server_count = len(self._servers(server.service_id))
        needed = min(MIN_FAILED_SERVERS, max(1, server_count))
        if not path.is_lost and len(path.failed_ms_by_server) >= needed:
            self._lose(server.service_id, path)

    def reaches_another(self, failed: BackendServer) -> bool:
        """Return whether any other server accepts a connection of this entry.

        If none does, nothing can be said of the one that refuses them. Those of other
        services come first, as one cause may end all servers of a service.
        """
        others = [
            load.server
            for load in self._load_by_id.values()
            if load.server.server_id != failed.server_id
        ]
        random.shuffle(others)
        others.sort(key=lambda server: server.service_id == failed.service_id)
        return any(self._probe(server) for server in others[:MAX_WITNESSES])

    def _is_reached(self, service_id: str, path: _Path) -> bool:
        """Return whether servers have answered, lately or with no failure since."""
        last_response_ms = self._last_response_ms(service_id)
        if path.is_lost or not last_response_ms:
            return False
        oldest_ms = self._clock.monotonic_ms() - RESPONSE_VALID_MS
        return last_response_ms >= oldest_ms or not path.failed_ms_by_server

    def _lose(self, service_id: str, path: _Path) -> None:
        path.is_lost = True
        now_ms = self._clock.monotonic_ms()
        logger.bind(
            service=service_id,
            failed_servers=sorted(path.failed_ms_by_server),
            response_age_ms=round(now_ms - self._last_response_ms(service_id)),
        ).warning('path to a service lost')
        start_task(
            partial(self._probe_until_regained, service_id, path),
            self._clock,
            name='probe a lost path',
        )
        self._release(service_id)
        self._notify_peers()

    def _release(self, service_id: str) -> None:
        """Close the connections to a service and reject the requests that wait.

        A connection may be dead without showing it, and the requests may go to peers.
        """
        for server in self._servers(service_id):
            self._pool.close_idle(server.server_id)
        queue = self._find_queue(service_id)
        waiters = queue.waiters
        queue.waiters = []
        for waiter in waiters:
            waiter.on_reject(PathLostError('path lost', retry_after_ms=0))

    def _regain(self, service_id: str, path: _Path) -> None:
        path.is_lost = False
        path.failed_ms_by_server.clear()
        logger.bind(service=service_id).info('path to a service regained')
        queue = self._find_queue(service_id)
        for load in queue.load_by_id.values():
            # They were ejected as the path to them had failed.
            load.consecutive_failures = 0
            load.ejected_until_ms = 0
        queue.assign()
        self._notify_peers()

    def _probe_until_regained(self, service_id: str, path: _Path) -> None:
        tried_ids: set[str] = set()
        while path.is_lost:
            self._clock.sleep_ms(PROBE_INTERVAL_MS)
            server = self._next_to_probe(service_id, tried_ids)
            is_reached = server is not None and self._probe(server)
            if is_reached and path.is_lost:
                self._regain(service_id, path)

    def _next_to_probe(
        self, service_id: str, tried_ids: set[str]
    ) -> BackendServer | None:
        """Return a server that was not tried yet; all are in turn."""
        staying = [
            server for server in self._servers(service_id) if not server.is_leaving
        ]
        untried = [server for server in staying if server.server_id not in tried_ids]
        if not untried:
            tried_ids.clear()
        candidates = untried or staying
        if not candidates:
            return None
        server = random.choice(candidates)
        tried_ids.add(server.server_id)
        return server

    def _servers(self, service_id: str) -> list[BackendServer]:
        loads = self._find_queue(service_id).load_by_id.values()
        return [load.server for load in loads]

    def _last_response_ms(self, service_id: str) -> float:
        loads = self._find_queue(service_id).load_by_id.values()
        return max((load.last_response_ms for load in loads), default=0)

    def _probe(self, server: BackendServer) -> bool:
        try:
            self._pool.open_kept(server.server_id, server.address)
        except NotReachedError as error:
            logger.bind(server=server.server_id, details=str(error)).debug(
                'server not reached by a probe'
            )
            return False
        return True
