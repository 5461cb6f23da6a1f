"""Test the owner of issued keys with messages that get lost and copied."""

import unittest
from collections import Counter
from dataclasses import dataclass

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marjoramfall.messages import ClaimKey, ClaimReply, ReleaseKey
from marjoramfall.request.issued_key import parse_issued_key
from marjoramfall.request.key_claim import ClaimVerdict
from marjoramfall.request.key_registry import KeyRegistry

HOUR_MS = 3_600_000
SCOPE = 'school\nbookings'
PICK = strategies.integers(min_value=0, max_value=3)
RARELY = strategies.sampled_from((False, False, False, True))
MAX_KEYS = 4


def has(state):
    """Return a precondition: some attempt is in the state."""
    return lambda machine: machine.in_state(state)


def claim_message(key, claim_id, fingerprint='f', scope=SCOPE):
    """Return a claim of a key."""
    return ClaimKey(claim_id=claim_id, scope=scope, key=key, fingerprint=fingerprint)


def release_message(key, claim_id, *, dispatched, **response):
    """Return the release of a claim."""
    return ReleaseKey(
        scope=SCOPE, key=key, claim_id=claim_id, dispatched=dispatched, **response
    )


@dataclass
class Attempt:
    """Follow one request of an entry that uses a key."""

    claim_id: str
    key: str
    entry: int
    state: str = 'asking'


class RegistryMachine(RuleBasedStateMachine):
    """Let entries claim keys of one owner over an unreliable network."""

    def __init__(self):
        super().__init__()
        self.now_ms = 1_000_000
        self.registry = KeyRegistry('o', max_records=2, max_total_recorded_bytes=8)
        self.keys = [self.registry.issue('school', self.now_ms)]
        self.attempts = {}
        self.network = []
        self.dispatches = Counter()

    def in_state(self, state):
        return [a for a in self.attempts.values() if a.state == state]

    def chosen(self, state, pick):
        found = self.in_state(state)
        return found[pick % len(found)]

    @precondition(lambda machine: len(machine.keys) < MAX_KEYS)
    @rule()
    def issue(self):
        self.keys.append(self.registry.issue('school', self.now_ms))

    @rule(pick=PICK, entry=PICK, changed=RARELY, is_late=RARELY)
    def start(self, pick, entry, changed, is_late):
        key = self.keys[pick % len(self.keys)]
        claim_id = f'c{len(self.attempts)}'
        self.attempts[claim_id] = Attempt(claim_id, key, entry % 3)
        self.send(claim_message(key, claim_id, 'g' if changed else 'f'), is_late)

    @precondition(lambda machine: machine.network)
    @rule(pick=PICK, copied=RARELY, is_late=RARELY)
    def deliver(self, pick, copied, is_late):
        message = self.network[pick % len(self.network)]
        if not copied:
            self.network.remove(message)
        self.receive(message, is_late)

    @precondition(lambda machine: machine.network)
    @rule(pick=PICK)
    def lose(self, pick):
        self.network.pop(pick % len(self.network))

    @precondition(has('asking'))
    @rule(pick=PICK, is_late=RARELY)
    def give_up_asking(self, pick, is_late):
        self.end('asking', pick, is_late, dispatched=False)

    @precondition(has('granted'))
    @rule(pick=PICK, is_late=RARELY)
    def give_up_granted(self, pick, is_late):
        self.end('granted', pick, is_late, dispatched=False)

    @precondition(has('granted'))
    @rule(pick=PICK)
    def dispatch(self, pick):
        attempt = self.chosen('granted', pick)
        attempt.state = 'dispatched'
        self.dispatches[attempt.key] += 1

    @precondition(has('dispatched'))
    @rule(pick=PICK, is_late=RARELY)
    def end_dispatched(self, pick, is_late):
        response = {'status': 201, 'body': b'12345', 'recorded': True}
        self.end('dispatched', pick, is_late, dispatched=True, **response)

    @precondition(lambda machine: len(machine.attempts) > 4)
    @rule(entry=PICK)
    def kill_entry(self, entry):
        for attempt in self.attempts.values():
            if attempt.entry == entry % 3:
                attempt.state = 'dead'

    @precondition(lambda machine: len(machine.attempts) > 4)
    @rule(hours=strategies.sampled_from((-3, 1, 12, 25)))
    def step_clock(self, hours):
        self.now_ms += hours * HOUR_MS

    @invariant()
    def runs_once(self):
        assert max(self.dispatches.values(), default=0) <= 1

    @invariant()
    def memory_is_bounded(self):
        assert self.registry.record_count <= 2

    def send(self, message, is_late):
        """Deliver at once, or leave it for later."""
        if is_late:
            self.network.append(message)
        else:
            self.receive(message, is_late)

    def receive(self, message, is_late):
        if isinstance(message, ClaimKey):
            self.send(self.registry.claim(message, self.now_ms), is_late)
        elif isinstance(message, ReleaseKey):
            self.registry.release(message)
        else:
            self.on_reply(message)

    def end(self, state, pick, is_late, **outcome):
        attempt = self.chosen(state, pick)
        attempt.state = 'ended'
        message = release_message(attempt.key, attempt.claim_id, **outcome)
        self.send(message, is_late)

    def on_reply(self, reply: ClaimReply):
        attempt = self.attempts[reply.claim_id]
        assert reply.outcome != ClaimVerdict.INVALID
        if reply.outcome in {ClaimVerdict.ALREADY_RUN, ClaimVerdict.HAS_RUN}:
            assert self.dispatches[attempt.key] == 1
        if attempt.state == 'asking':
            granted = reply.outcome == ClaimVerdict.GRANTED
            attempt.state = 'granted' if granted else 'refused'


