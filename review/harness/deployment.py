"""Assemble a small deployment: a store, engines and entries."""

import asyncio
import os
import sys
import tempfile
import traceback
from abc import ABC, abstractmethod
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from harness.balancer import Balancer
from harness.client import API_KEY, HOST, Client
from harness.engine import Engine
from harness.entries import DEPENDENCIES, CannotRunError, EntryProcess
from harness.record import Record
from harness.store import MetadataStore

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
LONGEST_RUN_S = 110
# Time in which the entries hear of each other.
SETTLING_S = 3.5
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'plan-review',
            'host': HOST,
            'prefix': '/plan/',
            'kind': 'streaming',
            'service': 'llm',
            'timeoutMs': 12_000,
            'targetLatencyMs': 800,
            'gapAimMs': 250,
            'priority': 0,
            'maxAttempts': 2,
            'resumable': True,
            'sticky': True,
        },
        {
            'name': 'booking-commit',
            'host': HOST,
            'prefix': '/booking/',
            'kind': 'non_idempotent',
            'service': 'app',
            'timeoutMs': 1000,
            'targetLatencyMs': 200,
            'priority': 2,
            'maxAttempts': 1,
        },
    ],
    'services': [
        {'name': 'llm', 'maxConns': 370, 'engine': {'slots': 5, 'stride': 3}},
        {'name': 'app', 'maxConns': 110},
    ],
    'tenants': [{'name': 'team-a', 'apiKeys': [API_KEY], 'ratePerS': 0, 'burst': 0}],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 4_194_304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15_000,
    },
}


class Case(ABC):
    """Run one case against a small deployment and judge what was seen."""

    entry_count = 3

    def __init__(self, record: Record) -> None:
        self.record = record
        self.has_trouble = os.environ.get('TROUBLE') != '0'
        self.store = MetadataStore()
        self.config = CONFIG
        self.client = Client(record)
        self.entries: list[EntryProcess] = []
        self.balancer = Balancer(self.entries, record)

    @abstractmethod
    def engines(self) -> Sequence[Engine]:
        """Return the engines of the deployment."""

    @abstractmethod
    async def play(self) -> bool:
        """Play the case and return whether the rule held."""

    async def run(self) -> bool:
        """Start all parts, play the case and end all processes."""
        await self.store.start()
        engines = self.engines()
        await asyncio.gather(*(engine.start() for engine in engines))
        for engine in engines:
            self.store.put('servers', engine.engine_id, engine.registration())
        self.store.put('op', 'config', self.config)
        with tempfile.TemporaryDirectory() as directory, ExitStack() as stack:
            self._create_entries(Path(directory), stack)
            await self._start_entries()
            balancing = asyncio.create_task(self.balancer.run())
            stack.callback(balancing.cancel)
            return await self.play()

    def _create_entries(self, directory: Path, stack: ExitStack) -> None:
        for number in range(self.entry_count):
            entry = EntryProcess(number, self.store.address, directory)
            stack.callback(entry.kill)
            self.entries.append(entry)

    async def _start_entries(self) -> None:
        for entry in self.entries:
            entry.start()
        await asyncio.gather(*map(EntryProcess.wait_until_ready, self.entries))
        await asyncio.sleep(SETTLING_S)


def run_case(case_type: type[Case], directory: Path) -> None:
    """Run a case and exit with its result; the record goes to the directory."""
    record = Record(directory / 'record.txt')
    try:
        result = _run(case_type(record))
    except Exception as error:
        # An exit with 1 is for a broken rule only.
        traceback.print_exception(error)
        record.conclude(f'the case could not run: {error!r}')
        result = CANNOT_RUN
    record.close()
    sys.exit(result)


def _run(case: Case) -> int:
    if not DEPENDENCIES.is_dir():
        raise CannotRunError('the build of the deploy file has not run')
    held = asyncio.run(asyncio.wait_for(case.run(), LONGEST_RUN_S))
    case.record.conclude('the rule held' if held else 'the rule was broken')
    return HELD if held else BROKEN
