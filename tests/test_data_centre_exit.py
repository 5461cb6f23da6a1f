"""Test which requests leave the data centre, and how many."""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.server_sharing import open_to_all
from marjoramfall.gateway.servers.data_centre_exit import DataCentreExit
from marjoramfall.gateway.servers.server_load import Distance
from marjoramfall.gateway.servers.server_speeds import Speed
from marjoramfall.gateway.servers.service_queue import ServiceQueue, Waiter
from tests.gateway_fakes import PLAIN, make_demand, make_load

SLOTS = 6
CALL_MS = 30
# Updates follow each other every 250 ms.
UPDATES_IN_A_BURST = 10


class ExitCase(unittest.TestCase):
    """Provide one server at home and two in other data centres."""

    is_model = False

    def setUp(self):
        self.drawn = 0.5
        self.exit = DataCentreExit(PLAIN, draw=lambda: self.drawn)
        self.exit.is_active = True
        self.home = self.make_load('home', is_local=True)
        self.away = [self.make_load(name, is_local=False) for name in ('b', 'c')]
        self.loads = [self.home, *self.away]

    def make_load(self, server_id, *, is_local):
        """Return the load of a server that peers have measured."""
        load = make_load(server_id, is_model=self.is_model, slots=SLOTS)
        load.distance = Distance(is_local)
        load.speeds.add_peer_speed(Speed(CALL_MS, 20, 30), 1)
        return load

    def occupy(self, load, running):
        """Replace what runs at a server."""
        load.add_peer_load(running - load.running, 0)

    def update(self, times=1, *, is_informed=True):
        """Adapt the share some times and return it."""
        for _ in range(times):
            self.exit.update(self.loads, is_informed=is_informed)
        return self.exit.share


class TestCalm(ExitCase):
    """Every data centre has room."""

    def test_stays(self):
        """Guards against plain calls that leave by chance while there is room."""
        self.occupy(self.home, 1)
        self.assertEqual(self.update(UPDATES_IN_A_BURST), 0)
        chosen = self.exit.candidates(self.loads, make_demand(), 0)
        self.assertEqual(chosen, [self.home])

    def test_short_peak(self):
        """Guards against calls sent away for a peak that is over at once."""
        self.occupy(self.home, 2)
        self.update(2)
        self.occupy(self.home, 4)
        self.update()
        self.occupy(self.home, 2)
        self.assertEqual(self.update(3), 0)

    def test_all_busy(self):
        """Guards against data centres that exchange their calls while all are full."""
        for load in self.loads:
            self.occupy(load, SLOTS)
        self.assertEqual(self.update(UPDATES_IN_A_BURST), 0)


class TestMovedCallers(ExitCase):
    """Callers of another data centre arrive here, and its servers become idle."""

    def setUp(self):
        super().setUp()
        self.occupy(self.home, SLOTS)
        self.update(UPDATES_IN_A_BURST)

    def test_leaves(self):
        """Guards against callers that wait at home beside idle servers elsewhere."""
        self.assertGreater(self.exit.share, 0.3)
        self.drawn = 0.01
        chosen = self.exit.candidates(self.loads, make_demand(), 0)
        self.assertEqual(chosen, self.away)

    def test_bounded(self):
        """Guards against sending away more than the others have room for."""
        self.assertLessEqual(self.update(100), 2 / 3)
        self.drawn = 0.9
        chosen = self.exit.candidates(self.loads, make_demand(), 0)
        self.assertEqual(chosen, [self.home])

    def test_equal_times(self):
        """Guards against a share that grows on once both sides take equally long.

        What leaves occupies the other servers: the share must settle where the
        gain is the price of leaving.
        """
        for _ in range(40):
            share = self.update()
            self.occupy(self.home, round((1 - share) * 2 * SLOTS))
            for load in self.away:
                self.occupy(load, round(share * SLOTS))
        self.assertGreater(self.exit.share, 0.2)
        self.assertLess(self.exit.share, 0.6)

    def test_returns(self):
        """Guards against calls that still leave after room has come back."""
        self.occupy(self.home, 1)
        self.assertEqual(self.update(2 * UPDATES_IN_A_BURST), 0)

    def test_full_home(self):
        """Guards against a call that waits for a share while home has no slot."""
        self.exit.share = 0
        chosen = self.exit.candidates(self.away, make_demand(), 0)
        self.assertEqual(chosen, self.away)

    def test_no_news(self):
        """Guards against servers that look idle only as their relays are silent."""
        self.assertEqual(self.update(is_informed=False), 0)


