"""Find places that no waiting request needs, and take them out of turn."""

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.service_queue import Assignment, ServiceQueue


def spare_loads(queue: ServiceQueue, demand: Demand, now_ms: float) -> list[ServerLoad]:
    """Return the usable servers with free slots that no waiting request needs."""
    if queue.waiters:
        return []
    loads = [
        load
        for load in queue.usable_loads(demand, now_ms)
        if load.free_slots
        and not load.is_ejected(now_ms)
        and now_ms >= load.speeds.cold_until_ms
    ]
    free_slots = sum(load.free_slots for load in loads)
    return loads if free_slots > queue.peers.listed_count else []


def reserve(load: ServerLoad, demand: Demand, now_ms: float) -> Assignment:
    """Take a place at a server out of turn."""
    return Assignment(load, load.begin(demand, now_ms))
