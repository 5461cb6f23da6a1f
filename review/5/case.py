"""A configuration raises the largest body while clients keep their connections."""

import asyncio
from collections.abc import Sequence
from copy import deepcopy
from pathlib import Path

from harness.client import Answer, Connection, Request
from harness.deployment import CONFIG, Case, run_case
from harness.engine import Engine, PlainEngine
from harness.record import Record

SMALL_LIMIT_BYTES = 65_536
LARGE_LIMIT_BYTES = 1_048_576
BODY_BYTES = 200_000
BOOKING_DEADLINE_MS = 1000
CLIENTS = 12
# `configMs` of the deployment is 2,000, and `idleTimeoutMs` 15,000.
AFTER_CHANGE_S = 5.0
NOT_FOR_THE_CLIENT = 413


def config_with(version: int, max_body_bytes: int) -> dict[str, object]:
    """Return the configuration with another limit of the body."""
    config = deepcopy(CONFIG)
    config['version'] = version
    config['limits']['maxBodyBytes'] = max_body_bytes
    return config


class RaisedLimitCase(Case):
    """Send a booking, change the configuration, and send a larger booking."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        first_limit = SMALL_LIMIT_BYTES if self.has_trouble else LARGE_LIMIT_BYTES
        self.config = config_with(version=3, max_body_bytes=first_limit)

    def engines(self) -> Sequence[Engine]:
        """Return two plain engines."""
        return PlainEngine('app-1', self.record), PlainEngine('app-2', self.record)

    async def play(self) -> bool:
        """Return whether no booking was refused by the older configuration."""
        connections = [Connection(self.balancer.choose()) for _ in range(CLIENTS)]
        await self._send_on_all(connections, b'booking')
        self.record.write('the store acknowledges version 5')
        self.store.put('op', 'config', config_with(5, LARGE_LIMIT_BYTES))
        await asyncio.sleep(AFTER_CHANGE_S)
        answers = await self._send_on_all(connections, bytes(BODY_BYTES))
        refused = [answer for answer in answers if answer.status == NOT_FOR_THE_CLIENT]
        self.record.conclude(
            f'{len(answers)} bookings within the limit of version 5, sent '
            f'{AFTER_CHANGE_S} s after it; {len(refused)} refused with 413'
        )
        return not refused

    async def _send_on_all(
        self, connections: list[Connection], body: bytes
    ) -> list[Answer]:
        booking = Request('POST', '/booking/1', BOOKING_DEADLINE_MS, body)
        sending = [self.client.send_on(found, booking) for found in connections]
        return await asyncio.gather(*sending)


run_case(RaisedLimitCase, Path(__file__).parent)
