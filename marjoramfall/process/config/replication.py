"""Replicate the configuration log to all entries."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.messages import ConfigEntries, ConfigRequest
from marjoramfall.process.config.freshness import FreshnessLease
from marjoramfall.process.config.log import LogTail
from marjoramfall.process.config.peers import PeerReport, PeerView, PeerViews
from marjoramfall.process.config.polls import StorePolls
from marjoramfall.process.config.queries import HeadQueries
from marjoramfall.process.config.snapshot import SnapshotCodec
from marjoramfall.process.config.state import ConfigState

MIN_RESEND_DELAY_MS = 200
MAX_RESEND_DELAY_MS = 1000
# Peers that were cut off for longer catch up through the exchange on heartbeats.
PUSH_WINDOW_MS = 10_000
MIN_REQUEST_INTERVAL_MS = 50
MAX_RECORDS_PER_MESSAGE = 100


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Request that the daemon sends a message to a member."""

    peer_id: str
    message: ConfigEntries | ConfigRequest


@dataclass(frozen=True, slots=True)
class PollStore:
    """Request that the daemon reads the head and the log after a revision."""

    after_revision: int


@dataclass(frozen=True, slots=True)
class RevisionInForce:
    """Report that no member can still serve a revision before a pushed one."""

    revision: int