class TestHarmedHome(ExitCase):
    """The servers at home can't serve what stays."""

    def choose(self):
        """Return the servers among which a call chooses."""
        return self.exit.candidates(self.loads, make_demand(), 0)

    def test_unreachable(self):
        """Guards against calls kept at a server that peers can't reach."""
        self.home.unreachable_report_count = 5
        self.assertEqual(self.choose(), self.loads)

    def test_failing(self):
        """Guards against calls kept at a server that fails most of them."""
        self.home.error_share = 0.9
        self.assertEqual(self.choose(), self.loads)

    def test_too_slow(self):
        """Guards against a call that waits at home for a server past its deadline."""
        self.home.speeds.add_peer_speed(Speed(100_000, 20, 30), 1)
        self.assertEqual(self.choose(), self.loads)

    def test_slow_service(self):
        """Guards against a share that grows by differences small beside the time.

        The calls take 500 ms, and one more runs at home than elsewhere.
        """
        for load in self.loads:
            load.speeds.add_peer_speed(Speed(970, 20, 30), 1)
            self.occupy(load, 1)
        self.occupy(self.home, 2)
        self.assertEqual(self.update(UPDATES_IN_A_BURST), 0)

    def test_unmeasured_others(self):
        """Guards against servers that count as fast as nobody has measured them."""
        self.home.speeds.add_peer_speed(Speed(400, 20, 300), 1)
        self.away = [make_load(name, is_model=False, slots=SLOTS) for name in 'bc']
        for load in self.away:
            load.distance = Distance(is_local=False)
        self.loads = [self.home, *self.away]
        self.assertEqual(self.update(UPDATES_IN_A_BURST), 0)


class TestQueue(ExitCase):
    """The queue of a service asks which servers a request may use."""

    def setUp(self):
        super().setUp()
        self.clock = PausedClock()
        self.queue = ServiceQueue(
            self.clock, is_model=False, data_centre_exit=self.exit
        )
        self.queue.load_by_id = {load.server.server_id: load for load in self.loads}
        self.assigned = []

    def submit(self):
        """Submit a call and return the server that it got."""
        waiter = Waiter(make_demand(), self.assigned.append, self.fail)
        self.queue.submit(waiter)
        return self.assigned[-1].load

    def test_stays(self):
        """Guards against a queue that doesn't ask, and spreads calls over all."""
        chosen = {self.submit().server.server_id for _ in range(SLOTS)}
        self.assertEqual(chosen, {'home'})

    def test_home_full(self):
        """Guards against calls that wait at home while others have a free slot."""
        for _ in range(SLOTS):
            self.submit()
        self.assertIn(self.submit(), self.away)

    def test_share_without_lost_servers(self):
        """Guards against counting servers that take no calls as idle room."""
        self.occupy(self.home, SLOTS)
        self.occupy(self.away[0], SLOTS)
        self.away[1].unreachable_report_count = 3
        for _ in range(UPDATES_IN_A_BURST):
            self.exit.update(open_to_all(self.queue, 0), is_informed=True)
        self.assertEqual(self.exit.share, 0)


class TestModelRequests(ExitCase):
    """Model servers of unequal speed stand in all data centres."""

    is_model = True

    def choose(self, **changes):
        """Return the servers among which a request chooses."""
        return self.exit.candidates(self.loads, make_demand(**changes), 0)

    def test_served_at_home(self):
        """Guards against leaving for a speed that the caller does not need."""
        self.assertEqual(self.choose(output_tokens=100), [self.home])

    def test_slow_home(self):
        """Guards against a long answer that a slow server at home can't finish."""
        self.home.speeds.add_peer_speed(Speed(300, 100, 30), 1)
        self.assertEqual(self.choose(output_tokens=600), self.loads)

    def test_late_start_at_home(self):
        """Guards against a first response that comes late though others are idle."""
        self.home.add_peer_load(1, 60_000)
        self.assertEqual(self.choose(), self.loads)

    def test_past_its_target(self):
        """Guards against full data centres that exchange their late requests."""
        late = make_demand(target_ms=-1)
        self.assertEqual(self.exit.candidates(self.loads, late, 0), [self.home])

    def test_small_system(self):
        """Guards against a change where one group knows the load of all servers."""
        self.exit.is_active = False
        self.assertEqual(self.choose(), self.loads)


class TestSends(unittest.TestCase):
    """An operator reads how many attempts left the data centre."""

    def test_sides(self):
        """Guards against attempts counted on the wrong side."""
        metrics = GatewayMetrics(vm='entry-1')
        metrics.count_sends(PLAIN, home=2, away=1)
        metrics.count_sends(PLAIN, home=0, away=1)
        rendered = metrics.render().decode()
        self.assertIn('side="home",vm="entry-1"} 2', rendered)
        self.assertIn('side="away",vm="entry-1"} 2', rendered)
