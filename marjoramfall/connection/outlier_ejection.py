"""Eject backend servers that fail or are slow against their peers."""

from collections.abc import Collection
from dataclasses import dataclass
from statistics import median

MAX_CONSECUTIVE_FAILURES = 5
# Healthy engines differ by up to 2.8 in speed, so that a server is compared
# with its own past, and by that measure with its peers.
SLOW_RATIO = 3.0
SUSPECT_RATIO = 2.0
BASELINE_SMOOTHING = 0.005
# Without a healthy past, only a speed far from all peers is a fault.
SLOW_FROM_START_RATIO = 8.0
MIN_REPORTS = 16
# The time per token of shorter responses is mostly that of other prompts.
MIN_DECODE_TOKENS = 16
MIN_PEERS = 2
FIRST_EJECTION_MS = 5000
MAX_EJECTION_MS = 300_000
TRICKLE_SUCCESSES = 3
MAX_EJECTED_SHARE = 0.5
SMOOTHING = 0.1


@dataclass(slots=True)
class _Health:
    failures: int = 0
    reports: int = 0
    token_ms: float = 0
    baseline_ms: float = 0
    ejected_until_ms: float | None = None
    ejection_ms: float = 0
    trickle_left: int = 0

    @property
    def slowdown(self) -> float:
        """Return the time per token against the server's own past."""
        return self.token_ms / self.baseline_ms if self.baseline_ms else 1


class OutlierEjection:
    """Decide which servers of a group get no work, or only a trickle."""

    def __init__(self) -> None:
        self._health_by_id: dict[str, _Health] = {}

    def set_servers(self, server_ids: Collection[str]) -> None:
        """Replace the servers; the health of kept ones stays."""
        self._health_by_id = {
            server_id: self._health_by_id.get(server_id) or _Health()
            for server_id in server_ids
        }
        # A smaller group may have more than half of its servers ejected.
        ejected = [
            health
            for health in self._health_by_id.values()
            if health.ejected_until_ms is not None
        ]
        ejected.sort(key=lambda health: health.ejected_until_ms or 0)
        too_many = len(ejected) - int(MAX_EJECTED_SHARE * len(self._health_by_id))
        for health in ejected[: max(0, too_many)]:
            health.ejected_until_ms = None
            health.trickle_left = TRICKLE_SUCCESSES

    def allowed(self, server_id: str, running: int, now_ms: float) -> bool:
        """Return whether a server with so many running requests may get one."""
        health = self._health_by_id[server_id]
        if health.ejected_until_ms is not None:
            if now_ms < health.ejected_until_ms:
                return False
            health.ejected_until_ms = None
            health.trickle_left = TRICKLE_SUCCESSES
        return not health.trickle_left or running == 0

    def ejected_ids(self, now_ms: float) -> set[str]:
        """Return the servers that get no work now."""
        return {
            server_id
            for server_id, health in self._health_by_id.items()
            if health.ejected_until_ms is not None and now_ms < health.ejected_until_ms
        }

    def on_finished(
        self, server_id: str, now_ms: float, *, succeeded: bool, token_ms: float | None
    ) -> None:
        """Learn from a result; `token_ms` is the time per decoded token."""
        health = self._health_by_id.get(server_id)
        if health is None:
            return
        if succeeded:
            self._count_success(health, token_ms)
        else:
            health.failures += 1
        failed = health.failures >= MAX_CONSECUTIVE_FAILURES or (
            health.trickle_left > 0 and not succeeded
        )
        if failed or self._is_slow(server_id):
            self._eject(health, now_ms)

    def _count_success(self, health: _Health, token_ms: float | None) -> None:
        health.failures = 0
        if health.trickle_left:
            health.trickle_left -= 1
            if not health.trickle_left and health.token_ms:
                health.reports = MIN_REPORTS // 2
        if token_ms is not None:
            weight = SMOOTHING if health.reports else 1
            health.token_ms += weight * (token_ms - health.token_ms)
            if not health.baseline_ms:
                health.baseline_ms = token_ms
            drift_ms = token_ms - health.baseline_ms
            health.baseline_ms += BASELINE_SMOOTHING * drift_ms
            health.reports += 1

    def _is_slow(self, server_id: str) -> bool:
        health = self._health_by_id[server_id]
        if health.reports < MIN_REPORTS:
            return False
        # Comparing with all peers takes time; most reports are ordinary.
        if health.slowdown < SUSPECT_RATIO and health.reports % MIN_REPORTS:
            return False
        peers = [
            peer
            for peer_id, peer in self._health_by_id.items()
            if peer_id != server_id and peer.reports >= MIN_REPORTS
        ]
        if len(peers) < MIN_PEERS:
            return False
        slowdown = health.slowdown / median(peer.slowdown for peer in peers)
        peers_ms = median(peer.token_ms for peer in peers)
        return slowdown > SLOW_RATIO or (
            health.token_ms > SLOW_FROM_START_RATIO * peers_ms
        )

    def _eject(self, health: _Health, now_ms: float) -> None:
        if health.ejected_until_ms is not None and now_ms < health.ejected_until_ms:
            return
        ejected = len(self.ejected_ids(now_ms)) + 1
        if ejected > MAX_EJECTED_SHARE * len(self._health_by_id):
            return
        doubled_ms = max(FIRST_EJECTION_MS, 2 * health.ejection_ms)
        health.ejection_ms = min(doubled_ms, MAX_EJECTION_MS)
        health.ejected_until_ms = now_ms + health.ejection_ms
        health.failures = 0
        health.reports = 0
        health.trickle_left = 0
