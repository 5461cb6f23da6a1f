"""Check that a version that turns bad late in its move has got few requests."""

import time

from review.harness3.engine import Engine, Reply, Script
from review.harness3.lab import Lab, has_trouble
from review.harness3.load import Load, constant, post_to
from review.harness3.play import play
from review.harness3.records import make_config, make_route
from review.harness3.wire import Message

ENTRIES = 3
ENGINES = 3
WORK_S = 0.03
RATE_PER_S = 80.0
SETTLE_S = 3.0
ENGINES_AFTER_S = 0.3
ORDER_S = 12.0
# Four fifths of the duration: well before its end.
BAD_AFTER_S = 9.5
# `exposeShare` and `exposeSlack` of the settings.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
SERVICE = 'booking-app'
ORDER = f'rollout/{SERVICE}'


class LateFault:
    """Answer well until a moment, and with failures from then on."""

    def __init__(self, bad_from_s: float) -> None:
        self._bad_from_s = bad_from_s
        self.failures = 0

    def __call__(self, _request: Message) -> Reply:
        """Answer one request."""
        is_bad = has_trouble() and time.monotonic() >= self._bad_from_s
        self.failures += is_bad
        return Reply(status=500 if is_bad else 200, delay_s=WORK_S)


def work(_request: Message) -> Reply:
    """Answer after the usual time."""
    return Reply(delay_s=WORK_S)


def start_version(lab: Lab, version: str, script: Script) -> list[Engine]:
    """Start the engines of a version."""
    return [
        lab.add_engine(
            Engine(f'{version}-{number}', script, service=SERVICE, version=version)
        )
        for number in range(ENGINES)
    ]


def case(lab: Lab) -> bool:
    """Return whether the bad version got more requests than the rule allows."""
    lab.store.put('op', 'config', make_config([make_route('booking', SERVICE)]))
    start_version(lab, 'v1', work)
    lab.start_entries(ENTRIES)
    time.sleep(SETTLE_S)
    load = Load(lab, constant(RATE_PER_S), post_to(lab, '/booking/1'))
    time.sleep(SETTLE_S)
    order = {'service': SERVICE, 'to': 'v2', 'durationS': ORDER_S}
    lab.store.put('op', ORDER, order)
    ordered_s = time.monotonic()
    lab.record.note(event='order', to='v2')
    time.sleep(ENGINES_AFTER_S)
    fault = LateFault(ordered_s + BAD_AFTER_S)
    new = start_version(lab, 'v2', fault)
    time.sleep(ORDER_S)
    load.end()
    lab.note_runs()
    return judge(lab, new, load, ordered_s)


def judge(lab: Lab, new: list[Engine], load: Load, ordered_s: float) -> bool:
    """Write the result and return whether the rule was broken."""
    sent_in_time = {
        answer.attempt_id
        for answer in load.answers
        if ordered_s <= answer.sent_s <= ordered_s + ORDER_S
    }
    exposed = sum(
        run.attempt_id in sent_in_time for engine in new for run in engine.runs
    )
    allowed = EXPOSE_SHARE * len(sent_in_time) + EXPOSE_SLACK
    status = lab.store.get('status', ORDER) or {}
    lab.record.note(
        event='result',
        requests=len(sent_in_time),
        requests_at_new_version=exposed,
        allowed=round(allowed, 1),
        state=status.get('state'),
        by_status=load.count_by_status(),
    )
    # The rule binds bad versions alone; without trouble, the new one is sound.
    return has_trouble() and exposed > allowed


play(__file__, case)
