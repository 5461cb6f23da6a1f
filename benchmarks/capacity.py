"""Measure the slopes behind docs/CAPACITY.md on this machine."""

import gc
import hashlib
import random
import resource
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import gevent
import msgspec
from rich.console import Console
from rich.table import Table

from benchmarks.member_model import MemberModel
from benchmarks.move_model import MoveModel, Scenario, good_profile
from benchmarks.sample_messages import INCARNATION, MESSAGES, REQUEST_ID, TEAM
from benchmarks.table_writer import TableWriter
from marjoramfall.messages import MessageCodec
from marjoramfall.model import BackendServer, Configuration, Move, Team
from marjoramfall.process.membership.member import Member
from marjoramfall.request.events import FinishReport, WaitingRequest, WorkEstimate
from marjoramfall.version.move_router import MoveRouter

REPEATS = 2000
OBJECTS = 5000
TEAMS = 24_000
HEAD_SEED = 1
ROUTER_RESULTS = 640
SETTLE_MS = 40_000
PARTITION_MS = 120_000


def measure_messages() -> None:
    """Print the size of each message in its envelope and the codec's time."""
    table = Table(title='messages')
    for title in ('message', 'bytes', 'encode us', 'decode us'):
        table.add_column(title)
    codec = MessageCodec(INCARNATION)
    for message in MESSAGES:
        frame = codec.encode(message)
        encode_us = time_us(partial(codec.encode, message))
        decode_us = time_us(partial(codec.decode, frame))
        name = type(message).__name__
        table.add_row(name, str(len(frame)), f'{encode_us:.1f}', f'{decode_us:.1f}')
    Console().print(table)


def time_us(call: Callable[[], object]) -> float:
    """Return the mean processor time of a call in microseconds."""
    start = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - start) / REPEATS * 1e6


