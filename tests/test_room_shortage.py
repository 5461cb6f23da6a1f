"""Test who is served, who is refused and who waits while room is short."""

import unittest
from collections import Counter
from functools import partial

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.servers.overload import OverloadError
from marjoramfall.gateway.servers.promised_returns import PromisedReturns
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.shedding import Waiter
from marjoramfall.gateway.servers.waiting_order import PeerWaiter, UnlistedWork
from tests.gateway_fakes import make_demand, make_load

STEP_MS = 10
SERVICE_MS = 200
SLOTS = 10
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_MS
# No team may be served less than half as often as all.
MIN_TEAM_SHARE = 0.5


def ends_ms(assignment):
    """Return when an assigned request ends."""
    return assignment.request.started_ms + SERVICE_MS


class Load:
    """Play callers against the queue of one entry, whose servers take 200 ms."""

    def __init__(self):
        self.clock = PausedClock()
        self.queue = ServiceQueue(self.clock, is_model=True)
        for number in range(SLOTS // 2):
            self.queue.load_by_id[f's{number}'] = make_load(f's{number}')
        self.running = []
        self.asked = Counter()
        self.served = Counter()
        self.timely = Counter()
        self.refused = Counter()
        self.longest_wait_ms = Counter()
        self.refused_at_once = 0
        self.retry_after_ms = []
        self.idle_slots_while_waiting = 0

    def play(self, until_s, arrivals):
        """Send requests of each kind at a rate until a time, and let them end."""
        due = dict.fromkeys(arrivals, 0.0)
        while self.clock.monotonic_ms() < until_s * 1000:
            self.step()
            for kind, rate in arrivals.items():
                due[kind] += rate * STEP_MS / 1000
                while due[kind] >= 1:
                    due[kind] -= 1
                    self.ask(*kind)

    def step(self):
        """Advance the clock, and end the requests that are due."""
        self.clock.advance_ms(STEP_MS)
        now_ms = self.clock.monotonic_ms()
        while self.running and ends_ms(self.running[0]) <= now_ms:
            self.queue.finish(self.running.pop(0))
        self.queue.assign()
        if self.queue.waiters:
            self.idle_slots_while_waiting += SLOTS - len(self.running)

    def ask(self, priority, team='', **changes):
        """Send one request."""
        kind = (priority, team)
        now_ms = self.clock.monotonic_ms()
        demand = make_demand(now_ms, priority, team=team, **changes)
        self.asked[kind] += 1

        on_reject = partial(self.on_reject, kind)
        try:
            self.queue.submit(Waiter(demand, self.on_assigned, on_reject))
        except OverloadError as error:
            self.refused_at_once += 1
            on_reject(error)

    def on_assigned(self, assignment):
        """Count a request that got a place."""
        demand = assignment.request.demand
        kind = (demand.priority, demand.team)
        started_ms = self.clock.monotonic_ms()
        waited_ms = started_ms - demand.arrived_ms
        self.running.append(assignment)
        self.served[kind] += 1
        self.timely[kind] += started_ms <= demand.target_ms
        self.longest_wait_ms[kind] = max(self.longest_wait_ms[kind], waited_ms)

    def on_reject(self, kind, error):
        """Count a request that was refused."""
        self.refused[kind] += 1
        self.retry_after_ms.append(error.retry_after_ms)

    def share(self, *kind):
        """Return the part of the requests of a kind that got a place."""
        return self.served[kind] / self.asked[kind]


class LowBurstTest(unittest.TestCase):
    """A burst of low priority comes on top of a steady high one."""

    def setUp(self):
        self.load = Load()
        high = {(0, ''): CAPACITY_PER_S * 0.6}
        self.load.play(3, {**high, (2, ''): CAPACITY_PER_S * 1.4})
        self.high = high

    def test_high_priority_served(self):
        """Guards against a high priority that pays for the burst of a low one."""
        self.assertEqual(self.load.refused[0, ''], 0)
        self.assertEqual(self.load.timely[0, ''], self.load.served[0, ''])
        self.assertLess(self.load.longest_wait_ms[0, ''], SERVICE_MS)

    def test_no_idle_slot(self):
        """Guards against a slot that stays free while requests wait."""
        self.assertEqual(self.load.idle_slots_while_waiting, 0)

    def test_low_served_after(self):
        """Guards against refusing a low priority for long after a burst."""
        # What waits from the burst has left by then.
        self.load.play(6.5, self.high)
        refused = self.load.refused[2, '']
        self.load.play(10, {**self.high, (2, ''): CAPACITY_PER_S * 0.3})
        self.assertEqual(self.load.refused[2, ''], refused)


class SteadyOverloadTest(unittest.TestCase):
    """More comes than can be served, for long."""

    def setUp(self):
        self.arrivals = {(1, ''): CAPACITY_PER_S * 1.3}

    def test_room_is_used(self):
        """Guards against an overload in which little is served, or all of it late."""
        load = Load()
        load.play(20, self.arrivals)
        served = load.served[1, '']
        self.assertGreater(served, 0.98 * 20 * CAPACITY_PER_S)
        self.assertGreater(load.timely[1, ''], 0.7 * served)

    def test_refused_at_once(self):
        """Guards against callers who wait in vain before they are refused.

        What comes first waits, as a burst may end before its callers leave.
        """
        load = Load()
        load.play(5, self.arrivals)
        refused, at_once = load.refused[1, ''], load.refused_at_once
        load.play(20, self.arrivals)
        refused, at_once = load.refused[1, ''] - refused, load.refused_at_once - at_once
        self.assertGreater(refused, 0)
        self.assertGreater(at_once, 0.7 * refused)


class HotTeamTest(unittest.TestCase):
    """One team sends six times as much as each of the others."""

    def test_no_team_starved(self):
        """Guards against a team that takes the room of all others."""
        load = Load()
        rate = CAPACITY_PER_S * 1.5 / 10
        others = {(1, f'team-{number}'): rate for number in range(4)}
        load.play(15, {(1, 'hot'): 6 * rate, **others})
        total = sum(load.served.values()) / sum(load.asked.values())
        for kind in others:
            self.assertGreaterEqual(load.share(*kind), total)
        self.assertGreater(load.share(1, 'hot'), MIN_TEAM_SHARE * total)


class TwoGroupsTest(unittest.TestCase):
    """Entries of another group have many requests waiting, this one has room."""

    def setUp(self):
        self.load = Load()
        for _ in range(20):
            waiter = PeerWaiter(rank=1, arrived_ms=-1000)
            self.load.queue.peers.add('dc-b/0', waiter, is_outside=True)

    def test_own_slots_used(self):
        """Guards against own slots left idle for requests that can't take them."""
        self.load.ask(1)
        self.assertEqual(self.load.served[1, ''], 1)

    def test_not_refused(self):
        """Guards against a refusal for what waits at a group that is full."""
        for _ in range(40):
            self.load.ask(1)
        self.assertEqual(self.load.refused[1, ''], 0)

    def test_slots_of_others(self):
        """Guards against taking from another group what its own requests wait for."""
        for server in self.load.queue.load_by_id.values():
            server.reserve_slots(1)
        self.load.queue.other_group_server_ids.update(self.load.queue.load_by_id)
        self.load.ask(1)
        self.assertEqual(self.load.served[1, ''], 0)

    def test_unlisted_work(self):
        """Guards against queueing behind more work than the peers list."""
        unlisted = UnlistedWork(rank=1, count=200, slot_ms=200 * 500)
        self.load.queue.peers.add('vm-2', PeerWaiter(1, 0), is_outside=False)
        self.load.queue.peers.add_unlisted('vm-2', unlisted)
        for _ in range(SLOTS):
            self.load.ask(0)
        self.load.ask(1)
        self.assertEqual(self.load.refused[1, ''], 1)
        self.load.ask(0)
        self.assertEqual(self.load.refused[0, ''], 0)


class ReturningCallersTest(unittest.TestCase):
    """Callers that were refused come back, all that can at once."""

    def test_returned_first(self):
        """Guards against serving first-comers before those that come back."""
        load = Load()
        for _ in range(SLOTS):
            load.ask(0)
        load.ask(1, 'new')
        load.ask(1, 'returned', lead_ms=3000)
        for _ in range(SERVICE_MS // STEP_MS):
            load.step()
        order = [a.request.demand.team for a in load.running]
        self.assertEqual(order[:2], ['returned', 'new'])

    def test_returns_are_spread(self):
        """Guards against returns that come in the same moment."""
        load = Load()
        for _ in range(600):
            load.ask(1, give_up_ms=2000, deadline_ms=30_000)
        spread = sorted(load.retry_after_ms)
        self.assertEqual(len(set(spread)), len(spread))
        self.assertGreater(spread[-1] - spread[0], 1000)

    def test_later_refusal_later_return(self):
        """Guards against returns nearer to each other than room comes free."""
        returns = PromisedReturns()
        after_ms = [
            returns.promise(
                1, now_ms=0, wait_ms=500, slot_ms=200, rate=2, longest_ms=3000
            )
            for _ in range(3)
        ]
        self.assertEqual(after_ms, [500, 600, 700])

    def test_no_longer_than_honoured(self):
        """Guards against a time after which the caller has come back already."""
        after_ms = PromisedReturns().promise(
            1, now_ms=0, wait_ms=5000, slot_ms=200, rate=2, longest_ms=900
        )
        self.assertLessEqual(after_ms, 900)
        self.assertGreaterEqual(after_ms, 450)
