"""Define the Prometheus metrics of a gateway process."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from marjoramfall.clock import MS_PER_SECOND

LATENCY_BUCKETS_S = (0.01, 0.03, 0.06, 0.125, 0.25, 0.5, 0.8, 1.2, 2, 4, 8, 16)


class GatewayMetrics:
    """Hold the counters, histograms and gauges of one process."""

    def __init__(self, *, vm: str) -> None:
        self._registry = Registry()
        self._labels = {'vm': vm}
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self._requests = Counter(
            'marjoramfall_gateway_requests_total',
            'Requests by route, status and ending.',
            const_labels=self._labels,
            registry=self._registry,
        )
        self._sends = Counter(
            'marjoramfall_gateway_sends_total',
            'Attempts that reached a server, by service and side of the data centre.',
            const_labels=self._labels,
            registry=self._registry,
        )
        self._refusals = Counter(
            'marjoramfall_gateway_refusals_total',
            'Requests answered 503, by route and whether they had come back.',
            const_labels=self._labels,
            registry=self._registry,
        )
        self._duration_seconds = Histogram(
            'marjoramfall_gateway_request_seconds',
            'Seconds until the end of the response, by route.',
            const_labels=self._labels,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self._moves = Counter(
            'marjoramfall_gateway_stream_moves_total',
            'Moves of running streams by ending.',
            const_labels=self._labels,
            registry=self._registry,
        )
        self._move_pause_seconds = Histogram(
            'marjoramfall_gateway_stream_move_pause_seconds',
            'Seconds between the last event before a move and the first one after.',
            const_labels=self._labels,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS_S),
        )

    def count_sends(self, service_id: str, *, home: int, away: int) -> None:
        """Count the attempts of a request in this data centre and in others."""
        self._sends.add({'service': service_id, 'side': 'home'}, home)
        self._sends.add({'service': service_id, 'side': 'away'}, away)

    def count_request(
        self, *, route: str, status: int, ending: str, seconds: float
    ) -> None:
        """Count an ended request and observe its duration."""
        self._requests.inc({'route': route, 'status': str(status), 'ending': ending})
        self._duration_seconds.observe({'route': route}, seconds)

    def count_move(self, ending: str) -> None:
        """Count how the move of a running stream ended."""
        self._moves.inc({'ending': ending})

    def observe_move_pause(self, pause_ms: float) -> None:
        """Observe the pause that a caller saw as its stream moved."""
        self._move_pause_seconds.observe({}, pause_ms / MS_PER_SECOND)

    def count_refusal(self, *, route: str, has_returned: bool) -> None:
        """Count a request refused for want of room."""
        returned = 'yes' if has_returned else 'no'
        self._refusals.inc({'route': route, 'returned': returned})

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge that calls `read` at each scrape."""
        gauge = Gauge(
            name, help_text, const_labels=self._labels, registry=self._registry
        )
        self._gauges.append((gauge, read))

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body, _ = render(self._registry, ['text/plain'])
        return body