ReplicationAction = SendToPeer | PollStore | RevisionInForce


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Hold which members may still serve a revision before this one."""

    revision: int
    in_force_everywhere: bool
    unconfirmed: tuple[str, ...]


class ConfigReplicator:
    """Push own changes, exchange missing records and poll the store.

    A `ConfigRequest` also confirms that its sender has applied
    `after_revision`. The `on_` methods raise a `ConfigLogError` for records
    that cannot be applied.
    """

    def __init__(self, own_id: str, state: ConfigState) -> None:
        self.state = state
        self._peers = PeerViews(own_id)
        self._lease = FreshnessLease(self._peers)
        self._head_queries = HeadQueries(self._peers)
        self._push_until_ms = float('-inf')
        self._polls = StorePolls(self._peers)
        self._last_request_ms = float('-inf')
        self._awaited_revision = 0

    @property
    def reader_ids(self) -> tuple[str, ...]:
        """Return the members that poll the store regularly."""
        return self._peers.reader_ids

    @property
    def store_reachable(self) -> bool:
        """Return whether the last poll of the store was answered."""
        return self._lease.store_reachable

    def head_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the head was last known, None if never."""
        return self._lease.head_age_ms(now_ms)

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether this entry may serve with the revision it has applied."""
        if self._lease.has_recent_head(now_ms):
            return True
        self._lease.renew(self.state.revision, now_ms)
        return self._lease.is_fresh(now_ms)

    def confirmation(self, revision: int, now_ms: float) -> Confirmation:
        """Return which members, this entry included, may serve an earlier revision."""
        unconfirmed = self._peers.unconfirmed(revision, now_ms)
        if self.state.revision < revision:
            unconfirmed = (self._peers.own_id, *unconfirmed)
        return Confirmation(revision, not unconfirmed, unconfirmed)

    def peer_revision(self, peer_id: str) -> int:
        """Return the last revision that a peer has confirmed, 0 if not listed."""
        view = self._peers.get(peer_id)
        return 0 if view is None else view.revision

    def on_members(
        self,
        member_ids: Iterable[str],
        now_ms: float,
        *,
        suspect_ids: Iterable[str] = (),
    ) -> list[ReplicationAction]:
        """Update the list of the members that may be serving.

        Suspected and unreachable members stay listed until the platform's
        list drops their VM, they announce their stop, or a new incarnation
        replaces them.
        """
        listed = tuple(member_ids)
        self._peers.set_members(listed, now_ms)
        self._lease.set_members(listed, suspect_ids)
        return self._report_in_force(now_ms)

    def on_left(self, peer_id: str, now_ms: float) -> list[ReplicationAction]:
        """Stop counting a member that has announced its stop."""
        self._lease.remove_member(peer_id)
        return []

    def on_heartbeat(
        self, peer_id: str, report: PeerReport, now_ms: float
    ) -> list[ReplicationAction]:
        """Exchange missing records with a peer and use its news of the head."""
        self._peers.record_revision(peer_id, report.revision, now_ms)
        self._record_answer(peer_id, report)
        view = self._peers.get(peer_id)
        if report.revision > self.state.revision:
            return self._request_records(peer_id, now_ms)
        actions = self._report_in_force(now_ms)
        if view is not None and report.revision < self.state.revision:
            actions.extend(self._send_missing_records(peer_id, view, now_ms))
        return actions

    def on_entries(
        self, peer_id: str, message: ConfigEntries, now_ms: float
    ) -> list[ReplicationAction]:
        """Apply records and confirm the revision that was reached.

        The confirmation also requests the records that are still missing.
        """
        last = message.first_revision + len(message.entries) - 1
        self._peers.record_revision(peer_id, last, now_ms)
        if message.snapshot:
            self.state.restore(SnapshotCodec.decode(message.snapshot))
        self.state.apply_records(message.first_revision, message.entries)
        report = self._head_queries.report_from(message, now_ms)
        if report is not None:
            self._record_answer(peer_id, report)
        actions = self._report_in_force(now_ms)
        if message.entries or message.snapshot:
            confirm = ConfigRequest(after_revision=self.state.revision)
            actions.append(SendToPeer(peer_id, confirm))
        return actions

    def on_request(
        self, peer_id: str, message: ConfigRequest, now_ms: float
    ) -> list[ReplicationAction]:
        """Record a confirmation and send the records that follow it."""
        self._peers.record_revision(peer_id, message.after_revision, now_ms)
        if message.after_revision > self.state.revision:
            # No answer is sent, since this entry is behind the requesting one.
            return self._request_records(peer_id, now_ms)
        actions = self._report_in_force(now_ms)
        if message.asked_ms or message.after_revision < self.state.revision:
            actions.append(SendToPeer(peer_id, self._make_answer(message, now_ms)))
        return actions

    def on_written(
        self, revision: int, text: str, now_ms: float
    ) -> list[ReplicationAction]:
        """Apply a change that this entry wrote and push it to all peers."""
        self.state.apply_records(revision, [text])
        self._awaited_revision = max(self._awaited_revision, revision)
        return [*self._push_records(now_ms), *self._report_in_force(now_ms)]

    def on_polled(
        self, tail: LogTail, started_ms: float, now_ms: float
    ) -> list[ReplicationAction]:
        """Apply the result of a poll; `started_ms` is when the read was sent."""
        self._polls.finish()
        self._lease.store_reachable = True
        before = self.state.revision
        self.state.apply_records(tail.first_revision, tail.texts)
        if tail.verified and tail.head == self.state.revision:
            self._lease.record_head(started_ms)
        actions: list[ReplicationAction] = []
        if self.state.revision > before:
            actions.extend(self._push_records(now_ms))
        if tail.texts and tail.head > self.state.revision:
            actions.extend(self._poll(now_ms))
        return actions

    def on_poll_failed(self, now_ms: float) -> list[ReplicationAction]:
        """Record that the store did not answer a poll."""
        self._polls.finish()
        self._lease.store_reachable = False
        return []

    def tick(self, now_ms: float) -> list[ReplicationAction]:
        """Poll, query, push again and renew the lease; call every 50 to 100 ms."""
        self._lease.renew(self.state.revision, now_ms)
        actions = self._report_in_force(now_ms)
        if now_ms < self._push_until_ms:
            for peer_id, view in self._peers:
                if view.revision < self.state.revision:
                    actions.extend(self._send_missing_records(peer_id, view, now_ms))
        age_ms = self._lease.head_age_ms(now_ms)
        query = ConfigRequest(after_revision=self.state.revision, asked_ms=now_ms)
        for queried_id in self._head_queries.due_peers(age_ms, now_ms):
            actions.append(SendToPeer(queried_id, query))
        if self._polls.is_due(age_ms, now_ms):
            actions.extend(self._poll(now_ms))
        return actions

    def _record_answer(self, peer_id: str, report: PeerReport) -> None:
        view = self._peers.get(peer_id)
        if view is None or report.asked_ms is None:
            return
        view.last_answered_probe_ms = report.asked_ms
        view.store_reachable = report.store_reachable
        if report.head_age_ms is not None and report.revision <= self.state.revision:
            self._lease.record_head(report.asked_ms - report.head_age_ms)

    def _make_answer(self, request: ConfigRequest, now_ms: float) -> ConfigEntries:
        """Return the records after a revision, or a snapshot if they are not retained.

        With the snapshot a new VM can start while the store is down.
        """
        first = request.after_revision + 1
        snapshot = ''
        if first < self.state.oldest_retained_revision:
            first = self.state.revision + 1
            snapshot = SnapshotCodec.encode(self.state.configuration).decode()
        texts = self.state.records_after(first - 1, limit=MAX_RECORDS_PER_MESSAGE)
        is_complete = first + len(texts) == self.state.revision + 1
        return ConfigEntries(
            first_revision=first,
            entries=texts,
            snapshot=snapshot,
            asked_ms=request.asked_ms,
            head_age_ms=self.head_age_ms(now_ms) if is_complete else None,
            store_reachable=self.store_reachable,
        )

    def _request_records(self, peer_id: str, now_ms: float) -> list[ReplicationAction]:
        if now_ms - self._last_request_ms < MIN_REQUEST_INTERVAL_MS:
            return []
        self._last_request_ms = now_ms
        request = ConfigRequest(after_revision=self.state.revision)
        return [SendToPeer(peer_id, request)]

    def _push_records(self, now_ms: float) -> list[ReplicationAction]:
        self._push_until_ms = now_ms + PUSH_WINDOW_MS
        actions: list[ReplicationAction] = []
        for peer_id, view in self._peers:
            if view.revision < self.state.revision:
                view.resend_delay_ms = 0
                actions.extend(self._send_missing_records(peer_id, view, now_ms))
        return actions

    def _send_missing_records(
        self, peer_id: str, view: PeerView, now_ms: float
    ) -> list[ReplicationAction]:
        if now_ms - view.last_sent_ms < view.resend_delay_ms:
            return []
        view.last_sent_ms = now_ms
        view.resend_delay_ms = min(
            max(2 * view.resend_delay_ms, MIN_RESEND_DELAY_MS), MAX_RESEND_DELAY_MS
        )
        # The revision of a new peer is unknown: send the latest record; the peer
        # requests those that it lacks.
        return self._send_records(peer_id, view.revision or self.state.revision - 1)

    def _send_records(self, peer_id: str, revision: int) -> list[ReplicationAction]:
        texts = self.state.records_after(revision, limit=MAX_RECORDS_PER_MESSAGE)
        if not texts:
            return []
        message = ConfigEntries(first_revision=revision + 1, entries=texts)
        return [SendToPeer(peer_id, message)]

    def _poll(self, now_ms: float) -> list[ReplicationAction]:
        self._polls.start(now_ms)
        return [PollStore(self.state.revision)]

    def _report_in_force(self, now_ms: float) -> list[ReplicationAction]:
        awaited = self._awaited_revision
        if not awaited or not self.confirmation(awaited, now_ms).in_force_everywhere:
            return []
        self._awaited_revision = 0
        return [RevisionInForce(awaited)]