def bytes_each(make: Callable[[int], object], count: int = OBJECTS) -> float:
    """Return the memory per object, kept in a dictionary by a text key."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = {f'key-{index}': make(index) for index in range(count)}
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(kept)


def make_team(index: int) -> Team:
    """Return a team whose texts are its own."""
    digest = hashlib.sha256(str(index).encode()).hexdigest()
    return Team(f'team-{index}', 'gold', digest)


def make_waiting(index: int) -> WaitingRequest:
    """Return a waiting request as the dispatcher keeps it."""
    return WaitingRequest(
        request_id=f'{REQUEST_ID}{index}',
        entry_id=INCARNATION,
        tier_rank=1,
        team_id=TEAM,
        team_weight=1,
        deadline_ms=index + 0.5,
        arrived_ms=index + 0.25,
        work=WorkEstimate(index + 1000, index + 300),
        prefix_hashes=tuple((index + at) << 32 for at in range(8)),
        route='/v1/chat/completions',
    )


def _make_server(index: int) -> BackendServer:
    return BackendServer(f'engine-{index}', f'10.1.2.3:{index}', 'dc-1', 'assistant-v7')


def _make_member(index: int) -> Member:
    vm = f'entry-{index}'
    return Member(
        incarnation=f'{vm}.018bcfe5.{index}', vm=vm, address=f'10.1.2.{index}'
    )


def _make_claim(index: int) -> tuple[str, bytes, str]:
    digest = hashlib.sha256(str(index).encode()).digest()
    return f'{TEAM}/payments', digest, f'{REQUEST_ID}{index}'


def _make_greenlet(index: int) -> gevent.Greenlet:
    return gevent.spawn(gevent.sleep, index + 1000)


def _make_router(index: int) -> MoveRouter:
    """Return a router with 32 routes that have seen both versions."""
    router = MoveRouter(Move('m', 's', 'old', 'new', 0), now_ms=0, deadline_ms=1e9)
    for number in range(ROUTER_RESULTS):
        request = replace(
            make_waiting(number), request_id=str(number), route=f'/route/{number % 32}'
        )
        version = 'old' if number % 5 else 'new'
        router.on_granted(request, version, number)
        router.on_finished(make_report(request, version), number)
    return router


def make_report(waiting: WaitingRequest, version: str) -> FinishReport:
    """Return the result of a request that succeeded."""
    return FinishReport(
        request_id=waiting.request_id,
        server_id='engine-1',
        version_id=version,
        route=waiting.route,
        succeeded=True,
        dispatched=True,
        first_token_ms=250.5,
        total_ms=9000.5,
        work=waiting.work,
        decode_tokens=300,
    )


def measure_memory() -> None:
    """Print the memory per item of state."""
    table = Table(title='memory')
    table.add_column('item')
    table.add_column('bytes each')
    makers = {
        'team': make_team,
        'backend server': _make_server,
        'member': _make_member,
        'waiting request': make_waiting,
        'idempotency key with fingerprint': _make_claim,
        'idle greenlet (Python heap only)': _make_greenlet,
    }
    for name, make in makers.items():
        table.add_row(name, f'{bytes_each(make):.0f}')
    table.add_row('move with 32 routes', f'{bytes_each(_make_router, count=20):.0f}')
    Console().print(table)
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    Console().print(f'peak memory of this process so far {peak_kib / 1024:.0f} MiB')


def measure_configuration() -> None:
    """Print the size of 24,000 teams and the time of one change."""
    teams = {f'team-{index}': make_team(index) for index in range(TEAMS)}
    configuration = Configuration(revision=1, teams_by_id=teams)
    start = time.process_time()
    snapshot = msgspec.json.encode(teams)
    encoded = time.process_time()
    msgspec.json.decode(snapshot, type=dict[str, Team])
    decoded = time.process_time()
    replace(configuration, teams_by_id={**teams, 'team-1': make_team(1)})
    changed = time.process_time()
    Console().print(
        f'{TEAMS} teams: snapshot {len(snapshot)} bytes,'
        f' encode {(encoded - start) * 1000:.1f} ms,'
        f' decode {(decoded - encoded) * 1000:.1f} ms,'
        f' one change by copy {(changed - decoded) * 1000:.2f} ms'
    )


def measure_move_router() -> None:
    """Print the processor time that a running move adds to one request."""
    scenario = Scenario(
        name='cost', seed=1, profile=good_profile, requests_per_s=50, duration_ms=60_000
    )
    start = time.process_time()
    result = MoveModel(scenario).run()
    elapsed_us = (time.process_time() - start) * 1e6
    router = MoveRouter(Move('m', 's', 'old', 'new', 0), now_ms=0, deadline_ms=1e9)
    request = make_waiting(1)
    report = make_report(request, 'old')

    alone_us = time_us(partial(_pass_through, router, request, report))
    Console().print(
        f'move: {elapsed_us / result.requests:.0f} us per request with the traffic'
        f' model, choice, grant and result alone {alone_us:.1f} us'
    )


def _pass_through(
    router: MoveRouter, request: WaitingRequest, report: FinishReport
) -> None:
    router.preferred_versions(request, 0)
    router.on_granted(request, 'old', 0)
    router.on_finished(report, 0)


def measure_head_age(count: int = 390) -> None:
    """Print how old the newest known head of the log is at any entry.

    Three readers read it every 250 ms; each entry exchanges its age with one
    random other entry per 200 ms, as heartbeats and their replies do.
    """
    source = random.Random(HEAD_SEED)
    read_ms = [float('-inf') for _ in range(count)]
    worst = []
    for now_ms in range(0, 60_000, 10):
        if now_ms % 250 == 0:
            for reader in range(3):
                read_ms[reader] = float(now_ms)
        for index in range(now_ms // 10 % 20, count, 20):
            other = source.randrange(count)
            newest = max(read_ms[index], read_ms[other])
            read_ms[index] = newest
            read_ms[other] = newest
        worst.append(now_ms - min(read_ms))
    settled = sorted(worst[500:])
    Console().print(
        f'head age at the worst of {count} entries: median'
        f' {settled[len(settled) // 2]:.0f} ms, highest {settled[-1]:.0f} ms'
    )


def measure_losses() -> None:
    """Print how membership of 90 entries follows losses and partitions."""
    table = Table(title='losses at 90 entries')
    for title in ('loss', 'removed everywhere s', 'bytes a second per node'):
        table.add_column(title)
    for name, lost in (('a rack of 4', 4), ('a data centre of 10', 10)):
        model = MemberModel(90, seed=HEAD_SEED)
        model.run(SETTLE_MS)
        for dead in model.nodes[:lost]:
            dead.alive = False
        seconds, sent = converge(model)
        table.add_row(name, f'{seconds:.1f}', f'{sent:.0f}')
    model = MemberModel(90, seed=HEAD_SEED)
    model.run(SETTLE_MS)
    for index, node in enumerate(model.nodes):
        node.side = index % 3
    seconds, sent = converge(model)
    table.add_row('three regions cut off', f'{seconds:.1f}', f'{sent:.0f}')
    model.run(PARTITION_MS)
    for healed in model.nodes:
        healed.side = 0
    seconds, sent = converge(model)
    table.add_row('healed after 2 min: joined', f'{seconds:.1f}', f'{sent:.0f}')
    Console().print(table)


def converge(model: MemberModel) -> tuple[float, float]:
    """Run until all views are right; return seconds and bytes per node second."""
    alive = model.alive()
    before = sum(node.sent_bytes for node in alive)
    start_ms = model.now_ms
    while not _all_right(model):
        model.run(100)
    seconds = (model.now_ms - start_ms) / 1000
    sent = sum(node.sent_bytes for node in alive) - before
    return seconds, sent / len(alive) / seconds


def _all_right(model: MemberModel) -> bool:
    sides: dict[int, set[str]] = {}
    for node in model.alive():
        sides.setdefault(node.side, set()).add(node.incarnation)
    return all(
        other.view | {other.incarnation} == sides[other.side] for other in model.alive()
    )


def run(table_writer: TableWriter) -> None:
    """Print all slopes."""
    measure_messages()
    measure_memory()
    measure_configuration()
    measure_move_router()
    measure_head_age()
    measure_losses()
