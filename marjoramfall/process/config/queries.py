"""Ask members for news of the head when heartbeats bring none."""

from marjoramfall.messages import ConfigEntries
from marjoramfall.process.config.freshness import MAX_DIRECTLY_PROBED_MEMBERS
from marjoramfall.process.config.peers import LEASE_MS, PeerReport, PeerViews

ASK_SPACING_MS = 500
ASK_READER_AGE_MS = LEASE_MS / 3
# Time for two rounds of answers from a majority before the lease ends.
ASK_ALL_AGE_MS = LEASE_MS / 2


class HeadQueries:
    """Choose whom to ask, and accept only answers to own questions."""

    def __init__(self, peers: PeerViews) -> None:
        self._peers = peers
        self._asked_ms = float('-inf')
        self._first_ms: float | None = None
        self._turn = 0

    def due(self, head_age_ms: float | None, now_ms: float) -> list[str]:
        """Return the members to ask now.

        One reader after the other is asked at first. Without an answer, all
        members are, since a majority keeps the lease without the store;
        larger groups rely on membership for that, and only those members
        are asked that poll the store.
        """
        age_ms = LEASE_MS if head_age_ms is None else head_age_ms
        if age_ms < ASK_READER_AGE_MS or now_ms - self._asked_ms < ASK_SPACING_MS:
            return []
        self._asked_ms = now_ms
        if self._first_ms is None:
            self._first_ms = now_ms
        if age_ms >= ASK_ALL_AGE_MS:
            is_direct = len(self._peers) < MAX_DIRECTLY_PROBED_MEMBERS
            return [
                peer_id
                for peer_id, view in self._peers
                if is_direct or view.store_reachable or peer_id in self._readers
            ]
        self._turn += 1
        others = self._readers
        return [others[self._turn % len(others)]] if others else []

    def report_of(self, answer: ConfigEntries, now_ms: float) -> PeerReport | None:
        """Return the news of an answer, None if it answers nothing asked.

        A time before the first question belongs to an earlier process at
        the same address.
        """
        if self._first_ms is None or not self._first_ms <= answer.asked_ms <= now_ms:
            return None
        return PeerReport(
            answer.first_revision + len(answer.entries) - 1,
            answer.head_age_ms,
            answer.store_reachable,
            answer.asked_ms,
        )

    @property
    def _readers(self) -> list[str]:
        own_id = self._peers.own_id
        return [peer_id for peer_id in self._peers.reader_ids if peer_id != own_id]
