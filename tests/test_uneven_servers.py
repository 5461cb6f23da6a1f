"""Test the placement of long and short answers at servers of unequal speed."""

import random
import unittest

import msgspec

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.peers.digest_speeds import DigestSpeeds
from marjoramfall.gateway.peers.group_digest import (
    DIGEST_FORM,
    DIGEST_MARK,
    DIRECT,
    GroupDigest,
    Scope,
    decode_digest,
    encode_digest,
)
from marjoramfall.gateway.peers.peer_loads import (
    PeerLoads,
    report_of_digest,
    report_of_state,
)
from marjoramfall.gateway.peers.peer_state import DigestSpeed, ServerSpeed
from marjoramfall.gateway.servers.length_estimate import LengthEstimates
from marjoramfall.gateway.servers.server_speeds import ServerSpeeds, Speed
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.speed_prior import expect_speeds
from marjoramfall.gateway.servers.stream_timing import StreamTiming
from tests.gateway_case import GatewayCase, start_events
from tests.gateway_fakes import MODEL, make_load, make_state
from tests.test_service_queue import QueueCase

FAST_MS = 16
SLOW_MS = 72
FAST = Speed(FAST_MS, 13, samples=20)
SLOW = Speed(SLOW_MS, 59, samples=20)
LONG_TOKENS = 400
SHORT_TOKENS = 40
EVENT_GAP_S = 0.01
SLOWED_SHARE = 0.15


class UnevenCase(QueueCase):
    """Provide a queue with servers of both speeds and unmeasured ones."""

    def use_servers(self, slots=5, **speed_by_id):
        """Replace the servers; those without a speed are unmeasured."""
        self.queue.load_by_id = {
            server_id: make_load(server_id, slots=slots) for server_id in speed_by_id
        }
        for server_id, speed in speed_by_id.items():
            if speed is not None:
                self.queue.load_by_id[server_id].speeds.add_peer_speed(speed, 1)
        expect_speeds(self.queue.load_by_id.values())
        self.queue.fast_slots.update(self.queue.load_by_id.values())

    def take_slots(self, server_id, count):
        """Let peers use slots of a server."""
        self.queue.load_by_id[server_id].add_peer_load(count, 0)


class TestLongAnswers(UnevenCase):
    """Long answers arrive while some servers are slow or not measured yet."""

    def test_unmeasured_server(self):
        """Guards against a long answer at a server whose speed nobody knows."""
        self.use_servers(f1=FAST, f2=FAST, slow=SLOW, new=None)
        self.take_slots('f1', 3)
        self.take_slots('f2', 3)
        self.submit(output_tokens=LONG_TOKENS)
        self.assertIn(self.chosen_ids()[0], {'f1', 'f2'})

    def test_exploration(self):
        """Guards against a server that is never measured, as no request goes there."""
        self.use_servers(f1=FAST, f2=FAST, slow=SLOW, new=None)
        self.take_slots('f1', 4)
        self.take_slots('f2', 4)
        self.submit(output_tokens=SHORT_TOKENS, prompt_tokens=200)
        self.assertEqual(self.chosen_ids(), ['new'])

    def test_few_measured(self):
        """Guards against one measured server that stands for all others."""
        self.use_servers(slow=SLOW, new=None)
        self.submit(output_tokens=LONG_TOKENS)
        self.assertEqual(self.chosen_ids(), ['new'])

    def test_cautious_length(self):
        """Guards against a slow server that ends in time only by the hint."""
        self.use_servers(fast=FAST, slow=SLOW)
        self.queue.load_by_id['fast'].add_peer_load(2, 700_000)
        bounds = {'target_ms': 15_000, 'deadline_ms': 20_000}
        self.submit(output_tokens=250, **bounds)
        self.submit(output_tokens=250, cautious_output_tokens=600, **bounds)
        self.assertEqual(self.chosen_ids(), ['slow', 'fast'])

    def test_late_request(self):
        """Guards against a late request that is assigned where it will be lost."""
        self.use_servers(slots=1, fast=FAST, slow=SLOW)
        self.submit(output_tokens=LONG_TOKENS)
        self.submit(output_tokens=LONG_TOKENS)
        self.clock.advance_ms(900)
        self.queue.assign()
        self.assertEqual(self.chosen_ids(), ['fast'])
        self.finish_first()
        self.assertEqual(self.chosen_ids(), ['fast'])

    def test_caution(self):
        """Guards against a late answer for fear that it might be a long one."""
        self.use_servers(slots=1, fast=FAST, slow=SLOW)
        self.submit(output_tokens=LONG_TOKENS)
        self.submit(output_tokens=250, cautious_output_tokens=500)
        self.assertEqual(self.chosen_ids(), ['fast'])
        self.clock.advance_ms(700)
        self.queue.assign()
        self.assertEqual(self.chosen_ids(), ['fast', 'slow'])

    def test_long_gap(self):
        """Guards against a server whose every event comes too late for the caller."""
        self.use_servers(fast=FAST, slow=SLOW)
        self.queue.load_by_id['fast'].add_peer_load(2, 160_000)
        relaxed = {'target_ms': 9000, 'deadline_ms': 90_000}
        self.submit(output_tokens=40, **relaxed)
        self.submit(output_tokens=40, max_gap_ms=SLOW_MS / 2, **relaxed)
        self.assertEqual(self.chosen_ids(), ['slow', 'fast'])


