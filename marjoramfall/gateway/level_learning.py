"""Decide which levels an entry that starts again takes over from its peers."""

from dataclasses import dataclass

# Two full states of each peer, one of which may be lost, and time to be discovered.
LEARNING_MS = 1500.0


@dataclass(slots=True)
class LevelLearning:
    """Tell how far the level of a limit is known after a start of this entry.

    The first level that a peer reports is taken over. Later ones correct it while the
    entry is young, as that peer may have been paused just before.
    """

    started_ms: float
    adopted_ms: float | None = None

    def is_over(self, now_ms: float) -> bool:
        """Return whether levels of peers are no longer taken over."""
        return now_ms - self.started_ms >= LEARNING_MS

    def knows_level(self, now_ms: float) -> bool:
        """Return whether other entries may take over the level known here."""
        return self.adopted_ms is not None or self.is_over(now_ms)

    def recent_share(self, now_ms: float, peer_uptime_ms: float) -> float:
        """Return the share of a peer's use that the level does not contain yet."""
        if self.adopted_ms is None:
            return 1
        return min(1, (now_ms - self.adopted_ms) / max(1, peer_uptime_ms))
