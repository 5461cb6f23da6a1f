"""Ask model engines for their load and cache events."""

from collections.abc import Callable

import msgspec
from loguru import logger

from marjoramfall.connection.backend_client import BackendClient, BackendRequest
from marjoramfall.errors import BackendServerError
from marjoramfall.request.events import CacheEvent, LoadReport


class LoadBody(msgspec.Struct):
    """Describe the answer of `GET /load`; the age is in milliseconds."""

    running: int
    waiting: int
    queued_prefill_tokens: int
    age_ms: float = 0
    leaving: bool = False


class CacheRecord(msgspec.Struct):
    """Describe one record of `GET /cache-events`."""

    sequence: int
    prefix_hash: int
    stored: bool


class CacheBody(msgspec.Struct):
    """Describe the answer of `GET /cache-events`."""

    events: list[CacheRecord]


class ReportPoller:
    """Read the reports of one backend server."""

    def __init__(
        self, backend: BackendClient, server_id: str, *, make_id: Callable[[], str]
    ) -> None:
        self._backend = backend
        self._server_id = server_id
        self._make_id = make_id
        self._last_sequence = 0

    def read_load(self, address: str, now_ms: float) -> tuple[LoadReport, bool] | None:
        """Return the load and whether the server is leaving; None if unknown."""
        body = self._get(address, '/load', LoadBody)
        if body is None:
            return None
        report = LoadReport(
            server_id=self._server_id,
            running=body.running,
            waiting=body.waiting,
            queued_prefill_tokens=body.queued_prefill_tokens,
            measured_ms=now_ms - body.age_ms,
        )
        return report, body.leaving

    def read_cache_events(self, address: str) -> list[CacheEvent]:
        """Return the events since the last call; events may be missing."""
        path = f'/cache-events?after={self._last_sequence}'
        body = self._get(address, path, CacheBody)
        if body is None or not body.events:
            return []
        self._last_sequence = max(record.sequence for record in body.events)
        return [
            CacheEvent(
                server_id=self._server_id,
                sequence=record.sequence,
                prefix_hash=record.prefix_hash,
                stored=record.stored,
            )
            for record in body.events
        ]

    def _get(self, address: str, path: str, shape: type) -> object | None:
        request = BackendRequest(
            request_id=self._make_id(), method='GET', path=path, is_cancellable=False
        )
        try:
            response = self._backend.send(address, request)
        except BackendServerError as error:
            logger.bind(server_id=self._server_id, code=error.code).debug(
                'backend server gave no report'
            )
            return None
        try:
            return msgspec.json.decode(response.body, type=shape)
        except msgspec.MsgspecError:
            return None
