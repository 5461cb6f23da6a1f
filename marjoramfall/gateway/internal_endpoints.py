"""Serve what the load balancer, peers and operators read from an entry."""

from collections.abc import Callable

import msgspec

from marjoramfall.gateway.entry_settings import GatewaySettings
from marjoramfall.gateway.internal_http_server import (
    InternalHttpServer,
    InternalResponse,
)
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.peers.snapshot_client import SNAPSHOT_PATH
from marjoramfall.gateway.registry import Registry

METRICS_PATH = '/metrics'


class InternalEndpoints:
    """Serve readiness, snapshots and metrics, each at its address."""

    def __init__(
        self,
        settings: GatewaySettings,
        registry: Registry,
        metrics: GatewayMetrics,
        *,
        ready_path: str,
        is_ready: Callable[[], bool],
    ) -> None:
        self._registry = registry
        self._metrics = metrics
        self._is_ready = is_ready
        peer_address = f'{settings.ip}:{settings.peer_port}'
        self._servers = (
            InternalHttpServer(peer_address, {SNAPSHOT_PATH: self._respond_snapshot}),
            InternalHttpServer(
                settings.metrics_address, {METRICS_PATH: self._respond_metrics}
            ),
            InternalHttpServer(
                settings.ready_address, {ready_path: self._respond_readiness}
            ),
        )

    def start(self) -> None:
        """Start listening; raises `CannotListenError`."""
        for server in self._servers:
            server.start()

    def _respond_readiness(self) -> InternalResponse:
        return InternalResponse(200 if self._is_ready() else 503, 'text/plain', b'')

    def _respond_snapshot(self) -> InternalResponse:
        body = msgspec.msgpack.encode(self._registry.snapshot())
        return InternalResponse(200, 'application/msgpack', body)

    def _respond_metrics(self) -> InternalResponse:
        return InternalResponse(
            200, 'text/plain; version=0.0.4', self._metrics.render()
        )
