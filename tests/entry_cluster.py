"""Connect the cores of several entries in memory under a paused clock."""

import hashlib
from collections import deque

from marjoramfall.clock import PausedClock
from marjoramfall.model import (
    BackendServer,
    Delivery,
    Service,
    ServiceKind,
    Team,
    Tier,
    Version,
)
from marjoramfall.platform_services import (
    PlatformError,
    VmRecord,
    VmRole,
    VmState,
)
from marjoramfall.process.actions import ResolveAsk
from marjoramfall.process.config.changes import (
    PutBackendServer,
    PutService,
    PutTeam,
    PutTier,
    PutVersion,
)
from marjoramfall.process.config.log import ConfigLog, Submission
from marjoramfall.process.config.replication import PollStore
from marjoramfall.process.entry_core import EntryCore
from marjoramfall.process.membership.member import SendMessage
from marjoramfall.request.grants import DispatchResult, GrantRequest, HeldGrant
from tests.fakes import FakeTableService, FakeTableStorage

SERVICE = 'drafting'
STEP_MS = 20
VM_LIST_PERIOD_MS = 1000
DONE = DispatchResult(succeeded=True, dispatched=True, total_ms=10)
BASIC_CONFIGURATION = (
    PutTier(entity=Tier('gold', 0, 10_000)),
    PutTeam(entity=Team('billing', 'gold', hashlib.sha256(b'key').hexdigest())),
    PutService(
        entity=Service(SERVICE, ServiceKind.MODEL, Delivery.IDEMPOTENT, 'drafting-v1')
    ),
    PutVersion(entity=Version('drafting-v2', SERVICE)),
    PutBackendServer(
        entity=BackendServer('engine-1', '10.0.0.1:80', 'a', 'drafting-v1', False, 1)
    ),
)


class EntryNode:
    """Run one core against its own connection to the store."""

    def __init__(self, cluster, vm, incarnation, address):
        self.vm = vm
        self.address = address
        self.core = EntryCore(incarnation, address, seed=len(vm))
        self.tables = FakeTableService(cluster.storage)
        self.log = ConfigLog(self.tables, cluster.clock)
        self.frozen = False
        self.outcomes = {}
        self.recorded = []
        self.revisions = []
        self.inbox = deque()


