"""Decide when an entry reads the configuration log from the store."""

from marjoramfall.process.config.peers import LEASE_MS, PeerViews

READER_POLL_INTERVAL_MS = 500
# Members that are not readers poll only while no reader's news reaches them, that
# is, while the head that they know is older than FALLBACK_HEAD_AGE_MS.
FALLBACK_POLL_INTERVAL_MS = 1000
FALLBACK_HEAD_AGE_MS = LEASE_MS / 2
POLL_TIMEOUT_MS = 3000


class StorePolls:
    """Schedule the polls of a reader, and of other members that lack news."""

    def __init__(self, peers: PeerViews) -> None:
        self._peers = peers
        self._started_ms = float('-inf')
        self._is_pending = False

    def start(self, now_ms: float) -> None:
        """Record that a poll was sent."""
        self._started_ms = now_ms
        self._is_pending = True

    def finish(self) -> None:
        """Record that the poll was answered or has failed."""
        self._is_pending = False

    def is_due(self, head_age_ms: float | None, now_ms: float) -> bool:
        """Return whether to poll now."""
        waited_ms = now_ms - self._started_ms
        if self._is_pending and waited_ms < POLL_TIMEOUT_MS:
            return False
        if self._peers.own_id in self._peers.reader_ids:
            return waited_ms >= READER_POLL_INTERVAL_MS
        is_head_old = head_age_ms is None or head_age_ms > FALLBACK_HEAD_AGE_MS
        return is_head_old and waited_ms >= FALLBACK_POLL_INTERVAL_MS
