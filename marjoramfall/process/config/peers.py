"""Track which configuration revisions other members have confirmed."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from marjoramfall.identifiers import rank_members

READER_GROUP = 'config-readers'
READER_COUNT = 3
# Longest time that a member serves without news of the log's head.
LEASE_MS = 3000
# The 500 ms beyond the lease cover the transit of a heartbeat that its sender
# sent just before it confirmed the revision.
SILENT_PEER_TIMEOUT_MS = LEASE_MS + 500


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Hold what a heartbeat or a probe reply reports about its sender.

    `asked_ms` is the monotonic time at which this process sent the probe or
    the head query that the report answers, None for an unsolicited heartbeat.
    Only an answer extends the lease: an unsolicited heartbeat may have waited
    in a buffer while this process was paused, so its age is unknown.
    """

    revision: int
    head_age_ms: float | None
    store_reachable: bool
    asked_ms: float | None = None


@dataclass(slots=True)
class PeerView:
    """Hold the last known state of a peer; times are monotonic milliseconds.

    `revision` is the last one that the peer confirmed.
    `last_answered_probe_ms` is when this process sent the last probe or head
    query that the peer answered, None before the first answer.
    """

    listed_ms: float
    last_received_ms: float
    last_answered_probe_ms: float | None = None
    revision: int = 0
    store_reachable: bool = False
    last_sent_ms: float = float('-inf')
    resend_delay_ms: float = 0


class PeerViews:
    """Hold the views of the listed members other than this entry itself."""

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.last_confirmation_ms = float('-inf')
        self._views_by_id: dict[str, PeerView] = {}
        self._reader_ids: tuple[str, ...] = (own_id,)

    def __len__(self) -> int:
        """Return the number of peers."""
        return len(self._views_by_id)

    def __iter__(self) -> Iterator[tuple[str, PeerView]]:
        """Iterate over the ids and views of the peers."""
        return iter(self._views_by_id.items())

    def get(self, peer_id: str) -> PeerView | None:
        """Return the view of a peer, None if it is not listed."""
        return self._views_by_id.get(peer_id)

    def set_members(self, member_ids: Iterable[str], now_ms: float) -> None:
        """Replace the list of members and choose the readers of the store."""
        listed = set(member_ids) - {self.own_id}
        self._views_by_id = {
            peer_id: self._views_by_id.get(peer_id) or PeerView(now_ms, now_ms)
            for peer_id in sorted(listed)
        }
        ranked = rank_members(READER_GROUP, (*listed, self.own_id))
        self._reader_ids = tuple(ranked[:READER_COUNT])

    @property
    def reader_ids(self) -> tuple[str, ...]:
        """Return the members that poll the store."""
        return self._reader_ids

    def record_revision(self, peer_id: str, revision: int, now_ms: float) -> None:
        """Record that a peer has applied a revision."""
        view = self.get(peer_id)
        if view is None:
            return
        view.last_received_ms = now_ms
        if revision > view.revision:
            view.revision = revision
            view.resend_delay_ms = 0
            self.last_confirmation_ms = now_ms

    def unconfirmed(self, revision: int, now_ms: float) -> tuple[str, ...]:
        """Return the peers that may still serve an earlier revision.

        A silent peer cannot serve any more once a lease has passed since the
        last confirmation, if the members that confirmed are a majority: none
        of them confirms an earlier revision any more, so the peer gets no
        news of the head and reaches no majority without them.
        """
        behind = [(peer_id, view) for peer_id, view in self if view.revision < revision]
        member_count = len(self) + 1
        has_majority = 2 * (member_count - len(behind)) > member_count
        return tuple(
            peer_id
            for peer_id, view in behind
            if not has_majority
            or now_ms - max(view.last_received_ms, self.last_confirmation_ms)
            <= SILENT_PEER_TIMEOUT_MS
        )
