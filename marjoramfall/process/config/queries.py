"""Query members for the head of the log when heartbeats bring no news of it."""

from marjoramfall.messages import ConfigEntries
from marjoramfall.process.config.freshness import MAX_DIRECTLY_PROBED_MEMBERS
from marjoramfall.process.config.peers import LEASE_MS, PeerReport, PeerViews

QUERY_INTERVAL_MS = 500
READER_QUERY_HEAD_AGE_MS = LEASE_MS / 3
# Half a lease leaves time for two rounds of answers from a majority.
ALL_MEMBERS_QUERY_HEAD_AGE_MS = LEASE_MS / 2


class HeadQueries:
    """Choose the members to query, and accept only answers to own queries."""

    def __init__(self, peers: PeerViews) -> None:
        self._peers = peers
        self._last_query_ms = float('-inf')
        self._first_query_ms: float | None = None
        self._reader_turn = 0

    def due_peers(self, head_age_ms: float | None, now_ms: float) -> list[str]:
        """Return the members to query now.

        At first the readers are queried in turn. If they do not answer, all
        members are queried, since answers of a majority extend the lease
        while the store is down. Groups larger than
        `MAX_DIRECTLY_PROBED_MEMBERS` rely on membership for that and query
        only the readers and the members that reach the store.
        """
        age_ms = LEASE_MS if head_age_ms is None else head_age_ms
        if (
            age_ms < READER_QUERY_HEAD_AGE_MS
            or now_ms - self._last_query_ms < QUERY_INTERVAL_MS
        ):
            return []
        self._last_query_ms = now_ms
        if self._first_query_ms is None:
            self._first_query_ms = now_ms
        if age_ms >= ALL_MEMBERS_QUERY_HEAD_AGE_MS:
            can_query_all = len(self._peers) < MAX_DIRECTLY_PROBED_MEMBERS
            return [
                peer_id
                for peer_id, view in self._peers
                if can_query_all
                or view.store_reachable
                or peer_id in self._other_readers
            ]
        self._reader_turn += 1
        readers = self._other_readers
        return [readers[self._reader_turn % len(readers)]] if readers else []

    def report_from(self, answer: ConfigEntries, now_ms: float) -> PeerReport | None:
        """Return the report in an answer, None if it answers no own query.

        An `asked_ms` before the first query belongs to an earlier process at
        the same address.
        """
        if (
            self._first_query_ms is None
            or not self._first_query_ms <= answer.asked_ms <= now_ms
        ):
            return None
        return PeerReport(
            answer.first_revision + len(answer.entries) - 1,
            answer.head_age_ms,
            answer.store_reachable,
            answer.asked_ms,
        )

    @property
    def _other_readers(self) -> list[str]:
        own_id = self._peers.own_id
        return [peer_id for peer_id in self._peers.reader_ids if peer_id != own_id]
