"""Test the claims of caller-made keys at every step and failure."""

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

PICK = strategies.integers(min_value=0, max_value=3)
RARELY = strategies.sampled_from((False, False, False, True))
FAULTS = ('down', 'lost', 'dropped', 'late')
STORE = strategies.sampled_from(('ok',) * 8 + FAULTS)


def has(state):
    """Return a precondition: some attempt is in the state."""
    return lambda machine: machine.in_state(state)


def run_claim(claim_id, perform):
    """Return the answer to a claim of one key."""
    claim = TableClaim(scope=SCOPE, owner='e', claim_id=claim_id, wall_ms=0)
    return claim, run_steps(claim_steps(claim), perform)


NOT_DISPATCHED = ClaimOutcome(dispatched=False)
RECORDED = ClaimOutcome(dispatched=True, status=201, body=b'x', recorded=True)
SCOPE = ScopedKey(team_id='school', service_id='bookings', key='k', fingerprint='f')


@dataclass
class Attempt:
    """Follow one request; `calls` are the steps still to be made."""

    claim: TableClaim
    entry: int
    steps: object
    state: str = 'claiming'
    call: RowRead | RowSwap | None = None
    ending: RowSwap | None = field(default=None)

    @property
    def key(self):
        return self.claim.scope.key


class StoreMachine(RuleBasedStateMachine):
    """Let entries claim keys in a store that fails in every way.

    A pause is a time in which an attempt makes no step.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.late_swaps = []
        self.attempts = []
        self.dispatches = Counter()
        self.told_not_run = set()
        self.dispatched_ids = set()

    def in_state(self, state):
        return [a for a in self.attempts if a.state == state]

    def chosen(self, state, pick):
        found = self.in_state(state)
        return found[pick % len(found)]

    @rule(key=strategies.sampled_from('aab'), entry=PICK, changed=RARELY)
    def start(self, key, entry, changed):
        scope = ScopedKey(
            team_id='school',
            service_id='bookings',
            key=key,
            fingerprint='g' if changed else 'f',
        )
        claim_id = f'c{len(self.attempts)}'
        claim = TableClaim(
            scope=scope, owner=f'e{entry % 3}', claim_id=claim_id, wall_ms=0
        )
        attempt = Attempt(claim, entry % 3, claim_steps(claim))
        attempt.call = next(attempt.steps)
        self.attempts.append(attempt)

    @precondition(has('claiming'))
    @rule(pick=PICK, store=STORE)
    def step_claim(self, pick, store):
        attempt = self.chosen('claiming', pick)
        try:
            attempt.call = self.advance(attempt, store)
        except StopIteration as end:
            self.on_answer(attempt, end.value)
        except KeyStoreUnavailableError:
            self.refuse(attempt, NOT_DISPATCHED)

    @precondition(has('granted'))
    @rule(pick=PICK)
    def dispatch(self, pick):
        attempt = self.chosen('granted', pick)
        attempt.state = 'dispatched'
        self.dispatches[attempt.key] += 1
        self.dispatched_ids.add(attempt.claim.claim_id)

    @precondition(has('granted'))
    @rule(pick=PICK)
    def give_up(self, pick):
        self.refuse(self.chosen('granted', pick), NOT_DISPATCHED)

    @precondition(has('dispatched'))
    @rule(pick=PICK)
    def finish(self, pick):
        attempt = self.chosen('dispatched', pick)
        attempt.state = 'ending'
        attempt.ending = attempt.claim.ending(RECORDED)

    @precondition(has('ending'))
    @rule(pick=PICK, store=STORE)
    def step_ending(self, pick, store):
        attempt = self.chosen('ending', pick)
        try:
            self.perform(attempt.ending, store)
        except (PlatformUnavailableError, PlatformAnswerLostError):
            return
        attempt.state = 'ended'

    @precondition(lambda machine: machine.late_swaps)
    @rule(pick=PICK)
    def apply_late_swap(self, pick):
        self.apply(self.late_swaps.pop(pick % len(self.late_swaps)))

    @precondition(lambda machine: len(machine.attempts) > 2)
    @rule(entry=PICK)
    def kill_entry(self, entry):
        for attempt in self.attempts:
            if attempt.entry == entry % 3:
                attempt.state = 'dead'

    @invariant()
    def runs_once(self):
        assert max(self.dispatches.values(), default=0) <= 1

    @invariant()
    def not_run_is_true(self):
        assert self.told_not_run.isdisjoint(self.dispatched_ids)

    def advance(self, attempt, store):
        try:
            result = self.perform(attempt.call, store)
        except (PlatformUnavailableError, PlatformAnswerLostError) as error:
            return attempt.steps.throw(error)
        return attempt.steps.send(result)

    def perform(self, call, store):
        if store == 'down':
            raise PlatformUnavailableError('down')
        if isinstance(call, RowRead):
            return self.rows.get(call.key)
        if store == 'late':
            self.late_swaps.append(call)
        applied = store in {'ok', 'lost'} and self.apply(call)
        if store != 'ok':
            raise PlatformAnswerLostError(store)
        return applied

    def apply(self, swap):
        if self.rows.get(swap.key) != swap.expected:
            return False
        self.rows[swap.key] = swap.text
        return True

    def refuse(self, attempt, outcome):
        self.told_not_run.add(attempt.claim.claim_id)
        attempt.state = 'ending'
        attempt.ending = attempt.claim.ending(outcome)

    def on_answer(self, attempt, answer):
        if answer.verdict is ClaimVerdict.GRANTED:
            attempt.state = 'granted'
            return
        attempt.state = 'refused'
        if answer.verdict is ClaimVerdict.ALREADY_RUN:
            assert self.dispatches[attempt.key] == 1
            assert answer.outcome.body == b'x'


class ClaimStepsTest(unittest.TestCase):
    """Answer claims although the store fails."""

    def setUp(self):
        self.machine = StoreMachine()
        self.stores = iter(())

    def perform(self, call):
        return self.machine.perform(call, next(self.stores, 'ok'))

    def verdict(self, claim_id):
        return run_claim(claim_id, self.perform)[1].verdict

    def test_lost_response(self):
        """Guard against a claim that is refused because its reply was lost."""
        self.stores = iter(('lost',))
        self.assertIs(self.verdict('c1'), ClaimVerdict.GRANTED)
        self.assertIs(self.verdict('c2'), ClaimVerdict.MAY_HAVE_RUN)

    def test_abandoned_claim(self):
        """Guard against a key that stays taken although nothing ran."""
        claim, _ = run_claim('c1', self.perform)
        self.assertTrue(self.perform(claim.ending(NOT_DISPATCHED)))
        self.assertIs(self.verdict('c2'), ClaimVerdict.GRANTED)

    def test_ended_claim(self):
        """Guard against a repeated key that loses the recorded response."""
        claim, _ = run_claim('c1', self.perform)
        self.assertTrue(self.perform(claim.ending(RECORDED)))
        _, answer = run_claim('c2', self.perform)
        self.assertIs(answer.verdict, ClaimVerdict.ALREADY_RUN)
        self.assertEqual((answer.outcome.status, answer.outcome.body), (201, b'x'))

    def test_store_down(self):
        """Guard against a dispatch without a claim during an outage."""
        self.stores = iter(('down',))
        with self.assertRaises(KeyStoreUnavailableError) as caught:
            self.verdict('c1')
        self.assertIs(caught.exception.actual_run_state, RunState.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_ms)

    def test_damaged_row(self):
        """Guard against a second dispatch after a row was damaged."""
        claim, _ = run_claim('c1', self.perform)
        self.machine.rows[claim.row_key] = '{'
        self.assertIs(self.verdict('c2'), ClaimVerdict.MAY_HAVE_RUN)


StoreMachineTest = StoreMachine.TestCase
StoreMachineTest.__doc__ = 'Guard against a second dispatch of a caller-made key.'
StoreMachineTest.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
