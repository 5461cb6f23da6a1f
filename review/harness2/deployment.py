"""Bring up a small deployment: a store, entries and a configuration."""

import asyncio
import os
import shutil
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path

from review.harness2.entries import STORE_PORT, Entry, free_hosts
from review.harness2.record import Record
from review.harness2.store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
MAX_RUN_S = 110.0
# The entries hear of each other and of the servers.
SETTLE_S = 3.5
API_KEY = 'key-of-the-tenant'
HOST = 'callers.example'


def is_troubled() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def make_config(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant."""
    return {
        'version': 7,
        'routes': [{'host': HOST, 'public': False, **route} for route in routes],
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'tenant',
                'apiKeys': [API_KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
    }


class Deployment:
    """Hold the store and the entries of a case."""

    def __init__(self, record: Record, folder: Path, entry_count: int) -> None:
        self.record = record
        self.store = Store()
        self.hosts = free_hosts(entry_count + 2)
        self.store_address = f'{self.hosts[0]}:{STORE_PORT}'
        self.server_host = self.hosts[1]
        self.entries = [
            Entry(f'front-zone-a-{index}', host, self.store_address, folder)
            for index, host in enumerate(self.hosts[2:], start=1)
        ]

    def register(self, server_id: str, service: str, port: int, **fields) -> None:
        """Register an engine in the store, as its heartbeats do."""
        self.store.put(
            'servers',
            server_id,
            {
                'service': service,
                'address': f'{self.server_host}:{port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'coldRemainingMs': 0,
                'seq': 2,
                **fields,
            },
        )

    async def start_entries(self) -> None:
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            entry.start()
        waits = [started.wait_ready() for started in self.entries]
        await asyncio.gather(*waits)
        await asyncio.sleep(SETTLE_S)

    def end(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.end()


@asynccontextmanager
async def deploying(record: Record, entry_count: int):
    """Start the store and prepare entries; end everything afterwards."""
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    deployment = Deployment(record, folder, entry_count)
    server = await deployment.store.start(deployment.hosts[0], STORE_PORT)
    with ExitStack() as stack:
        stack.callback(_remove, folder)
        stack.callback(server.close)
        stack.callback(deployment.end)
        yield deployment


def _remove(folder: Path) -> None:
    keep_logs = os.environ.get('KEEP_LOGS')
    if keep_logs:
        shutil.copytree(folder, keep_logs, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)


async def repeat(count: int, step: Callable[[], Awaitable[None]]) -> None:
    """Take a step some times, one after the other."""
    left = count
    while left > 0:
        await step()
        left -= 1


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    record.add('with the disruption' if is_troubled() else 'without the disruption')
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record), MAX_RUN_S))
    except Exception:
        record.add(f'the case could not run: {traceback.format_exc()}')
        return NOT_RUN
    record.add('the rule is BROKEN' if is_broken else 'the rule held')
    return BROKEN if is_broken else HELD
