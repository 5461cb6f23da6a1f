"""Know the load, speed and health of one backend server."""

from dataclasses import dataclass

from marjoramfall.gateway.demand import Demand
from marjoramfall.gateway.model import BackendServer

SMOOTHING = 0.15
# Peers' reports weigh as many samples at the most.
MAX_SAMPLES = 30
INITIAL_EVENT_MS = 15.0
INITIAL_TOKEN_US = 20.0
INITIAL_CALL_MS = 30.0
# Part of the first response that depends neither on prompt nor on load.
BASE_FIRST_MS = 10.0
FIRST_EJECTION_MS = 300.0
MAX_EJECTION_MS = 2500.0
ERROR_SMOOTHING = 0.12
# Others' streams pause while a prompt is read.
DISTURBANCE_WEIGHT = 0.5
US_PER_MS = 1000
# More than any other difference between servers.
MISSED_DEADLINE_MS = 60_000.0
# The initial guess counts as much as half a sample.
PRIOR_SAMPLES = 0.5


@dataclass(slots=True)
class Speed:
    """Hold times that were measured at a server, with their sample counts."""

    event_ms: float
    token_us: float
    samples: int = 0

    def learn_event(self, event_ms: float) -> None:
        """Learn the time between events, or of a plain call."""
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.event_ms += weight * (event_ms - self.event_ms)
        self.samples = min(MAX_SAMPLES, self.samples + 1)

    def learn_token(self, token_us: float) -> None:
        """Learn the time to read a token of a prompt."""
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.token_us += weight * (token_us - self.token_us)


@dataclass(slots=True)
class PeerSpeeds:
    """Sum what peers measured, weighted by their sample counts."""

    event_ms: float = 0.0
    token_us: float = 0.0
    samples: int = 0

    def add(self, speed: Speed, sign: int = 1) -> None:
        """Add a measurement, or take it out with a negative sign."""
        self.event_ms += sign * speed.event_ms * speed.samples
        self.token_us += sign * speed.token_us * speed.samples
        self.samples += sign * speed.samples


@dataclass(slots=True)
class Running:
    """Count a request that a server works on for this entry."""

    demand: Demand
    started_ms: float
    is_reading: bool = True


class ServerLoad:
    """Predict what a new request would see at a server."""

    def __init__(
        self,
        server: BackendServer,
        *,
        is_model: bool,
        events_per_token: float,
        distance_ms: float,
    ) -> None:
        self.server = server
        self.is_model = is_model
        self.events_per_token = events_per_token
        self.distance_ms = distance_ms
        self.reserve = 0
        event_ms = INITIAL_EVENT_MS if is_model else INITIAL_CALL_MS
        self.speed = Speed(event_ms, INITIAL_TOKEN_US)
        self.own: list[Running] = []
        self.peer_running = 0
        self.peer_pending_tokens = 0
        self.peer_speeds = PeerSpeeds()
        self.error_share = 0.0
        self.failures = 0
        self.heard_ms = 0.0
        self.ejected_until_ms = 0.0
        self.lapses_at_ms: float | None = None

    @property
    def running(self) -> int:
        """Return how many requests of all entries run."""
        return len(self.own) + self.peer_running

    @property
    def free_places(self) -> int:
        """Return how many more requests the server can work on at once."""
        return max(0, self.server.slots - self.running - self.reserve)

    @property
    def pending_tokens(self) -> int:
        """Return how many tokens of prompts are still to be read."""
        own = sum(run.demand.prompt_tokens for run in self.own if run.is_reading)
        return own + self.peer_pending_tokens

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server failed lately and gets no work now.

        Once the time is over, one request at a time tries the server.
        """
        if now_ms < self.ejected_until_ms:
            return True
        return self.failures > 0 and self.ejected_until_ms > 0 and bool(self.own)

    def event_ms(self) -> float:
        """Return the time between events as all entries measured it."""
        own = self.speed
        peers = self.peer_speeds
        weight = own.samples + PRIOR_SAMPLES
        return (own.event_ms * weight + peers.event_ms) / (weight + peers.samples)

    def token_ms(self) -> float:
        """Return the time to read one token of a prompt."""
        own = self.speed
        peers = self.peer_speeds
        weight = own.samples + PRIOR_SAMPLES
        token_us = (own.token_us * weight + peers.token_us) / (weight + peers.samples)
        return token_us / US_PER_MS

    def first_ms(self, demand: Demand) -> float:
        """Return the expected time until the first response."""
        if not self.is_model:
            crowding = 1 + self.running / self.server.slots
            return self.event_ms() * crowding
        tokens = self.pending_tokens + demand.prompt_tokens
        return BASE_FIRST_MS + tokens * self.token_ms() + self.event_ms()

    def total_ms(self, demand: Demand) -> float:
        """Return the expected time until the whole response."""
        first_ms = self.first_ms(demand)
        if not self.is_model:
            return first_ms
        events = demand.output_tokens * self.events_per_token
        return first_ms + events * self.event_ms()

    def cost(self, demand: Demand, now_ms: float) -> float:
        """Return what placement minimises, in milliseconds."""
        first_ms = self.first_ms(demand)
        cost = self.total_ms(demand) + self.distance_ms
        if self.is_model:
            reading_ms = demand.prompt_tokens * self.token_ms()
            cost += DISTURBANCE_WEIGHT * reading_ms * self.running
        if now_ms + first_ms > demand.target_ms:
            cost += first_ms
        if not self.meets_deadline(demand, now_ms):
            cost += MISSED_DEADLINE_MS
        reliability = max(0.1, 1 - self.error_share)
        return cost / (reliability * reliability)

    def meets_deadline(self, demand: Demand, now_ms: float) -> bool:
        """Return whether the whole response is expected in time."""
        return now_ms + self.total_ms(demand) <= demand.deadline_ms

    def begin(self, demand: Demand, now_ms: float) -> Running:
        """Count a request that is sent to the server."""
        run = Running(demand, now_ms)
        self.own.append(run)
        return run

    def end(self, run: Running) -> None:
        """Stop counting a request."""
        self.own.remove(run)

    def on_success(self, now_ms: float) -> None:
        """Note a good response."""
        self.failures = 0
        self.ejected_until_ms = 0
        self.heard_ms = now_ms
        self.error_share -= ERROR_SMOOTHING * self.error_share

    def on_error(self) -> None:
        """Note a response that says the request failed."""
        self.error_share += ERROR_SMOOTHING * (1 - self.error_share)

    def on_unreachable(self, now_ms: float) -> None:
        """Eject the server after a connection failed or fell silent."""
        self.failures += 1
        self.on_error()
        delay_ms = FIRST_EJECTION_MS * 2 ** min(self.failures - 1, 5)
        self.ejected_until_ms = now_ms + min(delay_ms, MAX_EJECTION_MS)