class TestShortBesideLong(UnevenCase):
    """A burst of short answers meets long ones while fast slots are scarce."""

    def test_burst(self):
        """Guards against short answers that take the last fast slots."""
        self.use_servers(f1=FAST, f2=FAST, s1=SLOW, s2=SLOW)
        self.take_slots('f1', 4)
        self.take_slots('f2', 3)
        for _ in range(6):
            self.submit(output_tokens=SHORT_TOKENS, prompt_tokens=200)
        self.assertEqual(set(self.chosen_ids()), {'s1', 's2'})
        self.submit(output_tokens=LONG_TOKENS)
        self.assertIn(self.chosen_ids()[-1], {'f1', 'f2'})

    def test_free_fast_slots(self):
        """Guards against slow answers while fast slots are plenty."""
        self.use_servers(f1=FAST, f2=FAST, s1=SLOW, s2=SLOW)
        self.submit(output_tokens=SHORT_TOKENS, prompt_tokens=200)
        self.assertIn(self.chosen_ids()[0], {'f1', 'f2'})

    def test_target(self):
        """Guards against a short answer that is late for the sake of others."""
        self.use_servers(f1=FAST, f2=FAST, s1=SLOW, s2=SLOW)
        self.take_slots('f1', 4)
        self.take_slots('f2', 4)
        self.submit(output_tokens=SHORT_TOKENS, prompt_tokens=8000, target_ms=700)
        self.assertIn(self.chosen_ids()[0], {'f1', 'f2'})

    def test_even_servers(self):
        """Guards against another choice where all servers are alike."""
        self.use_servers(f1=FAST, f2=FAST)
        self.take_slots('f1', 4)
        self.assertFalse(self.queue.fast_slots.is_fast(self.queue.load_by_id['f1']))


