"""Test the limit of a team while entries are killed, replaced and started again.

The patterns are the plays of issue 38: callers that ask at every entry without pause
while entries start again, one after the other or all at once.
"""

import random
import unittest
from collections import deque
from itertools import chain

from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peers.peer_table import Member
from tests.group_simulation import OVER_SHARE, SLACK, Network

SEED = 20261206
ENTRIES = 24
LARGE = 65
STEP_MS = 5
REQUEST_TOKENS = 20_000
RATE_PER_S = 30 * REQUEST_TOKENS
WINDOW_MS = 8000
# A caller asks at each entry on average every 10 ms.
ASK_PROBABILITY = 0.5
# At each of many entries, so that all together ask for 9 times the limit.
LARGE_ASK_PROBABILITY = 0.0425
PLAY_MS = 60_000
# Within this time, an entry that knows the others has been answered by them.
HEARD_MS = 25
KILL_INTERVAL_MS = 2500
KILL_ALL_INTERVAL_MS = 5000
DOWN_MS = 1000
# From the first entry to the last, as processes of one machine come up.
FIRST_STARTS_MS = 1000
# An entry may be asked before it has read the table of all entries.
READ_MS = 400


def make_team(rate_per_s, burst):
    """Return a team whose limit is given in requests."""
    return Team(
        'tide',
        1,
        rate_per_s * REQUEST_TOKENS,
        burst * REQUEST_TOKENS,
        counts_tokens=True,
        plain_tokens=200,
    )


TEAM = make_team(30, 60)
LARGE_TEAM = make_team(60, 200)


class LimitPlay:
    """Let callers ask at the entries of a system, and record what was admitted."""

    def __init__(
        self, count=ENTRIES, *, team=TEAM, ask=ASK_PROBABILITY, knows_members=True
    ):
        self.team = team
        self.ask_probability = ask
        self.knows_members = knows_members
        self.rng = random.Random(SEED)
        random.seed(SEED)
        self.network = Network(count, team=team, step_ms=STEP_MS)
        self.admitted_ms = []
        self.refused_ms = []
        self.down = deque()
        self.reading = deque()
        self.network.run(1000)
        self.started_ms = self.now_ms

    @property
    def now_ms(self):
        """Return the time of the simulation."""
        return self.network.clock.monotonic_ms()

    def run(self, duration_ms, ask, *, restart=None):
        """Play with a way of asking, and one of restarting entries."""
        for _ in range(int(duration_ms / STEP_MS)):
            if restart is not None:
                restart()
            ask()
            self.network.run(STEP_MS)

    def ask_everywhere(self):
        """Ask at every entry without pause."""
        for entry in tuple(self.network.entry_by_vm.values()):
            if self.rng.random() < self.ask_probability:
                self.ask(entry)

    def ask_half(self):
        """Ask for half of the limit, at random entries."""
        entries = list(self.network.entry_by_vm.values())
        asked = 0.5 * self.team.rate_per_s / REQUEST_TOKENS * STEP_MS / 1000
        if entries and self.rng.random() < asked:
            self.ask(self.rng.choice(entries))

    def ask(self, entry):
        """Ask at one entry."""
        if entry.admit(REQUEST_TOKENS):
            self.admitted_ms.append(self.now_ms)
        elif entry.uptime_ms() >= HEARD_MS:
            self.refused_ms.append(self.now_ms)

    def kill(self, vms):
        """Kill entries, which start again after a while."""
        for vm in vms:
            self.network.entry_by_vm.pop(vm)
            self.down.append((self.now_ms + DOWN_MS, vm))

    def start_again(self):
        """Start the entries that were killed long enough ago."""
        while self.down and self.down[0][0] <= self.now_ms:
            self.start(self.down.popleft()[1])
        while self.reading and self.reading[0][0] <= self.now_ms:
            peers = self.reading.popleft()[1].peers
            for vm, data_centre in self.network.data_centre_by_vm.items():
                peers.add_member(vm, Member(vm, data_centre))

    def start(self, vm):
        """Start an entry, which may have to read who the others are."""
        all_members = self.network.data_centre_by_vm
        if not self.knows_members:
            self.network.data_centre_by_vm = {vm: all_members[vm]}
        self.network.start(vm)
        self.network.data_centre_by_vm = all_members
        started = self.network.entry_by_vm[vm]
        self.reading.append((self.now_ms + READ_MS, started))

    def restart_each(self, interval_ms, count, *, spared=()):
        """Kill some entries after each interval."""
        self.start_again()
        if (self.now_ms - self.started_ms) % interval_ms == interval_ms / 2:
            vms = sorted(set(self.network.entry_by_vm) - set(spared))
            self.kill(self.rng.sample(vms, count))

    def kill_two(self):
        """Kill two entries at each interval, as in the plays of the issue."""
        self.restart_each(KILL_INTERVAL_MS, 2)

    def kill_two_members(self):
        """Kill two entries that are not the relays of their groups."""
        relays = chain.from_iterable(self.network.relays().values())
        self.restart_each(KILL_INTERVAL_MS, 2, spared=relays)

    def kill_relay(self):
        """Kill the relay of one group, which becomes it again later, at each turn."""
        relays = min(sorted(self.network.relays().items()))[1]
        members = set(self.network.entry_by_vm) - set(relays)
        self.restart_each(KILL_ALL_INTERVAL_MS, 1, spared=members)

    def replace_one(self):
        """Replace one entry after the other."""
        self.restart_each(DOWN_MS, 1)

    def kill_all(self):
        """Kill all entries at once every five seconds."""
        self.restart_each(KILL_ALL_INTERVAL_MS, len(self.network.entry_by_vm))

    def max_in_window(self):
        """Return the most tokens admitted in any window of the rule."""
        window = deque()
        most = 0
        for admitted_ms in self.admitted_ms:
            window.append(admitted_ms)
            while window[0] <= admitted_ms - WINDOW_MS:
                window.popleft()
            most = max(most, len(window))
        return most * REQUEST_TOKENS

    def total(self):
        """Return the tokens admitted in the whole play."""
        return len(self.admitted_ms) * REQUEST_TOKENS


