"""Poll the reports of the servers whose groups this process dispatches."""

from collections.abc import Callable, Iterable

from gevent.pool import Pool

from marjoramfall.clock import Clock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.model import BackendServer, ServiceKind
from marjoramfall.process.entry_core import EntryCore
from marjoramfall.process.group.exchange import ExchangeAction
from marjoramfall.process.report_poller import ReportPoller
from marjoramfall.request.events import LoadReport

MAX_PARALLEL_POLLS = 64


class ReportTask:
    """Feed load reports, cache events and leaving signals to the dispatchers."""

    def __init__(
        self,
        core: EntryCore,
        backend: BackendClient,
        clock: Clock,
        *,
        make_id: Callable[[], str],
        perform: Callable[[Iterable[ExchangeAction]], None],
    ) -> None:
        self._core = core
        self._backend = backend
        self._clock = clock
        self._make_id = make_id
        self._perform = perform
        self._pool = Pool(MAX_PARALLEL_POLLS)
        self._pollers_by_server: dict[str, ReportPoller] = {}

    def step(self) -> None:
        """Poll each server once and wait for all answers."""
        configuration = self._core.state.configuration
        hosted = set(self._core.state.exchange.host.hosted_group_ids)
        for server in configuration.backend_servers_by_id.values():
            version = configuration.versions_by_id.get(server.version_id)
            if version is None or version.service_id not in hosted:
                continue
            service = configuration.services_by_id[version.service_id]
            if service.kind is ServiceKind.MODEL:
                self._pool.spawn(self._poll, version.service_id, server)
        self._pool.join()

    def _poll(self, group_id: str, server: BackendServer) -> None:
        poller = self._poller(server.server_id)
        now_ms = self._clock.monotonic_ms()
        answer = poller.read_load(server.address, now_ms)
        if answer is not None:
            report, leaving = answer
            self._on_load(group_id, report, leaving=leaving)
        for event in poller.read_cache_events(server.address):
            now_ms = self._clock.monotonic_ms()
            host = self._core.state.exchange.host
            self._perform(host.on_cache_event(group_id, event, now_ms))

    def _on_load(self, group_id: str, report: LoadReport, *, leaving: bool) -> None:
        now_ms = self._clock.monotonic_ms()
        state = self._core.state
        self._perform(state.on_server_signal(report.server_id, now_ms, leaving=leaving))
        self._perform(state.exchange.host.on_load_report(group_id, report, now_ms))

    def _poller(self, server_id: str) -> ReportPoller:
        existing = self._pollers_by_server.get(server_id)
        if existing is None:
            existing = ReportPoller(self._backend, server_id, make_id=self._make_id)
            self._pollers_by_server[server_id] = existing
        return existing
