"""Record when the events of a stream arrive."""

from dataclasses import dataclass

# A sample of the time between events needs as many gaps.
MIN_GAPS_TO_LEARN = 3
# Time between two samples of one stream after its first.
SAMPLE_INTERVAL_MS = 1000.0
# A gap that is longer than the mean of the others by this factor is a pause, of the
# server or of this process, and says nothing of the speed.
PAUSE_FACTOR = 6.0


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
    _sampled_ms: float = 0.0
    _sampled_count: int = 0
    _longest_gap_ms: float = 0.0
    _longest_gap_count: int = 0

    @property
    def progress_ms(self) -> float:
        """Return when the last complete event arrived or the request was sent."""
        return self.sent_ms if self.first_event_ms is None else self.last_event_ms

    def record_events(self, now_ms: float, event_count: int) -> None:
        """Record that a number of events arrived now."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
            self._sampled_ms = now_ms
            self._sampled_count = event_count
        elif now_ms - self.last_event_ms > self._longest_gap_ms:
            self._longest_gap_ms = now_ms - self.last_event_ms
            self._longest_gap_count = event_count
        self.last_event_ms = now_ms
        self.event_count += event_count

    def take_due_sample(self) -> float | None:
        """Return the time between events once as many have arrived, then rarely."""
        is_first = self._sampled_ms == self.first_event_ms
        elapsed_ms = self.last_event_ms - self._sampled_ms
        if not is_first and elapsed_ms < SAMPLE_INTERVAL_MS:
            return None
        return self.take_sample()

    def take_sample(self) -> float | None:
        """Return the time between the events since the last sample, None if few."""
        gaps = self.event_count - self._sampled_count
        if gaps < MIN_GAPS_TO_LEARN:
            return None
        elapsed_ms = self.last_event_ms - self._sampled_ms
        other_gaps = gaps - self._longest_gap_count
        other_ms = elapsed_ms - self._longest_gap_ms
        # The pause counts as one more of the other gaps.
        is_pause = other_gaps > 1 and self._longest_gap_ms * other_gaps > (
            PAUSE_FACTOR * other_ms * self._longest_gap_count
        )
        self._sampled_ms = self.last_event_ms
        self._sampled_count = self.event_count
        self._longest_gap_ms = 0.0
        self._longest_gap_count = 0
        return other_ms / other_gaps if is_pause else elapsed_ms / gaps
