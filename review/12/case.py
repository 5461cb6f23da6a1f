"""Check that a version that was rolled back gets no requests at the next order."""

import random
import threading
import time
from itertools import count

from review.harness3.engine import Engine, Reply
from review.harness3.lab import Lab, LabError, has_trouble
from review.harness3.load import Load, constant, post_to
from review.harness3.play import play
from review.harness3.records import make_config, make_route
from review.harness3.wire import Message

ENTRIES = 9
ENGINES = 3
SLOTS = 6
WORK_S = 0.1
# Nine tenths of what the 3 engines of the old version serve.
RATE_PER_S = 160.0
BAD_SHARE = 0.7
SETTLE_S = 3.0
ENGINES_AFTER_S = 0.3
BAD_ORDER_S = 12.0
NEXT_ORDER_S = 20.0
NEXT_ORDER_AFTER_S = 1.0
DRAINED_AFTER_S = 9.0
END_AFTER_S = 15.0
ROLL_BACK_LIMIT_S = 10.0
POLL_S = 0.1
# `rollbackMs` of the settings.
ROLL_BACK_S = 5.0
COUNTED_BAD = 50
ORDER = 'rollout/booking-app'


class SlotEngine(Engine):
    """Run as many requests at once as it has slots."""

    def __init__(self, engine_id: str, version: str, *, bad_share: float = 0) -> None:
        self._free_slots = threading.Semaphore(SLOTS)
        self._bad_share = bad_share
        self.bad_s: list[float] = []
        super().__init__(engine_id, self._work, service='booking-app', version=version)

    def run(self, request: Message) -> bytes:
        """Work on a request once a slot is free."""
        with self._free_slots:
            return super().run(request)

    def _work(self, _request: Message) -> Reply:
        is_bad = random.random() < self._bad_share
        if is_bad:
            self.bad_s.append(time.monotonic() + WORK_S)
        return Reply(status=500 if is_bad else 200, delay_s=WORK_S)


def start_version(lab: Lab, version: str, bad_share: float = 0) -> list[SlotEngine]:
    """Start the engines of a version."""
    numbers = count(1)
    return [
        lab.add_engine(
            SlotEngine(f'{version}-{next(numbers)}', version, bad_share=bad_share)
        )
        for _ in range(ENGINES)
    ]


def order(lab: Lab, version: str, duration_s: float) -> float:
    """Order a roll-out and return when it was acknowledged."""
    document = {'service': 'booking-app', 'to': version, 'durationS': duration_s}
    lab.store.put('op', ORDER, document)
    lab.record.note(event='order', to=version)
    return time.monotonic()


def await_roll_back(lab: Lab, ordered_s: float) -> None:
    """Wait until the system says that the bad version is rolled back."""
    while time.monotonic() < ordered_s + ROLL_BACK_LIMIT_S:
        status = lab.store.get('status', ORDER) or {}
        if status.get('state') == 'rolled_back':
            lab.record.note(event='rolled back', to=status['to'])
            return
        time.sleep(POLL_S)
    raise LabError('the bad version was not rolled back')


def sleep_until(at_s: float) -> None:
    """Wait until a monotonic time."""
    time.sleep(max(0, at_s - time.monotonic()))


def case(lab: Lab) -> bool:
    """Return whether the bad version got requests long after it was found bad."""
    lab.store.put('op', 'config', make_config([make_route('booking', 'booking-app')]))
    start_version(lab, 'v1')
    lab.start_entries(ENTRIES)
    time.sleep(SETTLE_S)
    load = Load(lab, constant(RATE_PER_S), post_to(lab, '/booking/1'))
    time.sleep(SETTLE_S)
    ordered_s = order(lab, 'v2', BAD_ORDER_S)
    time.sleep(ENGINES_AFTER_S)
    bad = start_version(lab, 'v2', BAD_SHARE)
    await_roll_back(lab, ordered_s)
    rolled_back_s = time.monotonic()
    sleep_until(rolled_back_s + NEXT_ORDER_AFTER_S)
    if has_trouble():
        order(lab, 'v3', NEXT_ORDER_S)
        time.sleep(ENGINES_AFTER_S)
        start_version(lab, 'v3')
    sleep_until(rolled_back_s + DRAINED_AFTER_S)
    for engine in bad:
        lab.store.put('servers', engine.engine_id, engine.entry('draining'))
    sleep_until(ordered_s + END_AFTER_S)
    load.end()
    lab.note_runs()
    return judge(lab, bad, load, rolled_back_s)


def judge(lab: Lab, bad: list[SlotEngine], load: Load, rolled_back_s: float) -> bool:
    """Write the result and return whether the rule was broken."""
    sent_s = {answer.attempt_id: answer.sent_s for answer in load.answers}
    runs = [run for engine in bad for run in engine.runs]
    bad_s = sorted(at_s for engine in bad for at_s in engine.bad_s)
    counted = bad_s[COUNTED_BAD - 1 : COUNTED_BAD]
    late = [
        run.attempt_id
        for run in runs
        if counted and sent_s[run.attempt_id] > counted[0] + ROLL_BACK_S
    ]
    lab.record.note(
        event='result',
        requests_at_bad_version=len(runs),
        of_them_sent_after_roll_back=sum(
            sent_s[run.attempt_id] > rolled_back_s for run in runs
        ),
        bad_answers=len(bad_s),
        fiftieth_bad_answer_s=[lab.record.seconds(at_s) for at_s in counted],
        sent_too_late=len(late),
        by_status=load.count_by_status(),
    )
    return bool(late)


play(__file__, case)
