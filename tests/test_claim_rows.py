"""Test claims of caller-made keys with interruptions and faults at each step."""

import unittest
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marjoramfall.errors import RunState
from marjoramfall.platform_services import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
)
from marjoramfall.request.claim_rows import (
    RowRead,
    RowSwap,
    TableClaim,
    claim_steps,
    run_steps,
)
from marjoramfall.request.key_claim import (
    ClaimOutcome,
    ClaimVerdict,
    KeyStoreUnavailableError,
    ScopedKey,
)

INDEX = strategies.integers(min_value=0, max_value=3)
RARELY_TRUE = strategies.sampled_from((False, False, False, True))
STORE_FAULTS = ('down', 'lost', 'dropped', 'late')
STORE_BEHAVIORS = strategies.sampled_from(('ok',) * 8 + STORE_FAULTS)


def has_attempt_in(state):
    """Return a precondition that an attempt is in the state."""
    return lambda machine: machine.attempts_in_state(state)


def run_claim(claim_id, execute_call):
    """Run a claim of one key; return the claim and its result."""
    claim = TableClaim(
        scoped_key=SCOPED_KEY, incarnation='e', claim_id=claim_id, wall_ms=0
    )
    return claim, run_steps(claim_steps(claim), execute_call)


NOT_DISPATCHED = ClaimOutcome(dispatched=False)
RECORDED = ClaimOutcome(dispatched=True, status=201, body=b'x', recorded=True)
SCOPED_KEY = ScopedKey(
    team_id='school', service_id='bookings', key='k', fingerprint='f'
)


@dataclass
class Attempt:
    """Track one request; `call` is the next store call of its claim."""

    claim: TableClaim
    entry: int
    steps: object
    state: str = 'claiming'
    call: RowRead | RowSwap | None = None
    release_swap: RowSwap | None = field(default=None)

    @property
    def key(self):
        return self.claim.scoped_key.key


