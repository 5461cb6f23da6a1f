"""Simulate the entries of a large system and the datagrams between them."""

from collections import Counter, defaultdict
from random import Random

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peers.digest_builder import DigestBuilder
from marjoramfall.gateway.peers.group_digest import DIGEST_MARK
from marjoramfall.gateway.peers.group_relay import DigestListener, GroupRelay
from marjoramfall.gateway.peers.outside_groups import (
    digest_interval_ms,
    source_of,
)
from marjoramfall.gateway.peers.peer_loads import (
    PeerLoads,
    report_of_digest,
    report_of_state,
)
from marjoramfall.gateway.peers.peer_state import (
    decode_state,
    encode_state,
)
from marjoramfall.gateway.peers.peer_table import HEARTBEAT_MS, Member, PeerTable
from marjoramfall.gateway.servers.retry_budget import RetryBounds
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.version_moves import VersionMoves
from tests.gateway_fakes import make_load, make_state

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e')
SERVERS = 60
RATE_PER_S = 675_000
BURST = RATE_PER_S
# About the time in which an entry collects changes before it reports them.
STEP_MS = 25
REQUEST_TOKENS = 3840
SEED = 1
# Bounds set by the users: the allowed excess over a limit in a window of 8 s.
OVER_SHARE = 0.1
SLACK = 190_000
RETRY_BOUNDS = RetryBounds(share=0.2, slack=58, window_ms=10_000)
TEAM = Team('school', None, RATE_PER_S, BURST, counts_tokens=True, plain_tokens=200)


def members(count):
    """Return the data centre of each of many VMs."""
    return {f'vm-{number:03}': DATA_CENTRES[number % 5] for number in range(count)}


class SimulatedEntry(DigestListener):
    """Run the coordination of one entry without sockets."""

    def __init__(self, network, vm, data_centre):
        self.network = network
        self.vm = vm
        self.clock = network.clock
        self.started_ms = self.clock.monotonic_ms()
        self.incarnation = network.next_incarnation()
        self.sequence = 0
        self.peers = PeerTable(self.clock, own_vm=vm, data_centre=data_centre)
        for name, centre in network.data_centre_by_vm.items():
            self.peers.add_member(name, Member(name, centre))
        self.limits = SharedLimits(
            tolerance_share=OVER_SHARE,
            tolerance=0.3 * SLACK,
            starts_full=network.is_first_start,
        )
        self.team = network.team
        self.limits.set_teams({self.team.name: self.team}, self.started_ms)
        self.moves = VersionMoves(self.clock, expose_share=0.1)
        self.loads = {
            f's{number}': make_load(f's{number}') for number in range(SERVERS)
        }
        self.peer_loads = PeerLoads(self.loads, lambda service_id: None)
        self.retry_budgets = RetryBudgets(
            RETRY_BOUNDS,
            restarted_ms=None if network.is_first_start else self.started_ms,
            draw=network.draw,
        )
        self.uses = []
        # The configuration, which an entry that starts again reads at once.
        self.has_changed = not network.is_first_start
        self.exchanged_ms = self.started_ms
        self.digests = DigestBuilder(
            self.clock, self.peers, self.limits, self.moves, self.retry_budgets
        )
        self.relay = GroupRelay(self.peers, self, self.clock, own_vm=vm, send=self.send)

    def own_digest(self, scope, *, with_all_limits):
        state = self.state(with_all_limits=True)
        return self.digests.build(scope, state, with_all_limits=with_all_limits)

    def uptime_ms(self):
        return int(self.clock.monotonic_ms() - self.started_ms)

    def on_digest(self, digest):
        recent_share = min(1, self.uptime_ms() / max(1, digest.uptime_ms))
        now_ms = self.clock.monotonic_ms()
        self.limits.add_digest(
            digest,
            now_ms,
            recent_share=recent_share,
            own_group=self.peers.groups.own_group,
        )
        self.retry_budgets.add_digest(digest, now_ms)
        self.moves.on_reports(source_of(digest), digest.moves)
        self.peer_loads.replace(report_of_digest(digest), 0)

    def on_relay_change(self):
        self.drop_silent()

    def drop_silent(self):
        """Drop the load of those that are silent."""
        sources = {peer.state.vm for peer in self.peers.live_peers()}
        self.peer_loads.keep_only(sources | self.peers.outside.live_sources())

    def state(self, *, with_all_limits, with_levels=False):
        """Return the state for the group."""
        self.sequence += 1
        limits = self.limits
        levels = None
        if with_levels and self.vm not in self.network.old_vms:
            levels = limits.levels(self.clock.monotonic_ms())
        return make_state(
            self.vm,
            self.sequence,
            address=self.vm,
            data_centre=self.network.data_centre_by_vm[self.vm],
            incarnation=self.incarnation,
            uptime_ms=self.uptime_ms(),
            uses=self.uses,
            limit_uses=limits.uses() if with_all_limits else limits.changed_uses(),
            has_all_limits=with_all_limits,
            retry_uses=self.retry_budgets.uses(self.clock.monotonic_ms()),
            limit_levels=levels,
        )

    def heartbeat(self, *, is_full):
        """Send the state to the group, in a small system with all limits."""
        with_all_limits = is_full or (self.has_changed and not self.peers.is_large)
        self.has_changed = False
        state = self.state(with_all_limits=with_all_limits, with_levels=is_full)
        datagram = encode_state(state)
        self.send(datagram, self.peers.group_addresses())

    def send(self, datagram, addresses):
        """Send a datagram over the simulated network."""
        for address in addresses:
            self.network.deliver(self.vm, address, datagram)

    def receive(self, datagram):
        """Process a datagram as `PeerExchange` does."""
        if datagram.startswith(DIGEST_MARK):
            self.relay.receive(datagram)
            return
        state = decode_state(datagram)
        previous = self.peers.update(state)
        if previous is state:
            return
        if previous is None or previous.incarnation != state.incarnation:
            own_state = self.state(with_all_limits=True, with_levels=True)
            self.send(encode_state(own_state), [state.address])
        now_ms = self.clock.monotonic_ms()
        self.limits.add_state(state, now_ms, uptime_ms=self.uptime_ms())
        self.retry_budgets.add_state(state, now_ms)
        self.peer_loads.replace(report_of_state(state), 0)

    def check(self, *, is_heartbeat):
        """Send the digests that are due, and drop silent entries."""
        interval_ms = digest_interval_ms(len(self.peers.groups.names))
        if self.clock.monotonic_ms() - self.exchanged_ms >= interval_ms:
            self.exchanged_ms = self.clock.monotonic_ms()
            self.relay.exchange_digests()
        if is_heartbeat:
            self.drop_silent()

    def admit(self, tokens=REQUEST_TOKENS):
        """Return whether the limit of the team admits a request now."""
        limit = self.limits.find(self.team)
        limit.refill(self.clock.monotonic_ms(), self.peers.unresponsive_share())
        is_admitted = limit.try_use(tokens)
        self.has_changed = self.has_changed or is_admitted
        return is_admitted

    def running(self):
        """Return how many requests this entry sees at each server."""
        counts = {
            server_id: load.peer_running for server_id, load in self.loads.items()
        }
        for use in self.uses:
            counts[use.server_id] += use.running
        return {server_id: count for server_id, count in counts.items() if count}