class LimitCase(unittest.TestCase):
    """Check a play against the rule and the limit over the whole time."""

    def assert_within(self, play, duration_ms):
        """Require the rule in each window, and the rate over the play.

        Each entry may admit one request before it hears of another's.
        """
        team = play.team
        allowed = team.rate_per_s * WINDOW_MS / 1000 + team.burst
        allowed = allowed * (1 + OVER_SHARE) + SLACK
        self.assertLessEqual(play.max_in_window(), allowed)
        expected = team.rate_per_s * duration_ms / 1000 + team.burst
        tolerance = OVER_SHARE * team.burst + 0.3 * SLACK
        unheard = len(play.network.data_centre_by_vm) * REQUEST_TOKENS
        self.assertLessEqual(play.total(), expected + tolerance + unheard)


class TestRestarts(LimitCase):
    """A team gets its limit and no more, whichever entries start again."""

    def test_two_killed(self):
        """Guards against another tolerance for each entry that starts again."""
        for knows_members in (True, False):
            with self.subTest(knows_members=knows_members):
                play = LimitPlay(knows_members=knows_members)
                play.run(PLAY_MS, play.ask_everywhere, restart=play.kill_two)
                self.assert_within(play, PLAY_MS)
                self.assertGreater(play.total(), 0.97 * RATE_PER_S * PLAY_MS / 1000)

    def test_replaced_in_turn(self):
        """Guards against the same when entries are replaced one after the other."""
        play = LimitPlay(knows_members=False)
        play.run(PLAY_MS / 2, play.ask_everywhere, restart=play.replace_one)
        self.assert_within(play, PLAY_MS / 2)
        self.assertGreater(play.total(), 0.97 * RATE_PER_S * PLAY_MS / 2000)

    def test_all_killed(self):
        """Guards against a tolerance for each kill of all, and a long wait after it."""
        play = LimitPlay()
        play.run(PLAY_MS / 2, play.ask_everywhere, restart=play.kill_all)
        self.assert_within(play, PLAY_MS / 2)
        up_share = 1 - DOWN_MS / (KILL_ALL_INTERVAL_MS)
        rate = RATE_PER_S * up_share
        self.assertGreater(play.total(), 0.9 * rate * PLAY_MS / 2000)

    def test_below_limit(self):
        """Guards against refusing a team at half its limit because entries start."""
        for restart in ('kill_two', 'replace_one'):
            with self.subTest(restart=restart):
                play = LimitPlay()
                play.run(PLAY_MS / 4, play.ask_half, restart=getattr(play, restart))
                self.assertEqual(play.refused_ms, [])

    def test_below_limit_all_killed(self):
        """Guards against refusing such a team for long after a kill of all."""
        play = LimitPlay()
        play.run(PLAY_MS / 4, play.ask_half, restart=play.kill_all)
        for refused_ms in play.refused_ms:
            since_start_ms = (refused_ms - play.started_ms) % KILL_ALL_INTERVAL_MS
            since_start_ms -= KILL_ALL_INTERVAL_MS / 2 + DOWN_MS
            self.assertLess(since_start_ms, 1000)

    def test_build_before(self):
        """Guards against the same beside entries that report no levels."""
        play = LimitPlay()
        kept = sorted(play.network.entry_by_vm)[:: ENTRIES // 6]
        play.network.old_vms = frozenset(kept)
        play.run(PLAY_MS / 2, play.ask_everywhere, restart=play.kill_two)
        self.assert_within(play, PLAY_MS / 2)


class TestGroups(LimitCase):
    """The same holds for entries that are divided into groups."""

    def test_killed(self):
        """Guards against another tolerance for each entry that starts again."""
        play = LimitPlay(LARGE, team=LARGE_TEAM, ask=LARGE_ASK_PROBABILITY)
        play.run(PLAY_MS / 2, play.ask_everywhere, restart=play.kill_two_members)
        self.assert_within(play, PLAY_MS / 2)

    def test_below_limit(self):
        """Guards against refusing a team at half its limit because entries start."""
        play = LimitPlay(LARGE, team=LARGE_TEAM)
        play.run(PLAY_MS / 4, play.ask_half, restart=play.kill_two)
        self.assertEqual(play.refused_ms, [])

    def test_relays_killed(self):
        """Guards against use that is forgotten each time a relay is replaced."""
        play = LimitPlay(LARGE, team=LARGE_TEAM, ask=LARGE_ASK_PROBABILITY)
        play.run(PLAY_MS / 2, play.ask_everywhere, restart=play.kill_relay)
        self.assert_within(play, PLAY_MS / 2)

    def test_relay_in_turns(self):
        """Guards against counting use again that another relay had reported."""
        play = LimitPlay(LARGE, team=LARGE_TEAM)
        play.run(PLAY_MS, play.ask_half, restart=play.kill_relay)
        self.assertEqual(play.refused_ms, [])


class TestFirstStart(LimitCase):
    """Entries that start for the first time begin with one burst together."""

    def check(self, play, duration_ms, ask):
        """Play from the start of the first entry on; the others follow in turn."""
        vms = sorted(play.network.entry_by_vm)
        play.network.entry_by_vm.clear()
        play.network.is_first_start = True
        interval_ms = FIRST_STARTS_MS / len(vms)
        play.down.extend(
            (play.now_ms + number * interval_ms, vm) for number, vm in enumerate(vms)
        )
        play.run(duration_ms, ask, restart=play.start_again)
        return play

    def test_one_after_the_other(self):
        """Guards against a full burst for each entry that starts after the first."""
        play = LimitPlay()
        self.check(play, PLAY_MS / 4, play.ask_everywhere)
        self.assert_within(play, PLAY_MS / 4)

    def test_groups(self):
        """Guards against the same in a system with groups of entries."""
        play = LimitPlay(LARGE, team=LARGE_TEAM, ask=LARGE_ASK_PROBABILITY)
        self.check(play, PLAY_MS / 4, play.ask_everywhere)
        self.assert_within(play, PLAY_MS / 4)

    def test_below_limit(self):
        """Guards against refusing a team at half its limit because entries start."""
        play = LimitPlay()
        self.check(play, PLAY_MS / 4, play.ask_half)
        self.assertEqual(play.refused_ms, [])
