"""Keep the requests that a model server holds within its memory."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.model import BackendServer, Service
from marjoramfall.gateway.peers.peer_state import ServerUse
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.placement_rules import PlacementRule
from marjoramfall.gateway.servers.server_load import ServerLoad

# The rest is left for requests of others that are not known here yet.
USABLE_SHARE = 0.8
# Of a server that another group uses first, whose requests are known late.
OTHER_GROUP_SHARE = 0.5
# Servers briefly hold more requests than slots, as entries learn of each other late.
OVERSHOOT = 2
INITIAL_MEAN_TOKENS = 4096.0
MEAN_SMOOTHING = 0.05
# The largest request of late is forgotten over some hundred requests.
LARGEST_RETENTION = 0.99


class ServerMemory:
    """Sum up the tokens that the requests of all entries hold at each server.

    A request holds its prompt and as much output as it may generate, from when it is
    sent until it ends.
    """

    def __init__(self) -> None:
        self._tokens_by_service: dict[str, int] = {}
        self._held_by_source: dict[str, dict[str, int]] = {}
        self._peer_held_by_id: dict[str, int] = defaultdict(int)
        self._mean_tokens = INITIAL_MEAN_TOKENS
        self._largest_tokens = 0
        self._most_slots = 1
        # The servers that the group of this entry uses first.
        self.owned_ids: frozenset[str] = frozenset()
        # Counted for operators.
        self.exclusion_count = 0

    @property
    def is_known(self) -> bool:
        """Return whether any service states the memory of its servers."""
        return bool(self._tokens_by_service)

    def use_services(self, service_by_id: Mapping[str, Service]) -> None:
        """Replace the services, which state the memory of their servers."""
        self._tokens_by_service = {
            service_id: service.memory_tokens
            for service_id, service in service_by_id.items()
            if service.memory_tokens
        }

    def use_servers(self, servers: Iterable[BackendServer]) -> None:
        """Note how many requests a server may run at once."""
        slots = [
            server.slots
            for server in servers
            if server.service_id in self._tokens_by_service
        ]
        self._most_slots = max(slots, default=1)

    def replace(self, source: str, uses: Iterable[ServerUse]) -> None:
        """Replace what a peer or group holds; the mean counts where it does not say."""
        self._remove(source)
        held_by_id: dict[str, int] = {}
        for use in uses:
            held = use.held_tokens
            if held is None:
                held = int(use.running * self._mean_tokens)
            held_by_id[use.server_id] = held
            self._peer_held_by_id[use.server_id] += held
            largest = held // max(1, use.running)
            self._largest_tokens = max(self._largest_tokens, largest)
        self._held_by_source[source] = held_by_id

    def keep_only(self, sources: set[str]) -> None:
        """Forget what all other peers and groups hold."""
        for source in self._held_by_source.keys() - sources:
            self._remove(source)

    def memory_tokens(self, load: ServerLoad) -> int:
        """Return the memory of a server, 0 if it is not known."""
        return self._tokens_by_service.get(load.server.service_id, 0)

    def held_tokens(self, load: ServerLoad) -> int:
        """Return what the requests of all entries hold at a server, as known here."""
        own = sum(request.demand.held_tokens for request in load.own_requests)
        return own + self._peer_held_by_id.get(load.server.server_id, 0)

    def is_scarce_for(self, demand: Demand) -> bool:
        """Return whether so many requests of the largest size could fill a server."""
        memory = self._tokens_by_service.get(demand.service_id)
        if not memory:
            return False
        largest = max(self._largest_tokens, demand.held_tokens)
        most = OVERSHOOT * self._most_slots * largest
        return most > OTHER_GROUP_SHARE * memory

    def on_assigned(self, demand: Demand) -> None:
        """Learn what a request holds on average."""
        self._mean_tokens += MEAN_SMOOTHING * (demand.held_tokens - self._mean_tokens)
        faded = LARGEST_RETENTION * self._largest_tokens
        self._largest_tokens = max(faded, demand.held_tokens)

    def add_gauges(self, metrics: GatewayMetrics) -> None:
        """Let operators see whether memory binds."""
        metrics.add_gauge(
            'marjoramfall_gateway_memory_exclusions',
            'Times that a server was left out as its memory had no room.',
            lambda: self.exclusion_count,
        )

    def _remove(self, source: str) -> None:
        for server_id, held in self._held_by_source.pop(source, {}).items():
            left = self._peer_held_by_id.pop(server_id, 0) - held
            if left:
                self._peer_held_by_id[server_id] = left


class MemoryRule(PlacementRule):
    """Exclude servers whose memory has no room for a request."""

    def __init__(self, memory: ServerMemory) -> None:
        self._memory = memory

    @property
    def name(self) -> str:
        """Return what logs and operators call the rule."""
        return 'memory'

    @property
    def is_active(self) -> bool:
        """Return whether any service states its memory."""
        return self._memory.is_known

    def concerns(self, demand: Demand) -> bool:
        """Return whether requests of the known sizes could fill a server."""
        return self._memory.is_scarce_for(demand)

    def excludes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the server could run out of memory with the request."""
        memory = self._memory.memory_tokens(load)
        if not memory:
            return False
        held = self._memory.held_tokens(load)
        is_owned = load.server.server_id in self._memory.owned_ids
        usable = memory * (USABLE_SHARE if is_owned else OTHER_GROUP_SHARE)
        if not held:
            usable = memory
        is_excluded = held + demand.held_tokens > usable
        self._memory.exclusion_count += is_excluded
        return is_excluded

    def passes(self, load: ServerLoad, demand: Demand) -> bool:
        """Return whether the request fits into the server once that is empty."""
        return demand.held_tokens <= self._memory.memory_tokens(load)

    def on_assigned(self, load: ServerLoad, demand: Demand, now_ms: float) -> None:
        """Learn the size of a request."""
        self._memory.on_assigned(demand)
