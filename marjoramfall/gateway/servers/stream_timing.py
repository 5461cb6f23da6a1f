"""Record when the events of a stream arrive."""

from dataclasses import dataclass


@dataclass(slots=True)
class StreamTiming:
    """Record the timing of one stream in monotonic milliseconds.

    `pending_prefill_tokens` are the prompt tokens that waited for prefill at the
    server when the request was sent, including its own.
    """

    sent_ms: float
    pending_prefill_tokens: int = 0
    first_event_ms: float | None = None
    last_event_ms: float = 0.0
    event_count: int = 0

    @property
    def progress_ms(self) -> float:
        """Return when the last complete event arrived or the request was sent."""
        return self.sent_ms if self.first_event_ms is None else self.last_event_ms

    def record_events(self, now_ms: float, event_count: int) -> None:
        """Record that a number of events arrived now."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        self.last_event_ms = now_ms
        self.event_count += event_count