class TestSamples(unittest.TestCase):
    """A stream teaches the speed of its server while it runs."""

    def setUp(self):
        self.timing = StreamTiming(0)
        self.now_ms = 200.0
        self.timing.record_events(self.now_ms, 1)

    def run_events(self, count, gap_ms=SLOW_MS):
        """Return the samples that are due while events arrive."""
        samples = []
        for _ in range(count):
            self.now_ms += gap_ms
            self.timing.record_events(self.now_ms, 1)
            sample = self.timing.take_due_sample()
            if sample is not None:
                samples.append(sample)
        return samples

    def test_first_second(self):
        """Guards against a slow server that counts as fast until a stream ends."""
        speeds = ServerSpeeds(15)
        for sample in self.run_events(3):
            speeds.add_event_sample(sample)
        self.assertLess(self.now_ms, 1000)
        self.assertAlmostEqual(speeds.event_ms, SLOW_MS, delta=25)

    def test_rate(self):
        """Guards against one long stream that outweighs all other samples."""
        samples = self.run_events(140)
        self.assertAlmostEqual(len(samples), 1 + self.now_ms / 1000, delta=2)

    def test_pause(self):
        """Guards against a pause that is taken for the speed of a server."""
        self.run_events(3)
        self.run_events(5)
        self.now_ms += 1500
        self.timing.record_events(self.now_ms, 1)
        self.assertAlmostEqual(self.timing.take_sample(), SLOW_MS)

    def test_events_at_once(self):
        """Guards against a speed from when this process read the events."""
        self.run_events(3)
        for _ in range(4):
            self.now_ms += 4 * SLOW_MS
            self.timing.record_events(self.now_ms, 4)
        self.assertAlmostEqual(self.timing.take_sample(), SLOW_MS)

    def test_noise(self):
        """Guards against a class forgotten while servers are slower at times."""
        generator = random.Random(20261206)
        fast, slow = ServerSpeeds(15), ServerSpeeds(15)
        worst_ratio = 10.0
        for number in range(300):
            for speeds, gap_ms in ((fast, FAST_MS), (slow, SLOW_MS)):
                is_slowed = generator.random() < SLOWED_SHARE
                noise = 2.5 if is_slowed else 1
                speeds.add_event_sample(gap_ms * (0.4 + 0.6 * noise))
            if number > 10:
                worst_ratio = min(worst_ratio, slow.event_ms / fast.event_ms)
        self.assertGreater(worst_ratio, 2)

    def test_fading(self):
        """Guards against an old measurement that outweighs a new one of peers."""
        speeds = ServerSpeeds(15)
        for _ in range(30):
            speeds.add_event_sample(5 * FAST_MS)
        for _ in range(7):
            speeds.fade()
        speeds.add_peer_speed(FAST, 1)
        self.assertLess(speeds.event_ms, 1.5 * FAST_MS)

    def test_peers_gone(self):
        """Guards against a class forgotten with the peers that measured it."""
        speeds = ServerSpeeds(15)
        speeds.add_peer_speed(SLOW, 1)
        known_ms = speeds.event_ms
        speeds.add_peer_speed(SLOW, -1)
        self.assertAlmostEqual(speeds.event_ms, known_ms)


class TestBrokenStream(GatewayCase):
    """Streams that end badly teach the speed of their server, too."""

    def begin_and_break(self, exchange):
        """Send some events and break off."""
        start_events(exchange)
        for number in range(6):
            exchange.event(str(number), 'a')
            self.clock.sleep_ms(EVENT_GAP_S * 1000)
        return False

    def test_cut(self):
        """Guards against a server that is never measured, as its streams fail."""
        self.add_backend(self.begin_and_break, service_id=MODEL, server_id='s1')
        self.ask('/summary/1')
        speeds = self.fleet.queue(MODEL).load_by_id['s1'].speeds
        self.assertGreaterEqual(speeds.own.samples, 1)


class TestDigests(unittest.TestCase):
    """Groups tell each other the speeds of model servers."""

    def setUp(self):
        self.clock = PausedClock()
        self.loads = {'s1': make_load('s1'), 's2': make_load('s2')}
        self.queue = ServiceQueue(self.clock, is_model=True)
        self.peers = PeerLoads(self.loads, lambda service_id: self.queue)
        self.speeds = DigestSpeeds(self.clock)

    def receive(self, *speeds, group='g2'):
        """Process a digest after encoding and decoding it."""
        digest = decode_digest(encode_digest(make_digest(group, list(speeds))))
        self.peers.replace(report_of_digest(digest), 0)

    def test_merged(self):
        """Guards against a server of another group that counts as fast."""
        self.receive(DigestSpeed('s1', SLOW_MS * 1000, 59, 20))
        self.receive(DigestSpeed('s2', FAST_MS * 1000, 13, 20))
        self.receive()
        self.assertAlmostEqual(self.loads['s1'].speeds.event_ms, SLOW_MS, delta=3)
        self.receive(DigestSpeed('s1', FAST_MS * 1000, 13, 20))
        self.assertAlmostEqual(self.loads['s1'].speeds.event_ms, FAST_MS, delta=1)

    def test_echo(self):
        """Guards against a measurement that comes back from other groups."""
        self.receive(DigestSpeed('s1', SLOW_MS * 1000, 59, 20))
        state = make_state('entry-2', speeds=[ServerSpeed('s1', 40, 30, 5)])
        self.peers.replace(report_of_state(state), 0)
        told = self.peers.model_speeds_of(['entry-2'], {'s1': Speed(50, 30, 5)})
        self.assertEqual(told['s1'], Speed(45, 30, 10))

    def test_told_once(self):
        """Guards against bytes for speeds that have not changed."""
        known = {'s1': Speed(FAST_MS, 13, 20)}
        self.assertEqual(len(self.speeds.take_due(known)), 1)
        self.assertEqual(self.speeds.take_due({'s1': Speed(17, 14, 30)}), [])
        self.assertEqual(len(self.speeds.take_due({'s1': SLOW})), 1)
        self.clock.advance_ms(6000)
        self.assertEqual(len(self.speeds.take_due({'s1': SLOW})), 1)

    def test_bound(self):
        """Guards against a digest that grows with the number of servers."""
        known = {f's{number}': FAST for number in range(90)}
        told = [speed for _ in range(8) for speed in self.speeds.take_due(known)]
        self.assertEqual({speed.server_id for speed in told}, set(known))
        self.assertLess(len(msgspec.msgpack.encode(told)) / len(told), 12)

    def test_build_before(self):
        """Guards against a digest that the build before, or this one, can't read."""
        fields = list(msgspec.to_builtins(make_digest('g2', [])))
        old = DIGEST_MARK + DIRECT + msgspec.msgpack.encode(fields[:-1])
        self.assertEqual(decode_digest(old).speeds, [])
        self.assertEqual(GroupDigest.__struct_fields__[-1], 'speeds')
        newer = DIGEST_MARK + DIRECT + msgspec.msgpack.encode([*fields, 'more'])
        self.assertEqual(decode_digest(newer).group, 'g2')


