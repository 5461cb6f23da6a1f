"""Build the listeners of an entry for callers and operators."""

from dataclasses import dataclass

from marjoramfall.borders.admin_service import AdminService
from marjoramfall.borders.caller_http import CallerApplication, CallerHooks
from marjoramfall.borders.caller_server import CallerServer
from marjoramfall.borders.operator_http import OperatorApplication, OperatorServer
from marjoramfall.clock import Clock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.identifiers import RequestIds
from marjoramfall.model import Configuration
from marjoramfall.process.entry_admin import EntryAdmin
from marjoramfall.process.entry_core import EntryCore
from marjoramfall.process.group.grant_gateway import GrantGateway
from marjoramfall.process.metrics import Metrics
from marjoramfall.process.platform_links import EntryKeys, PlatformLinks
from marjoramfall.process.readiness import Readiness
from marjoramfall.process.retry_allowance import ServiceRetryBudgets
from marjoramfall.request.request_executor import RequestExecutor
from marjoramfall.settings.model import EntrySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """Hold what the listeners of an entry use."""

    core: EntryCore
    readiness: Readiness
    gateway: GrantGateway
    backend: BackendClient
    platform: PlatformLinks
    keys: EntryKeys
    metrics: Metrics
    clock: Clock
    request_ids: RequestIds

    def configuration(self) -> Configuration:
        """Return the configuration in force at this entry."""
        return self.core.state.configuration


class EntryListeners:
    """Own the callers' and the operators' listener."""

    def __init__(self, parts: EntryParts, settings: EntrySettings) -> None:
        self._parts = parts
        self._callers = self._make_caller_application(settings.limits.max_body)
        self._caller_server = CallerServer(
            settings.listen.callers,
            self._callers,
            count=self._count,
            max_connections=settings.limits.max_connections,
            write_timeout_ms=settings.limits.caller_write_timeout,
        )
        self._operator_server = OperatorServer(
            settings.listen.operators, self._make_operator_application(settings)
        )

    @property
    def active_requests(self) -> int:
        """Return how many callers wait for the end of a response."""
        return self._callers.active_requests

    def start(self) -> None:
        """Accept connections."""
        self._caller_server.start()
        self._operator_server.start()

    def drain(self, timeout_ms: float) -> None:
        """Wait for sent postings whose callers have left."""
        self._path.drain(timeout_ms)

    def stop(self) -> None:
        """Close both listeners and their connections."""
        self._caller_server.stop()
        self._operator_server.stop()

    def _make_caller_application(self, max_body_bytes: int) -> CallerApplication:
        parts = self._parts
        self._path = RequestExecutor(
            grants=parts.gateway,
            backend=parts.backend,
            configuration=parts.configuration,
            clock=parts.clock,
            retries=ServiceRetryBudgets(parts.clock),
            claims=parts.keys.claims,
        )
        hooks = CallerHooks(
            configuration=parts.configuration,
            is_ready=parts.readiness.is_ready,
            check_accepting=parts.readiness.check_accepting,
            count=parts.metrics.count_request,
            issue_key=parts.keys.issue,
        )
        return CallerApplication(
            self._path,
            hooks,
            clock=parts.clock,
            request_ids=parts.request_ids,
            max_body_bytes=max_body_bytes,
        )

    def _make_operator_application(
        self, settings: EntrySettings
    ) -> OperatorApplication:
        parts = self._parts
        admin = EntryAdmin(
            parts.core,
            parts.platform.writer,
            parts.platform.log,
            parts.readiness,
            parts.clock,
        )
        return OperatorApplication(
            AdminService(admin, settings.operators, clock=parts.clock),
            parts.metrics,
            is_ready=parts.readiness.is_ready,
        )

    def _count(self, outcome: str) -> None:
        self._parts.metrics.requests.inc({'outcome': outcome})