RegistryMachineTest = RegistryMachine.TestCase
RegistryMachineTest.__doc__ = 'Guard against a second dispatch of an issued key.'
RegistryMachineTest.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)


class KeyRegistryTest(unittest.TestCase):
    """Answer claims of genuine, forged and repeated keys."""

    def setUp(self):
        self.registry = KeyRegistry('vm.1.a')
        self.key = self.registry.issue('school', 5)

    def outcome(self, key, claim_id='c1', now_ms=5, **changes):
        message = claim_message(key, claim_id, **changes)
        return self.registry.claim(message, now_ms).outcome

    def test_forged_keys(self):
        """Guard against a key that was never issued, or to another team."""
        parsed = parse_issued_key(self.key)
        later = self.key.replace(f'~{parsed.sequence:x}~', '~2~')
        for forged in (later, self.key[:-1], f'{self.key}~', 'ek1~~~~', 'ek1~a~1~1~é'):
            self.assertEqual(self.outcome(forged), ClaimVerdict.INVALID)
        other_team = self.outcome(self.key, scope='other\nbookings')
        self.assertEqual(other_team, ClaimVerdict.INVALID)

    def test_full_registry(self):
        """Guard against forged or older keys that make used ones forgotten."""
        registry = KeyRegistry('vm.1.a', max_records=1)
        older, key = (registry.issue('school', 5) for _ in range(2))
        claims = (key, 'c1'), ('ek1~vm.1.a~5~9~0', 'c2'), (older, 'c3'), (key, 'c4')
        outcomes = [registry.claim(claim_message(*c), 5).outcome for c in claims]
        self.assertEqual(outcomes, ['granted', 'invalid', 'expired', 'in_use'])

    def test_repeated_key(self):
        """Guard against a repeated key that loses the recorded response."""
        self.assertEqual(self.outcome(self.key), ClaimVerdict.GRANTED)
        self.assertEqual(self.outcome(self.key, 'c2'), ClaimVerdict.IN_USE)
        response = {'status': 201, 'body': b'{}', 'recorded': True}
        self.registry.release(
            release_message(self.key, 'c1', dispatched=True, **response)
        )
        reply = self.registry.claim(claim_message(self.key, 'c3'), 6)
        self.assertEqual(reply.outcome, ClaimVerdict.ALREADY_RUN)
        self.assertEqual((reply.status, reply.body), (201, b'{}'))
        reused = self.outcome(self.key, 'c4', fingerprint='other')
        self.assertEqual(reused, ClaimVerdict.REUSED)

    def test_old_key(self):
        """Guard against a grant of a forgotten key, also after a clock step."""
        late_ms = 25 * HOUR_MS
        self.assertEqual(self.outcome(self.key), ClaimVerdict.GRANTED)
        self.assertEqual(self.outcome(self.key, now_ms=late_ms), ClaimVerdict.EXPIRED)
        self.assertEqual(self.registry.record_count, 0)
        self.assertEqual(self.outcome(self.key, 'c2'), ClaimVerdict.EXPIRED)

    def test_clock_stepped_back(self):
        """Guard against a new key that is refused as old after a clock step."""
        late_ms = 30 * HOUR_MS
        self.registry.issue('school', late_ms)
        key = self.registry.issue('school', HOUR_MS)
        self.assertEqual(self.outcome(key, now_ms=late_ms), ClaimVerdict.GRANTED)
