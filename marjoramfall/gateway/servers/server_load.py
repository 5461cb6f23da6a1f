"""Track the load, speed and health of one backend server."""

import math
from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_speeds import ServerSpeeds
from marjoramfall.gateway.shared_limit import SharedLimit

INITIAL_EVENT_MS = 15.0
INITIAL_CALL_MS = 30.0
# Part of the time to the first response that depends neither on the prompt
# nor on the load.
BASE_FIRST_RESPONSE_MS = 10.0
FIRST_EJECTION_MS = 300.0
MAX_EJECTION_MS = 2500.0
ERROR_SMOOTHING = 0.12
# How long a failed connection is reported to peers.
UNREACHABLE_REPORT_MS = 2000.0
# High enough that a server reported as unreachable is used only once the
# others are full.
UNREACHABLE_COST_MS = 10_000.0
# How long a response received by this entry overrides reports of peers that
# the server is unreachable.
OWN_RESPONSE_VALID_MS = 1000.0
# Prefill of a prompt pauses the other streams of the server.
PREFILL_INTERFERENCE_WEIGHT = 0.5
# More than that of a warm server of another group.
COLD_COST_MS = 250.0
# Exceeds any other difference in cost between servers.
MISSED_DEADLINE_COST_MS = 60_000.0
# For a deadline that only a response of the cautious length misses.
MAYBE_MISSED_DEADLINE_COST_MS = 6000.0


@dataclass(slots=True)
class HeardNotices:
    """Hold what an incarnation of a server has said in responses to this entry.

    It wants no requests before `resumed_ms`, in monotonic milliseconds.
    """

    is_leaving: bool = False
    resumed_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Distance:
    """Say whether a server is in the data centre of this entry, and what it costs.

    `cost_ms` is the time that a request must gain to use a server that is farther
    away or belongs to another group of entries.
    """

    is_local: bool = True
    cost_ms: float = 0


@dataclass(slots=True)
class RunningRequest:
    """Hold a request of this entry that is running at a server."""

    demand: Demand
    started_ms: float
    is_prefilling: bool = True
    event_count: int = 0

    def on_events(self, count: int) -> None:
        """Count events of the response; the first ends the prefill."""
        self.is_prefilling = False
        self.event_count += count


