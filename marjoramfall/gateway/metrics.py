"""Define the Prometheus metrics of a gateway process."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

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

    def count_request(
        self, *, route: str, status: int, ending: str, seconds: float
    ) -> None:
        """Count an ended request and observe its duration."""
        self._requests.inc({'route': route, 'status': str(status), 'ending': ending})
        self._duration_seconds.observe({'route': route}, seconds)

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