class TestLengths(unittest.TestCase):
    """The length of a response is expected from its hint."""

    def setUp(self):
        self.lengths = LengthEstimates()

    def test_unknown_route(self):
        """Guards against a hint that is taken as exact before any response ended."""
        tokens = self.lengths.cautious_tokens('plan', 100, 1000)
        self.assertGreater(tokens, 150)
        self.assertLess(tokens, 250)

    def test_maximum(self):
        """Guards against a length beyond what the caller allows."""
        self.assertEqual(self.lengths.cautious_tokens('plan', 100, 120), 120)

    def test_learned(self):
        """Guards against the same caution where hints are exact, or far too low."""
        for _ in range(200):
            self.lengths.record('exact', 100, 100, is_whole=True)
            self.lengths.record('low', 100, 400, is_whole=True)
        self.assertLess(self.lengths.cautious_tokens('exact', 100, 1000), 130)
        self.assertGreater(self.lengths.cautious_tokens('low', 100, 1000), 350)

    def test_team(self):
        """Guards against one team whose hints spoil those of the others."""
        for _ in range(60):
            self.lengths.record('plan', 100, 100, team='a', is_whole=True)
            self.lengths.record('plan', 100, 300, team='b', is_whole=True)
        tokens = [
            self.lengths.cautious_tokens('plan', 100, 1000, team=team) for team in 'ab'
        ]
        self.assertLess(tokens[0], 0.5 * tokens[1])

    def test_cut(self):
        """Guards against long responses that count as short as they were cut."""
        before = self.lengths.cautious_tokens('plan', 100, 1000)
        for _ in range(50):
            self.lengths.record('plan', 100, 20, is_whole=False)
        self.assertEqual(self.lengths.cautious_tokens('plan', 100, 1000), before)
        for _ in range(50):
            self.lengths.record('plan', 100, 300, is_whole=False)
        self.assertGreater(self.lengths.cautious_tokens('plan', 100, 1000), before)

    def test_remaining(self):
        """Guards against a running stream that counts as done past its hint."""
        begun = self.lengths.remaining_tokens('plan', 100, 1000, 10)
        self.assertAlmostEqual(begun, 90, delta=20)
        past = self.lengths.remaining_tokens('plan', 100, 1000, 200)
        self.assertGreater(past, 0)
        self.assertEqual(self.lengths.remaining_tokens('plan', 100, 250, 250), 0)


def make_digest(group, speeds):
    """Return the digest of an idle group."""
    return GroupDigest(
        form=DIGEST_FORM,
        scope=Scope.GROUP,
        group=group,
        vm='entry-9',
        address='entry-9:1',
        incarnation=1,
        uptime_ms=1,
        sequence=1,
        config_version=1,
        config_revision=1,
        servers_revision=1,
        entry_count=3,
        silent_count=0,
        uses=[],
        waiting=[],
        limit_uses=[],
        has_all_limits=True,
        unreachable_server_ids=[],
        moves=[],
        speeds=speeds,
    )