class Network:
    """Connect simulated entries and count their datagrams."""

    def __init__(self, count, *, team=TEAM, step_ms=STEP_MS, seed=SEED):
        self.clock = PausedClock()
        self.team = team
        self.step_ms = step_ms
        self.steps_per_heartbeat = int(HEARTBEAT_MS / step_ms)
        self.draw = Random(seed).random
        self.data_centre_by_vm = members(count)
        self.incarnations = 0
        self.sent_by_vm = Counter()
        self.bytes_by_vm = Counter()
        self.cut_data_centre = ''
        # Entries of a version that reports no levels.
        self.old_vms = frozenset()
        self.entry_by_vm = {}
        self.step = 0
        self.is_first_start = True
        for vm in self.data_centre_by_vm:
            self.start(vm)
        self.is_first_start = False

    def next_incarnation(self):
        """Return a new incarnation."""
        self.incarnations += 1
        return self.incarnations

    def start(self, vm):
        """Start or restart an entry."""
        centre = self.data_centre_by_vm[vm]
        self.entry_by_vm[vm] = SimulatedEntry(self, vm, centre)

    def deliver(self, sender, receiver, datagram):
        """Deliver a datagram unless its receiver is dead or behind a cut."""
        self.sent_by_vm[sender] += 1
        self.bytes_by_vm[sender] += len(datagram)
        centres = {self.data_centre_by_vm[sender], self.data_centre_by_vm[receiver]}
        if len(centres) == 2 and self.cut_data_centre in centres:
            return
        entry = self.entry_by_vm.get(receiver)
        if entry is not None:
            entry.receive(datagram)

    def run(self, duration_ms):
        """Let all entries exchange their states."""
        for _ in range(int(duration_ms / self.step_ms)):
            self.clock.advance_ms(self.step_ms)
            self.step += 1
            is_heartbeat = self.step % self.steps_per_heartbeat == 0
            for entry in tuple(self.entry_by_vm.values()):
                if is_heartbeat or entry.has_changed:
                    is_full = self.step % (2 * self.steps_per_heartbeat) == 0
                    entry.heartbeat(is_full=is_full)
            for entry in tuple(self.entry_by_vm.values()):
                entry.check(is_heartbeat=is_heartbeat)

    def real_running(self):
        """Return how many requests run at each server."""
        counts = Counter()
        for entry in self.entry_by_vm.values():
            for use in entry.uses:
                counts[use.server_id] += use.running
        return dict(counts)

    def relays(self):
        """Return the relays of each group."""
        relays = defaultdict(list)
        for entry in self.entry_by_vm.values():
            if entry.relay.is_relay:
                relays[entry.peers.groups.own_group].append(entry.vm)
        return relays
