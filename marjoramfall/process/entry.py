"""Run one entry process: its tasks, listeners and graceful shutdown."""

import signal
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.connection.backend_client import BackendClient
from marjoramfall.connection.connection_pool import ConnectionPool
from marjoramfall.identifiers import RequestIds, new_incarnation
from marjoramfall.messages import Message, MessageCodec
from marjoramfall.model import Configuration
from marjoramfall.platform_services import PlatformError
from marjoramfall.process.actions import ResolveAsk, Send
from marjoramfall.process.config.log import LogTail, WrittenChange
from marjoramfall.process.config.replication import PollStore
from marjoramfall.process.decision_counter import DecisionCounter
from marjoramfall.process.entry_core import CoreAction, EntryCore
from marjoramfall.process.group.exchange import ExchangeAction
from marjoramfall.process.group.grant_gateway import GrantGateway
from marjoramfall.process.key_owners import KeyOwners
from marjoramfall.process.listeners import EntryListeners, EntryParts
from marjoramfall.process.membership.member import SendMessage
from marjoramfall.process.metrics import Metrics
from marjoramfall.process.peer_transport import PeerTransport
from marjoramfall.process.platform_links import (
    EntryKeys,
    PlatformEvents,
    PlatformLinks,
)
from marjoramfall.process.readiness import Readiness
from marjoramfall.process.report_task import ReportTask
from marjoramfall.request.key_registry import KeyRegistry
from marjoramfall.settings.model import EntrySettings
from marjoramfall.version.actions import MoveAction, WithdrawVersion

TICK_MS = 20
VM_LIST_POLL_MS = 1000
REPORT_POLL_MS = 250
DRAIN_CHECK_MS = 20
# Ends of claims that the store has not taken by then stay taken, which is safe.
CLAIM_DRAIN_MS = 5000


