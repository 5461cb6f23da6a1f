"""Report the load of this entry to its peers."""

from collections import Counter
from collections.abc import Callable, Mapping

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.peer_state import (
    ServerSpeed,
    ServerUse,
    WaitingCall,
    WaitingWork,
    waiting_sort_key,
)
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.service_queue import ServiceQueue

# Bounds the size of the datagram; requests beyond it wait behind these anyway.
# In a large system fewer suffice, as many entries compete for few free slots;
# bandwidth is also scarce there.
MAX_WAITING_REPORTED = 60
LARGE_SYSTEM_MAX_WAITING_REPORTED = 6


class OwnLoad:
    """Collect the load of this entry for a datagram to its peers."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTable,
        load_by_id: Mapping[str, ServerLoad],
        queue_by_service: Mapping[str, ServiceQueue],
        *,
        is_path_lost: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._load_by_id = load_by_id
        self._queue_by_service = queue_by_service
        self._is_path_lost = is_path_lost

    def uses(self) -> list[ServerUse]:
        """Return the running requests and pending prefill tokens by server."""
        return [
            ServerUse(
                server_id,
                len(load.own_requests),
                sum(
                    request.demand.prompt_tokens
                    for request in load.own_requests
                    if request.is_prefilling
                ),
                sum(request.demand.held_tokens for request in load.own_requests),
            )
            for server_id, load in self._load_by_id.items()
            if load.own_requests
        ]

    def unreachable_server_ids(self) -> list[str]:
        """Return the servers that this entry recently failed to reach.

        An entry that has lost the path to all of a service knows nothing of them.
        """
        now_ms = self._clock.monotonic_ms()
        return [
            server_id
            for server_id, load in self._load_by_id.items()
            if load.is_recently_unreachable(now_ms)
            and not self._is_path_lost(load.server.service_id)
        ]

    def speeds(self) -> list[ServerSpeed]:
        """Return the speeds that this entry measured, without those of peers."""
        return [
            ServerSpeed(
                server_id,
                round(load.speeds.own.event_ms, 1),
                round(load.speeds.own.token_us, 1),
                load.speeds.own.samples,
            )
            for server_id, load in self._load_by_id.items()
            if load.speeds.own.samples
        ]

    def waiting(self) -> list[WaitingCall]:
        """Return the waiting requests, at most as many as a datagram may hold."""
        return self._waiting_in_order()[: self._max_listed]

    def unlisted_work(self) -> list[WaitingWork]:
        """Return the sums of those that wait behind, by service and rank."""
        unlisted = self._waiting_in_order()[self._max_listed :]
        counts = Counter((call.service_id, call.rank) for call in unlisted)
        slot_ms: Counter[tuple[str, float]] = Counter()
        for call in unlisted:
            slot_ms[call.service_id, call.rank] += call.expected_ms
        return [WaitingWork(*key, counts[key], slot_ms[key]) for key in counts]

    @property
    def _max_listed(self) -> int:
        if self._peers.is_large:
            return LARGE_SYSTEM_MAX_WAITING_REPORTED
        return MAX_WAITING_REPORTED

    def _waiting_in_order(self) -> list[WaitingCall]:
        now_ms = self._clock.monotonic_ms()
        calls = [
            WaitingCall(
                service_id,
                waiter.demand.rank(now_ms),
                int(now_ms - waiter.demand.turn_ms),
                int(waiter.slot_ms or queue.estimate.service_time_ms),
            )
            for service_id, queue in self._queue_by_service.items()
            for waiter in queue.waiters
        ]
        return sorted(calls, key=waiting_sort_key)
