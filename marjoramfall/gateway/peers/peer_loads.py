"""Add the load reported by peers to the servers and queues of this entry."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from marjoramfall.gateway.peers.digest_speeds import decoded
from marjoramfall.gateway.peers.group_digest import GroupDigest
from marjoramfall.gateway.peers.outside_groups import source_of
from marjoramfall.gateway.peers.peer_state import (
    PeerState,
    ServerLimitReport,
    ServerSpeed,
    ServerUse,
    WaitingCall,
    WaitingWork,
)
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.server_speeds import PeerSpeeds, Speed
from marjoramfall.gateway.servers.service_queue import ServiceQueue
from marjoramfall.gateway.servers.waiting_order import PeerWaiter, UnlistedWork


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold the load that a peer, or a group of them, reported.

    `speed_by_server` replaces all speeds of the source and is None if it holds none;
    `changed_speed_by_server` replaces only those of its servers.
    That of other groups `is_outside`, and older than that of peers of the own group.
    """

    source: str
    uses: list[ServerUse]
    waiting: list[WaitingCall]
    unreachable_server_ids: list[str]
    speed_by_server: dict[str, Speed] | None = None
    changed_speed_by_server: dict[str, Speed] = field(default_factory=dict)
    server_limits: list[ServerLimitReport] = field(default_factory=list)
    is_outside: bool = False
    unlisted_work: list[WaitingWork] = field(default_factory=list)


def report_of_state(state: PeerState) -> LoadReport:
    """Return the load of a peer."""
    return LoadReport(
        source=state.vm,
        uses=state.uses,
        waiting=state.waiting,
        unreachable_server_ids=state.unreachable_server_ids,
        speed_by_server=_speed_by_server(state.speeds),
        server_limits=state.server_limits,
        unlisted_work=state.unlisted_work,
    )


def report_of_digest(digest: GroupDigest) -> LoadReport:
    """Return the load of the entries that a digest sums up."""
    return LoadReport(
        source=source_of(digest),
        uses=digest.uses,
        waiting=digest.waiting,
        unreachable_server_ids=digest.unreachable_server_ids,
        changed_speed_by_server={
            speed.server_id: decoded(speed) for speed in digest.speeds
        },
        server_limits=digest.server_limits,
        is_outside=True,
    )


@dataclass(slots=True)
class PeerContribution:
    """Hold the load that is counted at servers and queues for one peer."""

    uses: list[ServerUse] = field(default_factory=list)
    speed_by_server: dict[str, Speed] = field(default_factory=dict)
    unreachable_server_ids: list[str] = field(default_factory=list)
    waiting_services: set[str] = field(default_factory=set)


