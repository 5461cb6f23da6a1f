"""Test the key registry with lost, delayed and duplicated messages."""

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
INDEX = strategies.integers(min_value=0, max_value=3)
RARELY_TRUE = strategies.sampled_from((False, False, False, True))
MAX_KEYS = 4


def has_attempt_in(state):
    """Return a precondition that an attempt is in the state."""
    return lambda machine: machine.attempts_in_state(state)


def claim_message(key, claim_id, fingerprint='f', scope=SCOPE):
    """Return a claim message for a key."""
    return ClaimKey(claim_id=claim_id, scope=scope, key=key, fingerprint=fingerprint)


def release_message(key, claim_id, *, dispatched, **response):
    """Return a release message for a claim."""
    return ReleaseKey(
        scope=SCOPE, key=key, claim_id=claim_id, dispatched=dispatched, **response
    )


@dataclass
class Attempt:
    """Track one request of an entry that uses a key."""

    claim_id: str
    key: str
    entry: int
    state: str = 'claiming'


class RegistryMachine(RuleBasedStateMachine):
    """Let entries claim the keys of one registry over an unreliable network."""

    def __init__(self):
        super().__init__()
        self.now_ms = 1_000_000
        self.registry = KeyRegistry('o', max_records=2, max_total_recorded_bytes=8)
        self.keys = [self.registry.issue('school', self.now_ms)]
        self.attempts = {}
        self.network = []
        self.dispatches = Counter()

    def attempts_in_state(self, state):
        return [a for a in self.attempts.values() if a.state == state]

    def select_attempt(self, state, index):
        found = self.attempts_in_state(state)
        return found[index % len(found)]

    @precondition(lambda machine: len(machine.keys) < MAX_KEYS)
    @rule()
    def issue(self):
        self.keys.append(self.registry.issue('school', self.now_ms))

    @rule(index=INDEX, entry=INDEX, changed=RARELY_TRUE, is_late=RARELY_TRUE)
    def start(self, index, entry, changed, is_late):
        key = self.keys[index % len(self.keys)]
        claim_id = f'c{len(self.attempts)}'
        self.attempts[claim_id] = Attempt(claim_id, key, entry % 3)
        self.send(claim_message(key, claim_id, 'g' if changed else 'f'), is_late)

    @precondition(lambda machine: machine.network)
    @rule(index=INDEX, duplicated=RARELY_TRUE, is_late=RARELY_TRUE)
    def deliver(self, index, duplicated, is_late):
        message = self.network[index % len(self.network)]
        if not duplicated:
            self.network.remove(message)
        self.receive(message, is_late)

    @precondition(lambda machine: machine.network)
    @rule(index=INDEX)
    def lose_message(self, index):
        self.network.pop(index % len(self.network))

    @precondition(has_attempt_in('claiming'))
    @rule(index=INDEX, is_late=RARELY_TRUE)
    def abandon_claiming(self, index, is_late):
        self.release('claiming', index, is_late, dispatched=False)

    @precondition(has_attempt_in('granted'))
    @rule(index=INDEX, is_late=RARELY_TRUE)
    def abandon_granted(self, index, is_late):
        self.release('granted', index, is_late, dispatched=False)

    @precondition(has_attempt_in('granted'))
    @rule(index=INDEX)
    def dispatch(self, index):
        attempt = self.select_attempt('granted', index)
        attempt.state = 'dispatched'
        self.dispatches[attempt.key] += 1

    @precondition(has_attempt_in('dispatched'))
    @rule(index=INDEX, is_late=RARELY_TRUE)
    def complete_dispatched(self, index, is_late):
        response = {'status': 201, 'body': b'12345', 'recorded': True}
        self.release('dispatched', index, is_late, dispatched=True, **response)

    @precondition(lambda machine: len(machine.attempts) > 4)
    @rule(entry=INDEX)
    def kill_entry(self, entry):
        for attempt in self.attempts.values():
            if attempt.entry == entry % 3:
                attempt.state = 'dead'

    @precondition(lambda machine: len(machine.attempts) > 4)
    @rule(hours=strategies.sampled_from((-3, 1, 12, 25)))
    def step_clock(self, hours):
        self.now_ms += hours * HOUR_MS

    @invariant()
    def dispatches_once(self):
        assert max(self.dispatches.values(), default=0) <= 1

    @invariant()
    def memory_is_bounded(self):
        assert self.registry.record_count <= 2

    def send(self, message, is_late):
        """Deliver the message now, or queue it for a later rule."""
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

    def release(self, state, index, is_late, **outcome):
        attempt = self.select_attempt(state, index)
        attempt.state = 'released'
        message = release_message(attempt.key, attempt.claim_id, **outcome)
        self.send(message, is_late)

    def on_reply(self, reply: ClaimReply):
        attempt = self.attempts[reply.claim_id]
        assert reply.outcome != ClaimVerdict.INVALID
        if reply.outcome in {ClaimVerdict.ALREADY_RUN, ClaimVerdict.HAS_RUN}:
            assert self.dispatches[attempt.key] == 1
        if attempt.state == 'claiming':
            granted = reply.outcome == ClaimVerdict.GRANTED
            attempt.state = 'granted' if granted else 'refused'