class EntryProcess:
    """Own the core, the listeners and the tasks of one entry."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stop_requested = Event()
        incarnation = new_incarnation(settings.vm, clock.wall_ms())
        self._request_ids = RequestIds(incarnation)
        self.metrics = Metrics(vm=settings.vm, data_centre=settings.data_centre)
        self.core = EntryCore(incarnation, settings.listen.peers)
        self.readiness = Readiness(
            self.core, clock, max_waiting=settings.limits.max_waiting
        )
        self._transport = PeerTransport(
            settings.listen.peers,
            MessageCodec(incarnation),
            self.metrics,
            deliver=self._on_message,
        )
        self.gateway = GrantGateway(
            self.core.state.exchange, clock, send=self._send_to_member
        )
        self._backend = BackendClient(ConnectionPool(clock))
        self._platform = self._make_platform()
        self._keys = self._make_keys()
        self._listeners = self._make_listeners()
        self._watch_metrics()

    def run(self) -> None:
        """Serve until a signal to stop, then finish what is in flight."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        self._transport.start()
        self._listeners.start()
        self.readiness.listening = True
        tasks = self._start_tasks()
        logger.bind(incarnation=self.core.incarnation).info('entry started')
        self._stop_requested.wait()
        self._drain()
        gevent.killall(tasks)
        self._listeners.stop()
        self._transport.stop()
        logger.info('entry stopped')

    def _make_platform(self) -> PlatformLinks:
        events = PlatformEvents(
            on_written=self._on_written,
            on_polled=self._on_polled,
            on_poll_failed=self._on_poll_failed,
            on_snapshot=self._on_snapshot,
        )
        return PlatformLinks(
            self._settings.platform,
            self._clock,
            self.core.replicator,
            self.metrics,
            events,
        )

    def _make_keys(self) -> EntryKeys:
        registry = KeyRegistry(self.core.incarnation)
        owners = KeyOwners(registry, self._clock, send=self._send_if_known)
        return EntryKeys(
            registry,
            owners,
            self._platform.tables,
            self._clock,
            self.core.incarnation,
        )

    def _make_listeners(self) -> EntryListeners:
        parts = EntryParts(
            core=self.core,
            readiness=self.readiness,
            gateway=self.gateway,
            backend=self._backend,
            platform=self._platform,
            keys=self._keys,
            metrics=self.metrics,
            clock=self._clock,
            request_ids=self._request_ids,
        )
        return EntryListeners(parts, self._settings)

    def _watch_metrics(self) -> None:
        core = self.core
        decisions = DecisionCounter(self.metrics, lambda: core.state.configuration)
        core.state.exchange.host.on_decided = decisions.count
        watch = self.metrics.watch
        watch(
            'marjoramfall_config_revision',
            'Applied revision of the configuration.',
            lambda: core.config.revision,
        )
        watch(
            'marjoramfall_members',
            'Other members that this entry knows.',
            lambda: len(core.membership.members),
        )
        watch(
            'marjoramfall_ready',
            'Whether the balancer may send callers here, 0 or 1.',
            lambda: int(self.readiness.is_ready()),
        )
        watch(
            'marjoramfall_requests_in_flight',
            'Requests that wait or run.',
            lambda: self._listeners.active_requests,
        )
        watch(
            'marjoramfall_groups_dispatched',
            'Engine groups that this entry dispatches.',
            lambda: len(core.state.exchange.host.hosted_group_ids),
        )

    def _start_tasks(self) -> list[gevent.Greenlet]:
        reports = ReportTask(
            self.core,
            self._backend,
            self._clock,
            make_id=self._request_ids.issue,
            perform=self._perform_exchange,
        )
        return [
            gevent.spawn(self._platform.snapshots.run, self.core.incarnation),
            gevent.spawn(self._platform.poller.run),
            gevent.spawn(self._platform.recorder.run),
            gevent.spawn(self._repeat, self._tick, TICK_MS),
            gevent.spawn(self._repeat, self._poll_vm_list, VM_LIST_POLL_MS),
            gevent.spawn(self._repeat, reports.step, REPORT_POLL_MS),
        ]

    def _drain(self) -> None:
        """Finish all requests; new ones are refused after the balancer's delay."""
        self.readiness.stopping = True
        self._perform(self.core.leave(self._clock.monotonic_ms()))
        logger.bind(in_flight=self._listeners.active_requests).info('entry stopping')
        self._clock.sleep_ms(self._settings.shutdown.balancer_delay)
        self.readiness.closed = True
        give_up_ms = self._clock.monotonic_ms() + self._settings.shutdown.max_wait
        while self._listeners.active_requests:
            if self._clock.monotonic_ms() > give_up_ms:
                logger.bind(in_flight=self._listeners.active_requests).error(
                    'stopping with requests in flight'
                )
                return
            self._clock.sleep_ms(DRAIN_CHECK_MS)
        self._listeners.drain(CLAIM_DRAIN_MS)
        self._keys.store_claims.drain(CLAIM_DRAIN_MS)

    def _send_if_known(self, incarnation: str, message: Message) -> bool:
        address = self.core.address_of(incarnation)
        if address:
            self._transport.send(address, message)
        return bool(address)

    def _on_message(self, sender: str, message: Message) -> None:
        if self._keys.owners.receive(sender, message):
            return
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        self._guarded(lambda: self.core.receive(sender, message, now_ms, wall_ms))

    def _on_polled(self, tail: LogTail, started_ms: float) -> None:
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        self._guarded(lambda: self.core.on_polled(tail, started_ms, now_ms, wall_ms))

    def _on_snapshot(self, configuration: Configuration) -> None:
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        self._perform(self.core.on_snapshot(configuration, now_ms, wall_ms))

    def _on_poll_failed(self) -> None:
        self._perform(self.core.on_poll_failed(self._clock.monotonic_ms()))

    def _on_written(self, written: WrittenChange) -> None:
        now_ms = self._clock.monotonic_ms()
        self._perform(self.core.on_written(written, now_ms, self._clock.wall_ms()))

    def _tick(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self._perform(self.core.tick(now_ms, self._clock.wall_ms()))

    def _poll_vm_list(self) -> None:
        records = self._platform.vm_list.list_vms()
        self._perform(self.core.on_vm_list(records, self._clock.monotonic_ms()))

    def _guarded(self, decide: Callable[[], list[CoreAction]]) -> None:
        """Perform actions; a fault of one event must not end a task."""
        try:
            actions = decide()
        except Exception:
            logger.exception('event failed')
            return
        self._perform(actions)

    def _repeat(self, step: Callable[[], None], period_ms: float) -> None:
        while True:
            try:
                step()
            except PlatformError as error:
                logger.bind(code=error.code).warning('platform call failed')
            except Exception:
                logger.exception('task step failed')
            self._clock.sleep_ms(period_ms)

    def _perform_exchange(self, actions: Iterable[ExchangeAction]) -> None:
        settled = self.core.state.exchange.deliver_local(
            actions, self._clock.monotonic_ms()
        )
        self._perform(self.core.addressed(settled))

    def _send_to_member(self, action: Send) -> None:
        self._perform(self.core.addressed((action,)))

    def _perform(self, actions: Iterable[CoreAction]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._transport.send(action.address, action.message)
            elif isinstance(action, ResolveAsk):
                self.gateway.perform((action,))
            elif isinstance(action, PollStore):
                self._platform.poller.put(action.after_revision)
            else:
                self._record(action.action)

    def _record(self, action: MoveAction) -> None:
        if isinstance(action, WithdrawVersion):
            self.metrics.count_withdrawal(action.version_id)
        self._platform.recorder.put(action)