class PeerLoads:
    """Replace the load of a peer by that of its newest report."""

    def __init__(
        self,
        load_by_id: Mapping[str, ServerLoad],
        find_queue: Callable[[str], ServiceQueue],
    ) -> None:
        self._load_by_id = load_by_id
        self._find_queue = find_queue
        self._contribution_by_source: dict[str, PeerContribution] = {}

    @property
    def peer_count(self) -> int:
        """Return the number of peers whose load is counted."""
        return len(self._contribution_by_source)

    def replace(self, report: LoadReport, received_ms: float) -> None:
        """Replace the load of a peer; speeds stay if the report holds none."""
        contribution = self._contribution_by_source.setdefault(
            report.source, PeerContribution()
        )
        self._count_uses(contribution.uses, -1)
        contribution.uses = report.uses
        self._count_uses(contribution.uses, 1)
        self._count_unreachable_reports(contribution.unreachable_server_ids, -1)
        contribution.unreachable_server_ids = report.unreachable_server_ids
        self._count_unreachable_reports(contribution.unreachable_server_ids, 1)
        if report.speed_by_server is not None:
            self._count_speeds(contribution.speed_by_server, -1)
            contribution.speed_by_server = report.speed_by_server
            self._count_speeds(contribution.speed_by_server, 1)
        for server_id, speed in report.changed_speed_by_server.items():
            known = contribution.speed_by_server.get(server_id)
            self._count_speed(server_id, known, -1)
            contribution.speed_by_server[server_id] = speed
            self._count_speed(server_id, speed, 1)
        self._replace_waiting(report, contribution, received_ms)

    def keep_only(self, sources: set[str]) -> None:
        """Remove the load of all other peers and groups."""
        for source in tuple(self._contribution_by_source):
            if source not in sources:
                contribution = self._contribution_by_source.pop(source)
                self._count_uses(contribution.uses, -1)
                self._count_speeds(contribution.speed_by_server, -1)
                self._count_unreachable_reports(contribution.unreachable_server_ids, -1)
                self._drop_waiting(source, contribution)

    def model_speeds_of(
        self, sources: Iterable[str], own: Mapping[str, Speed] | None = None
    ) -> dict[str, Speed]:
        """Return the mean speed of each model server as some sources measured it."""
        sum_by_server: defaultdict[str, PeerSpeeds] = defaultdict(PeerSpeeds)
        measured = [
            self._contribution_by_source[source].speed_by_server
            for source in sources
            if source in self._contribution_by_source
        ]
        for speed_by_server in (*measured, own or {}):
            for server_id, speed in speed_by_server.items():
                sum_by_server[server_id].add(speed, 1)
        return {
            name: total.mean()
            for name, total in sum_by_server.items()
            if total.samples and self._is_model(name)
        }

    def apply_to_new_server(self, load: ServerLoad) -> None:
        """Add to a new server the load that peers reported before it was known."""
        server_id = load.server.server_id
        for contribution in self._contribution_by_source.values():
            uses = [use for use in contribution.uses if use.server_id == server_id]
            self._count_uses(uses, 1)
            speed = contribution.speed_by_server.get(server_id)
            self._count_speed(server_id, speed, 1)
            load.unreachable_report_count += contribution.unreachable_server_ids.count(
                server_id
            )

    def forget_speed(self, server_id: str) -> None:
        """Forget the speed of a server that has gone, or has started again."""
        for contribution in self._contribution_by_source.values():
            contribution.speed_by_server.pop(server_id, None)

    def _is_model(self, server_id: str) -> bool:
        load = self._load_by_id.get(server_id)
        return load is not None and load.is_model

    def _count_uses(self, uses: list[ServerUse], sign: int) -> None:
        for use in uses:
            load = self._load_by_id.get(use.server_id)
            if load is not None:
                load.add_peer_load(
                    sign * use.running, sign * use.pending_prefill_tokens
                )

    def _count_unreachable_reports(self, server_ids: list[str], sign: int) -> None:
        for server_id in server_ids:
            load = self._load_by_id.get(server_id)
            if load is not None:
                load.unreachable_report_count += sign

    def _count_speeds(self, speed_by_server: Mapping[str, Speed], sign: int) -> None:
        for server_id, speed in speed_by_server.items():
            self._count_speed(server_id, speed, sign)

    def _count_speed(self, server_id: str, speed: Speed | None, sign: int) -> None:
        load = self._load_by_id.get(server_id)
        if load is not None and speed is not None:
            load.speeds.add_peer_speed(speed, sign)

    def _replace_waiting(
        self, report: LoadReport, contribution: PeerContribution, received_ms: float
    ) -> None:
        self._drop_waiting(report.source, contribution)
        for call in report.waiting:
            waiter = PeerWaiter(
                call.rank, received_ms - call.waited_ms, call.expected_ms
            )
            queue = self._find_queue(call.service_id)
            queue.peers.add(report.source, waiter, is_outside=report.is_outside)
            contribution.waiting_services.add(call.service_id)
        for work in report.unlisted_work:
            queue = self._find_queue(work.service_id)
            unlisted = UnlistedWork(work.rank, work.count, work.slot_ms)
            queue.peers.add_unlisted(report.source, unlisted)
            contribution.waiting_services.add(work.service_id)

    def _drop_waiting(self, source: str, contribution: PeerContribution) -> None:
        for service_id in contribution.waiting_services:
            self._find_queue(service_id).peers.drop(source)
        contribution.waiting_services.clear()


def _speed_by_server(speeds: list[ServerSpeed] | None) -> dict[str, Speed] | None:
    if speeds is None:
        return None
    return {
        speed.server_id: Speed(speed.event_ms, speed.token_us, speed.samples)
        for speed in speeds
    }