class StoreMachine(RuleBasedStateMachine):
    """Interleave claims of several entries in an unreliable key store.

    A store call may fail without an effect (`down`). A swap may also lose its answer
    after it was applied (`lost`), without being applied (`dropped`) or before it is
    applied (`late`). Entries may stop at any step. A pause of an attempt is modelled
    by not choosing it for the next rules.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.late_swaps = []
        self.attempts = []
        self.dispatches = Counter()
        self.reported_not_run = set()
        self.dispatched_ids = set()

    def attempts_in_state(self, state):
        return [a for a in self.attempts if a.state == state]

    def select_attempt(self, state, index):
        found = self.attempts_in_state(state)
        return found[index % len(found)]

    @rule(key=strategies.sampled_from('aab'), entry=INDEX, changed=RARELY_TRUE)
    def start(self, key, entry, changed):
        scoped_key = ScopedKey(
            team_id='school',
            service_id='bookings',
            key=key,
            fingerprint='g' if changed else 'f',
        )
        claim_id = f'c{len(self.attempts)}'
        claim = TableClaim(
            scoped_key=scoped_key,
            incarnation=f'e{entry % 3}',
            claim_id=claim_id,
            wall_ms=0,
        )
        attempt = Attempt(claim, entry % 3, claim_steps(claim))
        attempt.call = next(attempt.steps)
        self.attempts.append(attempt)

    @precondition(has_attempt_in('claiming'))
    @rule(index=INDEX, behavior=STORE_BEHAVIORS)
    def step_claim(self, index, behavior):
        attempt = self.select_attempt('claiming', index)
        try:
            attempt.call = self.advance(attempt, behavior)
        except StopIteration as end:
            self.on_claim_result(attempt, end.value)
        except KeyStoreUnavailableError:
            self.release_not_run(attempt, NOT_DISPATCHED)

    @precondition(has_attempt_in('granted'))
    @rule(index=INDEX)
    def dispatch(self, index):
        attempt = self.select_attempt('granted', index)
        attempt.state = 'dispatched'
        self.dispatches[attempt.key] += 1
        self.dispatched_ids.add(attempt.claim.claim_id)

    @precondition(has_attempt_in('granted'))
    @rule(index=INDEX)
    def give_up(self, index):
        self.release_not_run(self.select_attempt('granted', index), NOT_DISPATCHED)

    @precondition(has_attempt_in('dispatched'))
    @rule(index=INDEX)
    def complete(self, index):
        attempt = self.select_attempt('dispatched', index)
        attempt.state = 'releasing'
        attempt.release_swap = attempt.claim.release_swap(RECORDED)

    @precondition(has_attempt_in('releasing'))
    @rule(index=INDEX, behavior=STORE_BEHAVIORS)
    def step_release(self, index, behavior):
        attempt = self.select_attempt('releasing', index)
        try:
            self.execute_call(attempt.release_swap, behavior)
        except (PlatformUnavailableError, PlatformAnswerLostError):
            return
        attempt.state = 'released'

    @precondition(lambda machine: machine.late_swaps)
    @rule(index=INDEX)
    def apply_late_swap(self, index):
        self.apply(self.late_swaps.pop(index % len(self.late_swaps)))

    @precondition(lambda machine: len(machine.attempts) > 2)
    @rule(entry=INDEX)
    def kill_entry(self, entry):
        for attempt in self.attempts:
            if attempt.entry == entry % 3:
                attempt.state = 'dead'

    @invariant()
    def dispatches_once(self):
        assert max(self.dispatches.values(), default=0) <= 1

    @invariant()
    def reports_not_run_truthfully(self):
        assert self.reported_not_run.isdisjoint(self.dispatched_ids)

    def advance(self, attempt, behavior):
        try:
            result = self.execute_call(attempt.call, behavior)
        except (PlatformUnavailableError, PlatformAnswerLostError) as error:
            return attempt.steps.throw(error)
        return attempt.steps.send(result)

    def execute_call(self, call, behavior):
        if behavior == 'down':
            raise PlatformUnavailableError('down')
        if isinstance(call, RowRead):
            return self.rows.get(call.key)
        if behavior == 'late':
            self.late_swaps.append(call)
        applied = behavior in {'ok', 'lost'} and self.apply(call)
        if behavior != 'ok':
            raise PlatformAnswerLostError(behavior)
        return applied

    def apply(self, swap):
        if self.rows.get(swap.key) != swap.expected:
            return False
        self.rows[swap.key] = swap.text
        return True

    def release_not_run(self, attempt, outcome):
        self.reported_not_run.add(attempt.claim.claim_id)
        attempt.state = 'releasing'
        attempt.release_swap = attempt.claim.release_swap(outcome)

    def on_claim_result(self, attempt, result):
        if result.verdict is ClaimVerdict.GRANTED:
            attempt.state = 'granted'
            return
        attempt.state = 'refused'
        if result.verdict is ClaimVerdict.ALREADY_RUN:
            assert self.dispatches[attempt.key] == 1
            assert result.outcome.body == b'x'


class ClaimStepsTest(unittest.TestCase):
    """Test the results of claims while the key store fails."""

    def setUp(self):
        self.machine = StoreMachine()
        self.behaviors = iter(())

    def execute_call(self, call):
        return self.machine.execute_call(call, next(self.behaviors, 'ok'))

    def verdict(self, claim_id):
        return run_claim(claim_id, self.execute_call)[1].verdict

    def test_lost_answer(self):
        """Guards against refusing a claim that was stored but whose answer was lost."""
        self.behaviors = iter(('lost',))
        self.assertIs(self.verdict('c1'), ClaimVerdict.GRANTED)
        self.assertIs(self.verdict('c2'), ClaimVerdict.MAY_HAVE_RUN)

    def test_released_claim_not_run(self):
        """Guards against a key that stays claimed although nothing was dispatched."""
        claim, _ = run_claim('c1', self.execute_call)
        self.assertTrue(self.execute_call(claim.release_swap(NOT_DISPATCHED)))
        self.assertIs(self.verdict('c2'), ClaimVerdict.GRANTED)

    def test_released_claim_recorded(self):
        """Guards against a repeated key that does not get the recorded response."""
        claim, _ = run_claim('c1', self.execute_call)
        self.assertTrue(self.execute_call(claim.release_swap(RECORDED)))
        _, result = run_claim('c2', self.execute_call)
        self.assertIs(result.verdict, ClaimVerdict.ALREADY_RUN)
        self.assertEqual((result.outcome.status, result.outcome.body), (201, b'x'))

    def test_store_down(self):
        """Guards against a dispatch without a claim while the key store is down."""
        self.behaviors = iter(('down',))
        with self.assertRaises(KeyStoreUnavailableError) as caught:
            self.verdict('c1')
        self.assertIs(caught.exception.actual_run_state, RunState.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_ms)

    def test_damaged_row(self):
        """Guards against a second dispatch of a key whose row is damaged."""
        claim, _ = run_claim('c1', self.execute_call)
        self.machine.rows[claim.row_key] = '{'
        self.assertIs(self.verdict('c2'), ClaimVerdict.MAY_HAVE_RUN)


StoreMachineTest = StoreMachine.TestCase
StoreMachineTest.__doc__ = """Guards against a second dispatch of a caller-made key.

Also guards against `not run` for a dispatched request. Both could follow from a lost
answer, a late swap or an entry that stops between two steps of a claim.
"""
StoreMachineTest.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