class ServerLoad:
    """Predict the response time of a new request at a server."""

    def __init__(
        self,
        server: BackendServer,
        *,
        is_model: bool,
        events_per_token: float,
    ) -> None:
        self.server = server
        # Stored rather than computed, as each assignment reads them for every
        # server while few events change them.
        self.running = 0
        self.free_slots = server.slots
        self.is_model = is_model
        self.events_per_token = events_per_token
        self.distance = Distance()
        self._reserved_slots = 0
        event_ms = INITIAL_EVENT_MS if is_model else INITIAL_CALL_MS
        self.speeds = ServerSpeeds(event_ms)
        self.own_requests: list[RunningRequest] = []
        self.peer_running = 0
        self.peer_pending_prefill_tokens = 0
        self.unreachable_report_count = 0
        self.error_share = 0.0
        self.consecutive_failures = 0
        self._last_failure_ms = 0.0
        self.last_response_ms = 0.0
        self.ejected_until_ms = 0.0
        # Counts the requests to the server once it has named a limit.
        self._shared_limit: SharedLimit | None = None
        self.is_limited = False
        self._heard = HeardNotices()

    @property
    def is_leaving(self) -> bool:
        """Return whether the server is about to stop."""
        return self._heard.is_leaving or self.server.is_leaving

    def use_notices(self, heard: HeardNotices) -> None:
        """Heed what this entry has heard from the server, now and later."""
        self._heard = heard

    def pause_ms(self, now_ms: float) -> float:
        """Return how long the server wants nothing from this entry; 0 if it does."""
        resumed_ms = self._heard.resumed_ms
        return resumed_ms - now_ms if resumed_ms > now_ms else 0

    def update_server(self, server: BackendServer) -> None:
        """Replace the registration by a newer one of the same incarnation."""
        self.server = server
        self._update_slots()

    def use_limit(self, limit: SharedLimit, *, is_in_force: bool) -> None:
        """Count requests under the limit, and keep to it if it is in force."""
        self._shared_limit = limit
        self.is_limited = is_in_force
        self._update_slots()

    def refill_limit(self, now_ms: float) -> None:
        """Update the free slots by what the limit allows now."""
        self._shared_limit.refill(now_ms, self._shared_limit.reserved_share)
        self._update_slots()

    def ms_until_allowed(self) -> float:
        """Return the time until the limit allows a request."""
        return self._shared_limit.ms_until_available()

    def usable_slots(self, service_time_ms: float) -> float:
        """Return how many slots the limit lets the server use on average."""
        slots = self.server.slots
        if not self.is_limited:
            return slots
        rate_per_s = self._shared_limit.rule.rate_per_s
        return min(slots, rate_per_s * service_time_ms / MS_PER_SECOND)

    def reserve_slots(self, slots: int) -> None:
        """Reserve some slots for other entries."""
        self._reserved_slots = slots
        self._update_slots()

    def add_peer_load(self, running: int, pending_prefill_tokens: int) -> None:
        """Add requests of a peer; negative numbers remove them."""
        self.peer_running += running
        self.peer_pending_prefill_tokens += pending_prefill_tokens
        self._update_slots()

    @property
    def pending_prefill_tokens(self) -> int:
        """Return how many prompt tokens wait for prefill, including those of peers."""
        if not self.own_requests:
            return self.peer_pending_prefill_tokens
        own_tokens = sum(
            request.demand.prompt_tokens
            for request in self.own_requests
            if request.is_prefilling
        )
        return own_tokens + self.peer_pending_prefill_tokens

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is excluded after recent failures.

        Once the ejection time is over, one request at a time probes the server.
        """
        if now_ms < self.ejected_until_ms:
            return True
        return (
            self.consecutive_failures > 0
            and self.ejected_until_ms > 0
            and bool(self.own_requests)
        )

    def first_response_ms(self, demand: Demand) -> float:
        """Return the expected time until the first response."""
        if not self.is_model:
            load_factor = 1 + self.running / self.server.slots
            return self.speeds.event_ms * load_factor
        pending_tokens = self.peer_pending_prefill_tokens
        if self.own_requests:
            pending_tokens = self.pending_prefill_tokens
        tokens = pending_tokens + demand.prompt_tokens
        speeds = self.speeds
        return BASE_FIRST_RESPONSE_MS + tokens * speeds.token_ms + speeds.event_ms

    def cost(self, demand: Demand, now_ms: float) -> float:
        """Return the cost that the choice of a server minimises, in milliseconds."""
        first_response_ms = self.first_response_ms(demand)
        cost = first_response_ms + self.distance.cost_ms
        left_ms = demand.deadline_ms - now_ms - first_response_ms
        if self.is_model:
            speeds = self.speeds
            event_ms = self.events_per_token * speeds.cautious_event_ms
            events_ms = demand.output_tokens * event_ms
            prefill_ms = demand.prompt_tokens * speeds.token_ms
            cost += events_ms + PREFILL_INTERFERENCE_WEIGHT * prefill_ms * self.running
            if events_ms > left_ms:
                cost += MISSED_DEADLINE_COST_MS
            elif demand.cautious_output_tokens * event_ms > left_ms:
                cost += MAYBE_MISSED_DEADLINE_COST_MS
            if 0 < demand.max_gap_ms < speeds.event_ms:
                cost += first_response_ms + events_ms
        elif left_ms < 0:
            cost += MISSED_DEADLINE_COST_MS
        if now_ms + first_response_ms > demand.target_ms:
            cost += first_response_ms
        if now_ms < self.speeds.cold_until_ms:
            cost += COLD_COST_MS
        if (
            self.unreachable_report_count
            and now_ms - self.last_response_ms > OWN_RESPONSE_VALID_MS
        ):
            cost += UNREACHABLE_COST_MS
        if not self.error_share:
            return cost
        reliability = max(0.1, 1 - self.error_share)
        return cost / (reliability * reliability)

    def meets_deadline(self, demand: Demand, now_ms: float) -> bool:
        """Return whether the whole response ends in time by its cautious length."""
        total_ms = self.response_ms(demand, demand.cautious_output_tokens)
        return now_ms + total_ms <= demand.deadline_ms

    def response_ms(self, demand: Demand, output_tokens: int) -> float:
        """Return the expected time of a response of this length."""
        first_response_ms = self.first_response_ms(demand)
        if not self.is_model:
            return first_response_ms
        events = output_tokens * self.events_per_token
        return first_response_ms + events * self.speeds.cautious_event_ms

    def begin(self, demand: Demand, now_ms: float) -> RunningRequest:
        """Add a request that is sent to the server to its load."""
        request = RunningRequest(demand, now_ms)
        self.own_requests.append(request)
        if self._shared_limit is not None:
            self._shared_limit.use(1)
        self._update_slots()
        return request

    def end(self, request: RunningRequest) -> None:
        """Remove a request from the load."""
        self.own_requests.remove(request)
        self._update_slots()

    def is_recently_unreachable(self, now_ms: float) -> bool:
        """Return whether to report the server to peers as unreachable."""
        return (
            self.consecutive_failures > 0
            and now_ms - self._last_failure_ms < UNREACHABLE_REPORT_MS
        )

    def on_success(self, now_ms: float) -> None:
        """Reset failures and ejection after a successful response."""
        self.consecutive_failures = 0
        self.ejected_until_ms = 0
        self.last_response_ms = now_ms
        self.error_share -= ERROR_SMOOTHING * self.error_share

    def on_error(self) -> None:
        """Raise the error share after a response that reports a failure."""
        self.error_share += ERROR_SMOOTHING * (1 - self.error_share)

    def on_unreachable(self, now_ms: float) -> None:
        """Eject the server after a connection failed or stopped responding.

        The ejection time doubles with each consecutive failure, up to a limit.
        """
        self.consecutive_failures += 1
        self._last_failure_ms = now_ms
        self.on_error()
        delay_ms = FIRST_EJECTION_MS * 2 ** min(self.consecutive_failures - 1, 5)
        self.ejected_until_ms = now_ms + min(delay_ms, MAX_EJECTION_MS)

    def _update_slots(self) -> None:
        self.running = len(self.own_requests) + self.peer_running
        self.free_slots = max(
            0, self.server.slots - self.running - self._reserved_slots
        )
        if self.is_limited:
            allowed = max(0, math.ceil(self._shared_limit.available))
            self.free_slots = min(self.free_slots, allowed)
