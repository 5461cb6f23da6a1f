"""Check that a version that is bad on one route only does not get all requests."""

import random
import time
from functools import partial

from review.harness3.engine import Engine, Reply, Script
from review.harness3.lab import Answer, EntryProcess, Lab, has_trouble
from review.harness3.load import Load, constant
from review.harness3.play import play
from review.harness3.records import make_config, make_route
from review.harness3.wire import Message

ENTRIES = 3
ENGINES = 3
WORK_S = 0.03
RATE_PER_S = 40.0
# The shares that the sheet of `snowdome-host` gives the routes of one service.
SHARE_BY_ROUTE = {'plan-review': 6.5, 'logbook-summary': 4.8, 'safety-brief': 9.55}
BAD_ROUTE = 'logbook-summary'
BAD_SHARE = 0.4
SETTLE_S = 3.0
ENGINES_AFTER_S = 0.3
ORDER_S = 12.0
# `exposeShare` and `exposeSlack` of the settings.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
SERVICE = 'tutor-app'


def work(_request: Message) -> Reply:
    """Answer after the usual time."""
    return Reply(delay_s=WORK_S)


def work_badly(request: Message) -> Reply:
    """Fail a part of the requests of one route."""
    is_bad = request.target.startswith(f'/{BAD_ROUTE}/')
    is_bad = is_bad and random.random() < BAD_SHARE
    return Reply(status=500 if is_bad else 200, delay_s=WORK_S)


def send(lab: Lab, entry: EntryProcess) -> Answer:
    """Send a request of one of the routes, as often as its share says."""
    names = list(SHARE_BY_ROUTE)
    name = random.choices(names, list(SHARE_BY_ROUTE.values()))[0]
    return lab.send(entry, 'POST', f'/{name}/1')


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
    routes = [make_route(name, SERVICE) for name in SHARE_BY_ROUTE]
    lab.store.put('op', 'config', make_config(routes))
    start_version(lab, 'v1', work)
    lab.start_entries(ENTRIES)
    time.sleep(SETTLE_S)
    load = Load(lab, constant(RATE_PER_S), partial(send, lab))
    time.sleep(SETTLE_S)
    order = {'service': SERVICE, 'to': 'v2', 'durationS': ORDER_S}
    lab.store.put('op', f'rollout/{SERVICE}', order)
    ordered_s = time.monotonic()
    lab.record.note(event='order', to='v2')
    time.sleep(ENGINES_AFTER_S)
    new = start_version(lab, 'v2', work_badly if has_trouble() else work)
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
    status = lab.store.get('status', f'rollout/{SERVICE}') or {}
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