class EntryCluster:
    """Deliver messages between cores; links and nodes can fail."""

    def __init__(self, count=3):
        self.clock = PausedClock()
        self.storage = FakeTableStorage()
        self.sides = {}
        self.nodes_by_vm = {}
        self.leaving_addresses = set()
        self.listed_vms = set()
        self._started = 0
        for number in range(1, count + 1):
            self.start(f'entry-{number}')
        self.advance(1500)

    @property
    def nodes(self):
        return list(self.nodes_by_vm.values())

    @property
    def dispatcher(self):
        exchange = self.nodes[0].core.state.exchange
        incarnation = exchange.directory.dispatcher_of(SERVICE)
        return next(node for node in self.nodes if node.core.incarnation == incarnation)

    def others(self):
        chosen = self.dispatcher
        return [node for node in self.nodes if node is not chosen]

    def start(self, vm):
        """Start an entry, or a new incarnation of one."""
        self._started += 1
        address = f'{vm}:1'
        incarnation = f'{vm}.{self._started:012x}.ab'
        self.listed_vms.add(vm)
        self.nodes_by_vm[vm] = EntryNode(self, vm, incarnation, address)
        return self.nodes_by_vm[vm]

    def kill(self, node):
        """End an entry at once."""
        self.nodes_by_vm.pop(node.vm)

    def configure(self, changes=BASIC_CONFIGURATION, node=None):
        """Submit changes at one entry and let them spread."""
        for change in changes:
            self.submit(change, node or self.nodes[0])
        self.advance(600)

    def submit(self, change, node):
        """Submit one change at an entry."""
        change_id = f'change-{len(self.storage.rows)}'
        written = node.log.submit(
            Submission(change, change_id, 'operator', 0), node.core.config
        )
        now_ms = self.clock.monotonic_ms()
        self._perform(node, node.core.on_written(written, now_ms, self.clock.wall_ms()))
        return written.revision

    def advance(self, duration_ms):
        """Let time pass in steps, with all messages delivered in each."""
        for _ in range(int(duration_ms // STEP_MS)):
            self.clock.advance_ms(STEP_MS)
            for node in self.nodes:
                if not node.frozen:
                    self._step(node)
            self._deliver()

    def ask(self, node, request_id, rank=0):
        """Ask for a grant at an entry."""
        now_ms = self.clock.monotonic_ms()
        ask = GrantRequest(
            request_id=request_id,
            service_id=SERVICE,
            tier_rank=rank,
            team_id='billing',
            team_weight=1,
            deadline_ms=now_ms + 60_000,
            prefill_tokens=100,
            decode_tokens=10,
        )
        exchange = node.core.state.exchange
        self._settle(node, exchange.client.request_grant(ask, now_ms))
        self._deliver()

    def confirm(self, node, request_id):
        """Start using a grant; return whether it may be used."""
        client = node.core.state.exchange.client
        actions = client.confirm(request_id, self.clock.monotonic_ms())
        if actions is None:
            return False
        self._settle(node, actions)
        self._deliver()
        return True

    def finish(self, node, request_id, result=DONE):
        """Return a grant."""
        client = node.core.state.exchange.client
        self._settle(node, client.finish(request_id, result))
        self._deliver()

    def is_granted(self, node, request_id):
        """Return whether an ask was granted."""
        return isinstance(node.outcomes.get(request_id), HeldGrant)

    def is_fresh(self, node):
        """Return whether an entry may serve."""
        return node.core.is_fresh(self.clock.monotonic_ms())

    def leave(self, node):
        """Announce a planned stop."""
        self._perform(node, node.core.leave(self.clock.monotonic_ms()))
        self._deliver()

    def _step(self, node):
        now_ms = self.clock.monotonic_ms()
        self._perform(node, node.core.tick(now_ms, self.clock.wall_ms()))
        if now_ms % VM_LIST_PERIOD_MS < STEP_MS:
            self._perform(node, node.core.on_vm_list(self._vm_records(), now_ms))
        node.revisions.append(node.core.state.configuration.revision)

    def _vm_records(self):
        records = [
            VmRecord(vm, f'{vm}:1', VmRole.ENTRY, VmState.LIVE, 'a')
            for vm in sorted(self.listed_vms)
        ]
        records.extend(
            VmRecord('engine', address, VmRole.BACKEND, VmState.LEAVING, 'a')
            for address in self.leaving_addresses
        )
        return records

    def _settle(self, node, actions):
        exchange = node.core.state.exchange
        settled = exchange.deliver_local(actions, self.clock.monotonic_ms())
        self._perform(node, node.core.addressed(settled))

    def _perform(self, node, actions):
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(node, action)
            elif isinstance(action, ResolveAsk):
                node.outcomes[action.request_id] = action.outcome
            elif isinstance(action, PollStore):
                self._poll(node, action.after_revision)
            else:
                node.recorded.append(action.action)

    def _send(self, sender, action):
        target = self.nodes_by_vm.get(action.address.partition(':')[0])
        if target is None:
            return
        if self.sides.get(sender.vm) == self.sides.get(target.vm):
            target.inbox.append((sender.core.incarnation, action.message))

    def _deliver(self):
        pending = True
        while pending:
            pending = False
            for node in self.nodes:
                while node.inbox and not node.frozen:
                    pending = True
                    sender, message = node.inbox.popleft()
                    now_ms = self.clock.monotonic_ms()
                    wall_ms = self.clock.wall_ms()
                    actions = node.core.receive(sender, message, now_ms, wall_ms)
                    self._perform(node, actions)

    def _poll(self, node, after_revision):
        now_ms = self.clock.monotonic_ms()
        try:
            tail = node.log.poll(after_revision)
        except PlatformError:
            self._perform(node, node.core.on_poll_failed(now_ms))
            return
        actions = node.core.on_polled(tail, now_ms, now_ms, self.clock.wall_ms())
        self._perform(node, actions)
