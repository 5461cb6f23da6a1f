"""Keep what other entries reported of the requests and retries of each service."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from marjoramfall.gateway.peers.group_digest import GroupDigest
from marjoramfall.gateway.peers.outside_groups import OTHER_GROUPS, source_of
from marjoramfall.gateway.peers.peer_state import PeerState, RetryUse

# A source that is silent for longer may be cut off and spend its part of the slack by
# itself. Its load is not known any more either.
REPORT_SILENCE_MS = 900.0


@dataclass(frozen=True, slots=True)
class SharedRetryUse:
    """Hold what is known of the use of a service by some entries.

    `requests` and `waiting` are of the `reporters`, the entries heard lately;
    `retries` also of those that fell silent within the window, and `entries` is how
    many ran in it, with those that report nothing. `oldest_age_ms` is the age of the
    oldest report of a reporter.
    """

    requests: int = 0
    retries: int = 0
    waiting: int = 0
    reporters: int = 0
    entries: int = 0
    oldest_age_ms: float = 0.0


NO_USE = SharedRetryUse()


@dataclass(frozen=True, slots=True)
class ReportSource:
    """Name a run of an entry, and the entries whose use it reports."""

    source: str
    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RetryReport:
    """Hold the use by service that a source reported, and when it arrived."""

    use_by_service: dict[str, RetryUse]
    reporters: int
    entries: int
    received_ms: float


class RetryReports:
    """Keep the last report of each source until the window has passed.

    What a killed entry had spent counts until then, also as it starts again.
    Entries of the build before report nothing, and each of their runs may spend the
    part of one entry.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._report_by_peer: dict[ReportSource, RetryReport] = {}
        self._report_by_digest: dict[ReportSource, RetryReport] = {}

    def add_state(self, state: PeerState, now_ms: float) -> None:
        """Replace the report of an entry of the own group."""
        is_reporter = state.retry_uses is not None
        name = state.vm if is_reporter else f'{state.vm}:{state.incarnation}'
        source = ReportSource(name, state.vm, state.incarnation)
        if source not in self._report_by_peer:
            self._drop_expired(now_ms)
        self._report_by_peer[source] = RetryReport(
            _by_service(state.retry_uses), int(is_reporter), 1, now_ms
        )

    def add_digest(self, digest: GroupDigest, now_ms: float) -> None:
        """Replace the report of another group, or of all others, by its sender."""
        source = ReportSource(source_of(digest), digest.vm, digest.incarnation)
        if source not in self._report_by_digest:
            self._drop_expired(now_ms)
        self._report_by_digest[source] = RetryReport(
            _by_service(digest.retry_uses),
            digest.retry_reporters,
            digest.entry_count,
            now_ms,
        )

    def service_ids(self) -> set[str]:
        """Return the services that any report names."""
        reports = (*self._report_by_peer.values(), *self._report_by_digest.values())
        return {
            service_id for report in reports for service_id in report.use_by_service
        }

    def group_use(self, service_id: str, now_ms: float) -> SharedRetryUse:
        """Return the use by the other entries of the own group.

        The retries of all incarnations of an entry add up.
        """
        self._drop_expired(now_ms)
        by_vm = _reports_by_source(self._report_by_peer)
        return _added(
            _use_of(reports, service_id, now_ms, sum) for reports in by_vm.values()
        )

    def other_groups_use(self, service_id: str, now_ms: float) -> SharedRetryUse:
        """Return the use by all other groups, as their own digests report it.

        What several relays of a group report is the same use, of which the largest
        figures count.
        """
        self._drop_expired(now_ms)
        by_group = _reports_by_source(self._report_by_digest)
        by_group.pop(OTHER_GROUPS, None)
        return _added(
            _use_of(reports, service_id, now_ms, max) for reports in by_group.values()
        )

    def others_use(self, service_id: str, now_ms: float) -> SharedRetryUse:
        """Return the use by all other entries."""
        group = self.group_use(service_id, now_ms)
        return _added((group, self._outside_use(service_id, now_ms)))

    def _outside_use(self, service_id: str, now_ms: float) -> SharedRetryUse:
        """Return the use by all other groups, also from the relay of the own group.

        After a change of the relay both are known, and the larger figures count.
        """
        from_groups = self.other_groups_use(service_id, now_ms)
        sums = _reports_by_source(self._report_by_digest).get(OTHER_GROUPS, ())
        from_relay = _use_of(sums, service_id, now_ms, max)
        return _combined((from_relay, from_groups), max)

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self.window_ms
        for reports in (self._report_by_peer, self._report_by_digest):
            for source, report in tuple(reports.items()):
                if report.received_ms < oldest_ms:
                    reports.pop(source)


def _by_service(uses: Iterable[RetryUse] | None) -> dict[str, RetryUse]:
    return {use.service_id: use for use in uses or ()}


def _reports_by_source(
    reports: dict[ReportSource, RetryReport],
) -> dict[str, list[RetryReport]]:
    by_source = defaultdict(list)
    for source, report in reports.items():
        by_source[source.source].append(report)
    return by_source


def _use_of(
    reports: Iterable[RetryReport],
    service_id: str,
    now_ms: float,
    combine: Callable[[Iterable[int]], int],
) -> SharedRetryUse:
    """Return the use that one source reported, in one or several runs."""
    uses = [_use_in(report, service_id, now_ms) for report in reports]
    used = _combined(uses, combine)
    # An entry that started again is one entry.
    return replace(
        used,
        reporters=max(use.reporters for use in (NO_USE, *uses)),
        entries=max(use.entries for use in (NO_USE, *uses)),
    )


def _use_in(report: RetryReport, service_id: str, now_ms: float) -> SharedRetryUse:
    use = report.use_by_service.get(service_id) or RetryUse(service_id, 0, 0)
    age_ms = now_ms - report.received_ms
    if age_ms > REPORT_SILENCE_MS:
        return SharedRetryUse(retries=use.retries, entries=report.entries)
    return SharedRetryUse(
        use.requests,
        use.retries,
        use.waiting,
        report.reporters,
        report.entries,
        age_ms,
    )


def _added(uses: Iterable[SharedRetryUse]) -> SharedRetryUse:
    return _combined(tuple(uses), sum)


def _combined(
    uses: Iterable[SharedRetryUse], combine: Callable[[Iterable[int]], int]
) -> SharedRetryUse:
    known = (NO_USE, *uses)
    return SharedRetryUse(
        requests=combine(use.requests for use in known),
        retries=combine(use.retries for use in known),
        waiting=combine(use.waiting for use in known),
        reporters=combine(use.reporters for use in known),
        entries=combine(use.entries for use in known),
        oldest_age_ms=max(use.oldest_age_ms for use in known),
    )
