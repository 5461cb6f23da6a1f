"""Simulate the retries of many entries whose servers fail at once."""

import random
from contextlib import ExitStack
from types import SimpleNamespace

from msgspec.structs import replace

from marjoramfall.gateway.peers.peer_state import ServerUse
from marjoramfall.gateway.retry_gate import RetryGate
from tests.gateway_fakes import MODEL
from tests.group_simulation import (
    RETRY_BOUNDS,
    SEED,
    STEP_MS,
    Network,
    SimulatedEntry,
)

# On the way between two entries.
DATAGRAM_DELAY_MS = 100
# How long requests ask for a retry.
PATIENCE_MS = 6000
FIELDS = SimpleNamespace(attempt_id='a-1')


def make_call(*, is_begun=True):
    """Return what a retry gate reads of a call."""
    return SimpleNamespace(
        service_id=MODEL, is_begun_stream=is_begun, fields=FIELDS, attempts_left=1
    )


class RetryEntry(SimulatedEntry):
    """Ask for retries of failed requests, and again after each refusal."""

    is_old = False

    def __init__(self, network, vm, data_centre):
        super().__init__(network, vm, data_centre)
        self.budget = self.retry_budgets.find(MODEL)
        self.gate = RetryGate(
            self.clock, self.peers, self.retry_budgets, self.find_queue, self.notify
        )
        self.asks = []

    def find_queue(self, _service_id):
        """Return a queue with all running requests that this entry knows of."""
        own_requests = range(sum(use.running for use in self.uses))
        running = sum(self.running().values())
        load = SimpleNamespace(running=running, own_requests=own_requests)
        return SimpleNamespace(load_by_id={'s0': load})

    def notify(self):
        """Send the state at the next step."""
        self.has_changed = True

    def state(self, *, with_all_limits, with_levels=False):
        state = super().state(with_all_limits=with_all_limits, with_levels=with_levels)
        return replace(state, retry_uses=None) if self.is_old else state

    def own_digest(self, scope, *, with_all_limits):
        digest = super().own_digest(scope, with_all_limits=with_all_limits)
        if self.is_old:
            return replace(digest, retry_uses=None, retry_reporters=0)
        return digest

    def begin(self, count):
        """Let requests run."""
        self.uses = [ServerUse('s0', count, 0)]
        self.notify()

    def fail_all(self, *, is_begun):
        """Count the running requests and ask for a retry of each."""
        now_ms = self.clock.monotonic_ms()
        for number in range(self.uses[0].running, 0, -1):
            self.uses = [ServerUse('s0', number - 1, 0)]
            self.budget.on_request(now_ms)
            self.network.request_times.append(now_ms)
            self.ask(make_call(is_begun=is_begun), now_ms + PATIENCE_MS, ExitStack())

    def ask(self, call, give_up_ms, waiting, *, has_waited=False):
        """Ask for a retry, and wait if it is refused."""
        now_ms = self.clock.monotonic_ms()
        if self.may_retry(call, has_waited=has_waited):
            self.network.retry_times.append(now_ms)
            self.notify()
            waiting.close()
        elif now_ms > give_up_ms or self.is_old:
            waiting.close()
        else:
            waiting.enter_context(self.gate.waiting(call))
            due_ms = now_ms + self.gate.pause_ms
            self.asks.append((due_ms, call, give_up_ms, waiting))

    def may_retry(self, call, *, has_waited):
        """Decide as this build, or as the one before, which shares nothing."""
        if self.is_old:
            now_ms = self.clock.monotonic_ms()
            return self.budget.try_retry(now_ms, self.peers.entry_count())
        return self.gate.try_retry(call, has_waited=has_waited)

    def ask_again(self):
        """Ask for the retries that are due."""
        due = [ask for ask in self.asks if ask[0] <= self.clock.monotonic_ms()]
        self.asks = [ask for ask in self.asks if ask not in due]
        for _due_ms, call, give_up_ms, waiting in due:
            waiting.close()
            self.ask(call, give_up_ms, waiting, has_waited=True)


class RetryNetwork(Network):
    """Deliver datagrams late, and count requests and retries of all entries."""

    def __init__(self, count, *, old_count=0, seed=SEED):
        self.on_the_way = []
        self.request_times = []
        self.retry_times = []
        self.old_count = old_count
        # Relays choose members at random.
        random.seed(seed)
        self.random = random.Random(seed)
        super().__init__(count, seed=seed)
        self.run(2000)

    def start(self, vm):
        """Start an entry, of the build before if it is one of the first."""
        entry = RetryEntry(self, vm, self.data_centre_by_vm[vm])
        entry.is_old = vm in list(self.data_centre_by_vm)[: self.old_count]
        self.entry_by_vm[vm] = entry

    def deliver(self, sender, receiver, datagram):
        """Put a datagram on its way."""
        due_ms = self.clock.monotonic_ms() + DATAGRAM_DELAY_MS
        self.on_the_way.append((due_ms, sender, receiver, datagram))

    def run(self, duration_ms):
        """Run in steps, in which datagrams arrive and requests ask again."""
        for _ in range(int(duration_ms / STEP_MS)):
            super().run(STEP_MS)
            now_ms = self.clock.monotonic_ms()
            arrived = [each for each in self.on_the_way if each[0] <= now_ms]
            del self.on_the_way[: len(arrived)]
            for _due_ms, sender, receiver, datagram in arrived:
                Network.deliver(self, sender, receiver, datagram)
            for entry in self.entry_by_vm.values():
                entry.ask_again()

    def wave(self, count, *, is_begun=True):
        """Let requests run at all entries and fail at once."""
        entries = list(self.entry_by_vm.values())
        for entry in entries:
            entry.begin(count)
        self.run(1500)
        for entry in self.random.sample(entries, len(entries)):
            entry.fail_all(is_begun=is_begun)

    def replace_entries(self, share):
        """Kill a share of the entries, and start them again after a second."""
        vms = list(self.data_centre_by_vm)
        killed = self.random.sample(vms, int(share * len(vms)))
        for vm in killed:
            self.entry_by_vm.pop(vm)
        self.run(1000)
        for vm in killed:
            self.start(vm)

    def most_used(self):
        """Return the largest share of what the rule allows in a window."""
        return max(map(self.share_used_until, self.retry_times))

    def share_used_until(self, end_ms):
        """Return the share that is used in the window that ends at a time."""
        retries = self._count(self.retry_times, end_ms)
        requests = self._count(self.request_times, end_ms)
        return retries / (RETRY_BOUNDS.share * requests + RETRY_BOUNDS.slack)

    def _count(self, times, end_ms):
        return sum(end_ms - RETRY_BOUNDS.window_ms <= time <= end_ms for time in times)
