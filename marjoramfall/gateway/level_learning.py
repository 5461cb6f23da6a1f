"""Decide which levels an entry that starts again takes over from its peers."""

from dataclasses import dataclass

# Two full states of each peer, one of which may be lost, and time to be discovered.
LEARNING_MS = 1500.0


@dataclass(slots=True)
class LevelLearning:
    """Tell how far the level of a limit is known after a start of this entry.

    The first level that a peer reports is taken over. Later ones correct it while the
    entry is young, as that peer may have been paused just before. At a first start of
    the system, the level is known unless others have started earlier: only lower
    levels of such peers are taken over.
    """

    started_ms: float
    is_first_start: bool = False
    adopted_ms: float | None = None

    def is_over(self, now_ms: float) -> bool:
        """Return whether levels of peers are no longer taken over."""
        return now_ms - self.started_ms >= LEARNING_MS

    def knows_level(self, now_ms: float) -> bool:
        """Return whether other entries may take over the level known here."""
        is_known = self.is_first_start or self.adopted_ms is not None
        return is_known or self.is_over(now_ms)

    def accepts_all(self) -> bool:
        """Return whether the next level is taken over, however high it is."""
        return self.adopted_ms is None and not self.is_first_start

    def may_learn_from(self, now_ms: float, peer_uptime_ms: float) -> bool:
        """Return whether the level of a peer may be taken over."""
        if self.is_over(now_ms):
            return False
        is_older = peer_uptime_ms > now_ms - self.started_ms
        return is_older or not self.is_first_start

    def recent_share(self, now_ms: float, peer_uptime_ms: float) -> float:
        """Return the share of a peer's use that the level does not contain yet."""
        if self.adopted_ms is None:
            return 1
        return min(1, (now_ms - self.adopted_ms) / max(1, peer_uptime_ms))
