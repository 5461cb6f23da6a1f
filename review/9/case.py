"""Restart all entries while the list of engines holds an entry of another writer."""

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path

from review.harness2.client import Client, encode_request, new_id
from review.harness2.deployment import (
    Deployment,
    deploying,
    is_troubled,
    make_config,
    run_case,
)
from review.harness2.plain_engine import PlainEngine
from review.harness2.record import Record

SERVER_PORT = 8300
BEFORE_S = 4.0
DOWN_S = 1.0
# `recoveryS` of the settings.
RECOVERY_S = 12.0
AFTER_S = 8.0
REQUEST_PAUSE_S = 0.1
DEADLINE_MS = 1000
ANSWER_WAIT_S = 2.0
OK = 200
# Less than a quarter served breaks the rule.
LEAST_SHARE = 0.25
# Read by any JSON parser as a whole number, though not as one that fits a float.
LONG_NUMBER = f'1{"0" * 400}'


@dataclass
class Traffic:
    """Count the requests of a period, and how many of them were served."""

    sent: int = 0
    served: int = 0
    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, status: int) -> None:
        """Count a request by the status of its answer, 0 for none."""
        self.sent += 1
        self.served += status == OK
        self.statuses[status] = self.statuses.get(status, 0) + 1

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / self.sent


async def play(record: Record) -> bool:
    """Return whether less than a quarter is served after the restart."""
    async with deploying(record, entry_count=2) as deployment:
        server = await PlainEngine('i-1').start(deployment.server_host, SERVER_PORT)
        _configure(deployment)
        await deployment.start_entries()
        if is_troubled():
            _write_foreign_entry(record, deployment)
        before = await _send_for(deployment, BEFORE_S)
        record.add(f'before: {before}')
        await _restart_all(record, deployment)
        await asyncio.sleep(RECOVERY_S)
        after = await _send_for(deployment, AFTER_S)
        record.add(f'later than {RECOVERY_S} s after the restart: {after}')
        ready = await asyncio.gather(*(one.is_ready() for one in deployment.entries))
        record.add(f'entries ready: {ready}')
        server.close()
    if before.share < LEAST_SHARE:
        raise RuntimeError('too little was served before')
    return after.share < LEAST_SHARE


def _configure(deployment: Deployment) -> None:
    route = {
        'name': 'r',
        'prefix': '/books/',
        'kind': 'idempotent',
        'timeoutMs': 1000,
        'targetLatencyMs': 200,
        'priority': 0,
        'service': 'app',
        'maxAttempts': 2,
    }
    service = {'name': 'app', 'healthPath': '/healthz', 'maxConns': 110}
    deployment.store.put('op', 'config', make_config([route], [service]))
    deployment.register('i-1', 'app', SERVER_PORT)


def _write_foreign_entry(record: Record, deployment: Deployment) -> None:
    """Write an entry whose `coldRemainingMs` no engine would give."""
    content = (
        '{"service":"app","address":"%s:9","zone":"zone-a","version":"v1",'
        '"slots":6,"state":"ready","coldRemainingMs":%s,"seq":1}'
    )
    filled = content % (deployment.server_host, LONG_NUMBER)
    deployment.store.put_raw('servers', 'i-9', filled.encode())
    record.add(f'another writer puts servers/i-9: {filled[:160]}..')


async def _restart_all(record: Record, deployment: Deployment) -> None:
    for killed in deployment.entries:
        killed.end()
    record.add('all entries are killed')
    await asyncio.sleep(DOWN_S)
    for started in deployment.entries:
        started.start()
    record.add('all entries are started')


async def _send_for(deployment: Deployment, duration_s: float) -> Traffic:
    traffic = Traffic()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        hosts = [entry.host for entry in deployment.entries]
        traffic.add(await _ask(hosts[traffic.sent % len(hosts)]))
        await asyncio.sleep(REQUEST_PAUSE_S)
    return traffic


async def _ask(host: str) -> int:
    message = encode_request(
        'POST', '/books/1', b'{}', attempt_id=new_id(), deadline_ms=DEADLINE_MS
    )
    try:
        client = await Client.connect(host)
        await client.send(message)
        answer = await asyncio.wait_for(client.receive(), ANSWER_WAIT_S)
    except (OSError, TimeoutError):
        return 0
    client.close()
    return answer.status


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play))