RegistryMachineTest = RegistryMachine.TestCase
RegistryMachineTest.__doc__ = """Guards against a second dispatch of an issued key.

It could follow from a lost, delayed or duplicated message, an evicted record or a
clock step.
"""
RegistryMachineTest.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)


class KeyRegistryTest(unittest.TestCase):
    """Test claims of genuine, forged, repeated and expired keys."""

    def setUp(self):
        self.registry = KeyRegistry('vm.1.a')
        self.key = self.registry.issue('school', 5)

    def verdict(self, key, claim_id='c1', now_ms=5, **changes):
        message = claim_message(key, claim_id, **changes)
        return self.registry.claim(message, now_ms).outcome

    def test_forged_keys(self):
        """Guards against a key that was never issued or belongs to another team."""
        parsed = parse_issued_key(self.key)
        later = self.key.replace(f'~{parsed.sequence:x}~', '~2~')
        for forged in (later, self.key[:-1], f'{self.key}~', 'ek1~~~~', 'ek1~a~1~1~é'):
            self.assertEqual(self.verdict(forged), ClaimVerdict.INVALID)
        other_team = self.verdict(self.key, scope='other\nbookings')
        self.assertEqual(other_team, ClaimVerdict.INVALID)

    def test_full_registry(self):
        """Guards against forged or older keys that evict a claimed key."""
        registry = KeyRegistry('vm.1.a', max_records=1)
        older, key = (registry.issue('school', 5) for _ in range(2))
        claims = (key, 'c1'), ('ek1~vm.1.a~5~9~0', 'c2'), (older, 'c3'), (key, 'c4')
        verdicts = [registry.claim(claim_message(*c), 5).outcome for c in claims]
        self.assertEqual(verdicts, ['granted', 'invalid', 'expired', 'in_use'])

    def test_repeated_key(self):
        """Guards against a repeated key that does not get the recorded response."""
        self.assertEqual(self.verdict(self.key), ClaimVerdict.GRANTED)
        self.assertEqual(self.verdict(self.key, 'c2'), ClaimVerdict.IN_USE)
        response = {'status': 201, 'body': b'{}', 'recorded': True}
        self.registry.release(
            release_message(self.key, 'c1', dispatched=True, **response)
        )
        reply = self.registry.claim(claim_message(self.key, 'c3'), 6)
        self.assertEqual(reply.outcome, ClaimVerdict.ALREADY_RUN)
        self.assertEqual((reply.status, reply.body), (201, b'{}'))
        reused = self.verdict(self.key, 'c4', fingerprint='other')
        self.assertEqual(reused, ClaimVerdict.REUSED)

    def test_old_key(self):
        """Guards against granting an evicted key again, also after a clock step."""
        late_ms = 25 * HOUR_MS
        self.assertEqual(self.verdict(self.key), ClaimVerdict.GRANTED)
        self.assertEqual(self.verdict(self.key, now_ms=late_ms), ClaimVerdict.EXPIRED)
        self.assertEqual(self.registry.record_count, 0)
        self.assertEqual(self.verdict(self.key, 'c2'), ClaimVerdict.EXPIRED)

    def test_clock_stepped_back(self):
        """Guards against a new key that counts as expired after a clock step."""
        late_ms = 30 * HOUR_MS
        self.registry.issue('school', late_ms)
        key = self.registry.issue('school', HOUR_MS)
        self.assertEqual(self.verdict(key, now_ms=late_ms), ClaimVerdict.GRANTED)
