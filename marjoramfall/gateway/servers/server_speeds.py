"""Combine the speeds that this entry and its peers measured at a server."""

from dataclasses import dataclass

# Lowest weight of a new sample in a moving average; the first samples weigh more.
SMOOTHING = 0.15
# Upper bound on the sample count, and so on the weight of a peer's report.
MAX_SAMPLES = 30
INITIAL_TOKEN_US = 20.0
US_PER_MS = 1000
# Weight of the initial estimate, in samples.
PRIOR_SAMPLES = 0.5


@dataclass(slots=True)
class Speed:
    """Hold moving averages of times measured at a server and the sample count."""

    event_ms: float
    token_us: float
    samples: int = 0

    def add_event_sample(self, event_ms: float) -> None:
        """Add a time between two events, or the duration of a plain call."""
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.event_ms += weight * (event_ms - self.event_ms)
        self.samples = min(MAX_SAMPLES, self.samples + 1)

    def add_token_sample(self, token_us: float) -> None:
        """Add a prefill time per prompt token."""
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.token_us += weight * (token_us - self.token_us)


@dataclass(slots=True)
class PeerSpeeds:
    """Sum the speeds measured by peers, weighted by their sample counts."""

    weighted_event_ms: float = 0.0
    weighted_token_us: float = 0.0
    samples: int = 0

    def add(self, speed: Speed, sign: int) -> None:
        """Add a measurement if `sign` is 1, remove it if -1."""
        self.weighted_event_ms += sign * speed.event_ms * speed.samples
        self.weighted_token_us += sign * speed.token_us * speed.samples
        self.samples += sign * speed.samples
        if not self.samples:
            # Leaves no remainder of subtracting.
            self.weighted_event_ms = 0.0
            self.weighted_token_us = 0.0

    def mean(self) -> Speed:
        """Return the mean of the measurements, of which there must be some."""
        return Speed(
            self.weighted_event_ms / self.samples,
            self.weighted_token_us / self.samples,
            self.samples,
        )


@dataclass(frozen=True, slots=True)
class SpeedPrior:
    """Say what to expect of a server that no entry has measured.

    Short answers are placed by `event_ms`; `cautious_event_ms` keeps long ones away
    while a known server is free.
    """

    event_ms: float
    cautious_event_ms: float
    token_us: float


class ServerSpeeds:
    """Keep the weighted mean of the measurements of all entries at a server.

    `event_ms` is the time between events, or of a plain call, and `token_ms`
    the prefill time per prompt token. Both are stored, as each assignment
    reads them for every server while only a measurement changes them. The last mean
    stays when those who measured it are gone. `cautious_event_ms` is longer than
    `event_ms` until the server is measured.
    """

    def __init__(self, event_ms: float) -> None:
        # A server that has just started is slow until then, in monotonic milliseconds.
        self.cold_until_ms = 0.0
        self.own = Speed(event_ms, INITIAL_TOKEN_US)
        self.peers = PeerSpeeds()
        self.event_ms = event_ms
        self.cautious_event_ms = event_ms
        self.token_ms = INITIAL_TOKEN_US / US_PER_MS
        self.is_known = False
        self._has_token_sample = False
        self._is_measured_lately = False

    def expect(self, prior: SpeedPrior) -> None:
        """Expect this of the server until it is measured."""
        if self.is_known:
            return
        self.own.event_ms = prior.event_ms
        if not self._has_token_sample:
            self.own.token_us = prior.token_us
        self._update()
        self.cautious_event_ms = prior.cautious_event_ms

    @property
    def is_measured(self) -> bool:
        """Return whether any entry has measured the server."""
        return self.own.samples + self.peers.samples > 0

    def add_event_sample(self, event_ms: float) -> None:
        """Add this entry's time between two events, or of a plain call."""
        self._is_measured_lately = True
        self.own.add_event_sample(event_ms)
        self._update()

    def fade(self) -> None:
        """Let what was not measured since the last call weigh less beside peers."""
        if self._is_measured_lately:
            self._is_measured_lately = False
        elif self.own.samples > 1:
            self.own.samples //= 2
            self._update()

    def add_token_sample(self, token_us: float) -> None:
        """Add this entry's prefill time per prompt token."""
        self.own.add_token_sample(token_us)
        self._has_token_sample = True
        self._update()

    def add_peer_speed(self, speed: Speed, sign: int) -> None:
        """Add a peer's measurement if `sign` is 1, remove it if -1."""
        self.peers.add(speed, sign)
        self._update()

    def _update(self) -> None:
        own = self.own
        peers = self.peers
        if own.samples or peers.samples:
            self.is_known = True
        elif self.is_known:
            return
        weight = own.samples + PRIOR_SAMPLES
        samples = weight + peers.samples
        self.event_ms = (own.event_ms * weight + peers.weighted_event_ms) / samples
        if self.is_known:
            self.cautious_event_ms = self.event_ms
        token_us = (own.token_us * weight + peers.weighted_token_us) / samples
        self.token_ms = token_us / US_PER_MS
