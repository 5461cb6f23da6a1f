"""Crash all engines of a service, and then restart all entries."""

import asyncio
import secrets
import sys
from collections import Counter
from pathlib import Path

from review.harness2.client import Client, encode_request, new_id
from review.harness2.deployment import (
    Deployment,
    deploying,
    is_troubled,
    make_config,
    run_case,
)
from review.harness2.model_engine import ModelEngine
from review.harness2.plain_engine import PlainEngine
from review.harness2.record import Record

FIRST_PORT = 8300
ENGINES = 3
PLAIN_PORT = 8290
BEFORE_S = 6.0
# How long the engines are down.
CRASH_S = 2.0
BETWEEN_S = 6.0
DOWN_S = 1.0
# `recoveryS` of the settings.
RECOVERY_S = 12.0
AFTER_S = 8.0
REQUEST_PAUSE_S = 0.05
DEADLINE_MS = 6000
ANSWER_WAIT_S = 7.0
OK = 200
# Less than a quarter served breaks the rule.
LEAST_SHARE = 0.25
# The instructions that all requests of the route begin with.
SHARED_PART = '5c1e07a2:60'


class Traffic:
    """Send requests at a constant rate and count how they end."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self._record = record
        self._hosts = [entry.host for entry in deployment.entries]
        self._sent = 0

    async def send_for(self, duration_s: float, name: str) -> float:
        """Return the share of a period's requests that was served."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        asked = []
        while loop.time() < end_s:
            self._sent += 1
            host = self._hosts[self._sent % len(self._hosts)]
            asked.append(asyncio.create_task(_ask(host)))
            await asyncio.sleep(REQUEST_PAUSE_S)
        statuses = Counter(await asyncio.gather(*asked))
        self._record.add(f'{name}: {len(asked)} requests ended as {dict(statuses)}')
        return statuses[OK] / len(asked)


async def play(record: Record) -> bool:
    """Return whether less than a quarter is served after the restart."""
    async with deploying(record, entry_count=2) as deployment:
        engines = [
            ModelEngine(f'i-{number}', prefill_s=0.2, event_s=0.05, events=10)
            for number in range(ENGINES)
        ]
        await _start_all(deployment, engines)
        traffic = Traffic(record, deployment)
        sending = asyncio.create_task(traffic.send_for(BEFORE_S, 'before'))
        await asyncio.sleep(BEFORE_S)
        if is_troubled():
            await _crash(record, deployment, engines)
        before = await sending
        await traffic.send_for(BETWEEN_S, 'later, before the restart')
        await _restart_all(record, deployment)
        await asyncio.sleep(RECOVERY_S)
        after = await traffic.send_for(AFTER_S, f'{RECOVERY_S} s after the restart')
        if before < LEAST_SHARE:
            raise RuntimeError('too little was served before')
        return after < LEAST_SHARE


async def _start_all(deployment: Deployment, engines: list[ModelEngine]) -> None:
    await PlainEngine('i-plain').start(deployment.server_host, PLAIN_PORT)
    _configure(deployment)
    await _start(deployment, engines)
    await deployment.start_entries()


def _configure(deployment: Deployment) -> None:
    route = {
        'name': 'r',
        'prefix': '/plans/',
        'kind': 'streaming',
        'timeoutMs': 6000,
        'targetLatencyMs': 1200,
        'priority': 0,
        'service': 'tutor',
        'maxAttempts': 1,
        'sticky': True,
        'resumable': False,
        'gapAimMs': 250,
    }
    engine = {
        'slots': 8,
        'kvCapacity': 624989,
        'kvTokenBytes': 163840,
        'linkMbps': 550000.0,
        'moves': False,
        'stride': 3,
        'models': [{'name': 'm'}],
    }
    check = {'healthPath': '/healthz', 'maxConns': 370}
    services = [{'name': 'tutor', 'engine': engine, **check}, {'name': 'app', **check}]
    deployment.store.put('op', 'config', make_config([route], services))
    deployment.register('i-plain', 'app', PLAIN_PORT)


async def _start(deployment: Deployment, engines: list[ModelEngine]) -> None:
    ports = range(FIRST_PORT, FIRST_PORT + len(engines))
    starts = [
        engine.start(deployment.server_host, port)
        for engine, port in zip(engines, ports, strict=True)
    ]
    await asyncio.gather(*starts)
    for engine, port in zip(engines, ports, strict=True):
        deployment.register(
            engine.server_id, 'tutor', port, slots=8, born=engine.born_ms
        )


async def _crash(
    record: Record, deployment: Deployment, engines: list[ModelEngine]
) -> None:
    running = [engine.running for engine in engines]
    for engine in engines:
        engine.crash()
    record.add(f'the engines crash while they run {running} requests')
    await asyncio.sleep(CRASH_S)
    await _start(deployment, engines)
    record.add('the engines have started again')


async def _restart_all(record: Record, deployment: Deployment) -> None:
    for killed in deployment.entries:
        killed.end()
    record.add('all entries are killed')
    await asyncio.sleep(DOWN_S)
    for started in deployment.entries:
        started.start()
    record.add('all entries are started')


async def _ask(host: str) -> int:
    """Return the status of a whole answer, 0 if there is none."""
    own_part = f'{secrets.token_hex(4)}:1050'
    headers = {
        'Marjoramfall-Model': 'm',
        'Marjoramfall-Token-Usage': '1110,30',
        'Marjoramfall-Prompt-Prefix': f'{SHARED_PART},{own_part}',
    }
    message = encode_request(
        'POST',
        '/plans/1',
        b'{}',
        attempt_id=new_id(),
        deadline_ms=DEADLINE_MS,
        more_headers=headers,
    )
    try:
        client = await Client.connect(host)
        await client.send(message)
        answer = await asyncio.wait_for(client.receive(), ANSWER_WAIT_S)
    except (OSError, TimeoutError):
        return 0
    client.close()
    return answer.status if answer.is_whole else 0


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play))
