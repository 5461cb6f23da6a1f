"""Choose the speeds of servers that a digest tells other groups."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import starmap

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.peer_state import DigestSpeed
from marjoramfall.gateway.servers.server_speeds import MAX_SAMPLES, Speed

# Bounds the size of a digest.
MAX_SPEEDS_IN_DIGEST = 12
# A speed is told again once it has changed by this factor, or its weight by the other.
MATERIAL_CHANGE = 1.25
MATERIAL_WEIGHT_CHANGE = 3.0
# A digest may be lost, and new receivers know none.
RESEND_INTERVAL_MS = 5000.0
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class SentSpeed:
    """Hold what was told of a server, in monotonic milliseconds."""

    speed: Speed
    sent_ms: float


class DigestSpeeds:
    """Remember what receivers were told, and tell them what has changed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_by_server: dict[str, SentSpeed] = {}

    def take_due(self, speed_by_server: Mapping[str, Speed]) -> list[DigestSpeed]:
        """Return the speeds to tell now, those told longest ago first."""
        now_ms = self._clock.monotonic_ms()
        self._sent_by_server = {
            server_id: sent
            for server_id, sent in self._sent_by_server.items()
            if server_id in speed_by_server
        }
        due = [
            name
            for name, speed in speed_by_server.items()
            if self._is_due(name, speed, now_ms)
        ]
        chosen = sorted(due, key=self._sent_ms)[:MAX_SPEEDS_IN_DIGEST]
        told = [(name, speed_by_server[name]) for name in chosen]
        self._sent_by_server.update(
            (name, SentSpeed(speed, now_ms)) for name, speed in told
        )
        return list(starmap(_encoded, told))

    def _is_due(self, server_id: str, speed: Speed, now_ms: float) -> bool:
        sent = self._sent_by_server.get(server_id)
        if sent is None or now_ms - sent.sent_ms >= RESEND_INTERVAL_MS:
            return True
        known = sent.speed
        return (
            _has_changed(known.event_ms, speed.event_ms, MATERIAL_CHANGE)
            or _has_changed(known.token_us, speed.token_us, MATERIAL_CHANGE)
            or _has_changed(known.samples, speed.samples, MATERIAL_WEIGHT_CHANGE)
        )

    def _sent_ms(self, server_id: str) -> float:
        sent = self._sent_by_server.get(server_id)
        return sent.sent_ms if sent else 0


def decoded(speed: DigestSpeed) -> Speed:
    """Return the speed that a digest tells."""
    return Speed(speed.event_us / US_PER_MS, speed.token_us, speed.samples)


def _encoded(server_id: str, speed: Speed) -> DigestSpeed:
    return DigestSpeed(
        server_id,
        round(speed.event_ms * US_PER_MS),
        round(speed.token_us),
        min(MAX_SAMPLES, speed.samples),
    )


def _has_changed(known: float, current: float, factor: float) -> bool:
    return current > known * factor or known > current * factor
