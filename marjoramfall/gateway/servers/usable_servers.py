"""Choose the servers that may get a request after failures."""

from collections.abc import Iterable

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad


def healthy_loads(loads: list[ServerLoad], now_ms: float) -> list[ServerLoad]:
    """Return the servers that are not ejected.

    If all are ejected, return those that run no request of this entry, so that
    a single request probes each.
    """
    healthy = [
        load
        for load in loads
        if not load.ejected_until_ms or not load.is_ejected(now_ms)
    ]
    return healthy or [load for load in loads if not load.own_requests]


def returnable_loads(
    loads: Iterable[ServerLoad], demand: Demand, now_ms: float
) -> list[ServerLoad]:
    """Return the servers that have failed a request and may get it again.

    The one that failed it last is used if there is no other.
    """
    allowed = [
        load
        for load in loads
        if demand.allows_return(load.server) and not load.pause_ms(now_ms)
    ]
    staying = [load for load in allowed if not load.is_leaving]
    usable = healthy_loads(staying, now_ms)
    others = [
        load for load in usable if load.server.server_id != demand.last_failed_server_id
    ]
    return others or usable
