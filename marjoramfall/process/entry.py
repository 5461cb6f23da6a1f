"""Run one entry process: its tasks, listeners and graceful shutdown."""

import signal
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from marjoramfall.borders.caller_http import CallerApplication, CallerHooks
from marjoramfall.borders.caller_server import CallerServer
from marjoramfall.borders.operator_http import OperatorApplication, OperatorServer
from marjoramfall.borders.platform import PlatformError, VmRole, VmState
from marjoramfall.borders.platform_http import HttpTableService, HttpVmList
from marjoramfall.clock import Clock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.errors import RefusedError
from marjoramfall.identifiers import RequestIds, new_incarnation
from marjoramfall.messages import Message, MessageCodec
from marjoramfall.process.actions import Send
from marjoramfall.process.config_log import ConfigLog
from marjoramfall.process.config_state import ConfigState
from marjoramfall.process.entry_state import EntryState
from marjoramfall.process.grant_gateway import GrantGateway
from marjoramfall.process.metrics import Metrics
from marjoramfall.process.peer_transport import PeerTransport
from marjoramfall.request.request_path import RequestPath, RetryAllowance
from marjoramfall.settings.model import EntrySettings

TICK_MS = 20
VM_LIST_POLL_MS = 1000
CONFIG_POLL_MS = 500
DRAIN_CHECK_MS = 20


class StoppingError(RefusedError):
    """Refuse a new request while the process stops."""

    code = 'stopping'


class StaleConfigurationError(RefusedError):
    """Refuse a new request while the configuration may be outdated."""

    code = 'stale_configuration'


class EntryProcess:
    """Own the state, the listeners and the tasks of one entry."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.incarnation = new_incarnation(settings.vm, clock.wall_ms())
        self.metrics = Metrics(vm=settings.vm, data_centre=settings.data_centre)
        self.state = EntryState(self.incarnation)
        self._stopping = Event()
        self._config_state = ConfigState()
        timeout_ms = settings.platform.timeout
        tables = HttpTableService(settings.platform.tables, timeout_ms=timeout_ms)
        self._log = ConfigLog(tables, clock)
        self._vm_list = HttpVmList(settings.platform.vms, timeout_ms=timeout_ms)
        self._transport = PeerTransport(
            settings.listen.peers,
            MessageCodec(self.incarnation),
            self.metrics,
            deliver=self._on_message,
        )
        self.gateway = GrantGateway(self.state.exchange, clock, send=self._send)
        self._backend = BackendClient(ConnectionPool(clock))
        self._callers = self._make_caller_application()
        self._caller_server = CallerServer(
            settings.listen.callers,
            self._callers,
            count=self._count_request,
            max_connections=settings.limits.max_connections,
            write_timeout_ms=settings.limits.caller_write_timeout,
        )
        self._operator_server = OperatorServer(
            settings.listen.operators,
            OperatorApplication(_no_admin, self.metrics, is_ready=self.is_ready),
        )

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return not self._stopping.is_set() and self._config_state.revision > 0

    def run(self) -> None:
        """Serve until a signal to stop, then finish what is in flight."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        self._transport.start()
        self._caller_server.start()
        self._operator_server.start()
        tasks = [
            gevent.spawn(self._repeat, self._tick, TICK_MS),
            gevent.spawn(self._repeat, self._poll_vm_list, VM_LIST_POLL_MS),
            gevent.spawn(self._repeat, self._poll_configuration, CONFIG_POLL_MS),
        ]
        logger.bind(incarnation=self.incarnation).info('entry started')
        self._stopping.wait()
        self._drain()
        gevent.killall(tasks)
        self._caller_server.stop()
        self._operator_server.stop()
        self._transport.stop()
        logger.info('entry stopped')

    def _drain(self) -> None:
        logger.bind(in_flight=self._callers.active_requests).info('entry stopping')
        self._clock.sleep_ms(self._settings.shutdown.balancer_delay)
        give_up_ms = self._clock.monotonic_ms() + self._settings.shutdown.max_wait
        while self._callers.active_requests:
            if self._clock.monotonic_ms() > give_up_ms:
                logger.bind(in_flight=self._callers.active_requests).error(
                    'stopping with requests in flight'
                )
                break
            self._clock.sleep_ms(DRAIN_CHECK_MS)

    def _make_caller_application(self) -> CallerApplication:
        request_ids = RequestIds(self.incarnation)
        path = RequestPath(
            grants=self.gateway,
            backend=self._backend,
            configuration=lambda: self.state.configuration,
            clock=self._clock,
            retries=AlwaysRetry(),
            claims=None,
        )
        hooks = CallerHooks(
            configuration=lambda: self.state.configuration,
            is_ready=self.is_ready,
            check_accepting=self._check_accepting,
            count=self._count_request,
            issue_key=lambda team_id: '',
        )
        return CallerApplication(
            path,
            hooks,
            clock=self._clock,
            request_ids=request_ids,
            max_body_bytes=self._settings.limits.max_body,
        )

    def _check_accepting(self) -> None:
        if self._config_state.revision == 0:
            raise StaleConfigurationError('no configuration yet', retry_after_ms=1000)

    def _count_request(self, outcome: str) -> None:
        self.metrics.requests.inc({'outcome': outcome})

    def _on_message(self, sender: str, message: Message) -> None:
        now_ms = self._clock.monotonic_ms()
        self.gateway.perform(self.state.receive(sender, message, now_ms))

    def _send(self, action: Send) -> None:
        logger.error('no address of {}', action.incarnation)

    def _repeat(self, step: Callable[[], None], period_ms: float) -> None:
        while True:
            try:
                step()
            except PlatformError as error:
                logger.bind(code=error.code).warning('platform call failed')
            except Exception:
                logger.exception('task step failed')
            self._clock.sleep_ms(period_ms)

    def _tick(self) -> None:
        outgoing, _ = self.state.tick(self._clock.monotonic_ms())
        self.gateway.perform(outgoing)

    def _poll_vm_list(self) -> None:
        leaving = [
            record.address
            for record in self._vm_list.list_vms()
            if record.role is VmRole.BACKEND and record.state is VmState.LEAVING
        ]
        now_ms = self._clock.monotonic_ms()
        self.gateway.perform(self.state.on_vm_list(leaving, now_ms))

    def _poll_configuration(self) -> None:
        before = self._config_state.revision
        self._log.catch_up(self._config_state)
        if self._config_state.revision == before:
            return
        now_ms = self._clock.monotonic_ms()
        configuration = self._config_state.configuration
        wall_ms = self._clock.wall_ms()
        self.gateway.perform(self.state.apply(configuration, now_ms, wall_ms))


class AlwaysRetry(RetryAllowance):
    """Allow every retry."""

    def on_request(self, service_id: str) -> None:
        """Ignore the request."""

    def take_retry(self, service_id: str) -> bool:
        """Allow the retry."""
        return True


def _no_admin(environ: dict, start_response: Callable) -> list[bytes]:
    start_response('404 Not Found', [])
    return []
