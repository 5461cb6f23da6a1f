"""Define the metrics of an entry process."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from marjoramfall.request.record import RequestRecord

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.76, 1, 2.5, 5, 10, 30, 60)
# Services and tiers come and go; each value costs memory until the process ends.
MAX_LABEL_VALUES = 200
OTHER = 'other'


class LabelValues:
    """Admit the first values of a label and replace all later ones."""

    def __init__(self, limit: int = MAX_LABEL_VALUES) -> None:
        self._limit = limit
        self._admitted: set[str] = set()

    def admit(self, value: str) -> str:
        """Return the value, or `other` if there are too many."""
        if value not in self._admitted:
            if len(self._admitted) >= self._limit:
                return OTHER
            self._admitted.add(value)
        return value


class Metrics:
    """Hold the registry of one process and its metrics."""

    def __init__(self, *, vm: str, data_centre: str) -> None:
        self._registry = Registry()
        self._labels = {'vm': vm, 'data_centre': data_centre}
        self._services = LabelValues()
        self._tiers = LabelValues()
        self._versions = LabelValues()
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self.requests = self._counter(
            'marjoramfall_requests_total', 'Requests by outcome, service and tier.'
        )
        self.request_seconds = self._histogram(
            'marjoramfall_request_seconds',
            'Seconds until the whole response, by service and tier.',
        )
        self.decisions = self._counter(
            'marjoramfall_decisions_total', 'Decisions by group, tier and kind.'
        )
        self.peer_messages = self._counter(
            'marjoramfall_peer_messages_total', 'Messages by direction and kind.'
        )
        self.peer_bytes = self._counter(
            'marjoramfall_peer_bytes_total', 'Bytes between entries by direction.'
        )
        self.peer_drops = self._counter(
            'marjoramfall_peer_drops_total', 'Messages dropped, by reason.'
        )
        self.config_changes = self._counter(
            'marjoramfall_config_changes_total', 'Changes submitted, by outcome.'
        )
        self.withdrawals = self._counter(
            'marjoramfall_version_withdrawals_total', 'Versions withdrawn, by version.'
        )

    def count_request(self, record: RequestRecord) -> None:
        """Count an ended request, and its duration if it succeeded."""
        labels = {
            'service': self._services.admit(record.service_id),
            'tier': self._tiers.admit(record.tier_id),
        }
        self.requests.inc({'outcome': record.outcome, **labels})
        if record.service_id and record.outcome == 'ok':
            self.request_seconds.observe(labels, record.seconds)

    def count_decision(self, decision: str, *, group_id: str, tier_id: str) -> None:
        """Count a decision of a dispatcher: `granted`, `shed` or `expired`."""
        labels = {
            'group': self._services.admit(group_id),
            'tier': self._tiers.admit(tier_id),
        }
        self.decisions.inc({'decision': decision, **labels})

    def count_withdrawal(self, version_id: str) -> None:
        """Count a version that a move withdrew."""
        self.withdrawals.inc({'version': self._versions.admit(version_id)})

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show the value of a callable whenever metrics are read."""
        gauge = Gauge(name, text, const_labels=self._labels, registry=self._registry)
        self._gauges.append((gauge, read))

    def render(self, accept: str) -> tuple[bytes, list[tuple[str, str]]]:
        """Return the body and headers of a scrape."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body, headers = render(self._registry, [accept or '*/*'])
        return body, [(name, str(text)) for name, text in headers.items()]

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, const_labels=self._labels, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name,
            text,
            const_labels=self._labels,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
