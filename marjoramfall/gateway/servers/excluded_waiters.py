"""Reject waiting requests that the rules of placement exclude everywhere."""

from marjoramfall.gateway.servers.overload import NoServerError
from marjoramfall.gateway.servers.placement_rules import (
    PlacementRules,
    allowed_by_demand,
)
from marjoramfall.gateway.servers.service_queue import ServiceQueue


def reject_excluded(queue: ServiceQueue, rules: PlacementRules, now_ms: float) -> None:
    """Reject the requests of a queue that no server may get after a change of rules.

    Those that a rule excludes for a short time only go on waiting.
    """
    for waiter in tuple(queue.waiters):
        loads = allowed_by_demand(queue.load_by_id.values(), waiter.demand)
        if rules.allows_any(loads, waiter.demand, now_ms):
            continue
        reason = rules.refusal(loads, waiter.demand, now_ms)
        if reason is not None:
            queue.withdraw(waiter)
            waiter.on_reject(NoServerError(reason, retry_after_ms=0))
