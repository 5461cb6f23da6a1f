"""Ask in one order whether a server may get a request at all."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad


class PlacementRule(ABC):
    """Exclude servers that must not get a request, whatever that costs."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return what logs and operators call the rule."""

    @property
    @abstractmethod
    def is_active(self) -> bool:
        """Return whether the rule could exclude any server now."""

    @abstractmethod
    def excludes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the server must not get the request."""

    def revokes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether a place that is assigned must not be used any more."""
        return False

    def concerns(self, demand: Demand) -> bool:
        """Return whether the rule could exclude any server for a request."""
        return self.is_active

    def passes(self, load: ServerLoad, demand: Demand) -> bool:
        """Return whether an excluded server may get the request a little later."""
        return False

    def on_assigned(  # noqa: B027
        self, load: ServerLoad, demand: Demand, now_ms: float
    ) -> None:
        """Count a request that goes to a server; most rules count none."""


def allowed_by_demand(loads: Iterable[ServerLoad], demand: Demand) -> list[ServerLoad]:
    """Return the servers that a request itself does not exclude."""
    return [
        load
        for load in loads
        if demand.allows_return(load.server)
        or (not load.is_leaving and demand.allows(load.server))
    ]


class PlacementRules:
    """Hold the rules of an entry in the order in which they are asked."""

    def __init__(self, rules: Iterable[PlacementRule] = ()) -> None:
        self._rules = tuple(rules)

    def extended(self, *rules: PlacementRule) -> 'PlacementRules':
        """Return these rules and others that are asked after them."""
        return PlacementRules((*self._rules, *rules))

    def allowed(
        self, loads: list[ServerLoad], demand: Demand, now_ms: float
    ) -> list[ServerLoad]:
        """Return the servers that no rule excludes."""
        for rule in self._rules:
            if rule.concerns(demand):
                loads = [
                    load for load in loads if not rule.excludes(load, demand, now_ms)
                ]
        return loads

    def on_assigned(self, load: ServerLoad, demand: Demand, now_ms: float) -> None:
        """Let the rules count a request that goes to a server."""
        for rule in self._rules:
            if rule.is_active:
                rule.on_assigned(load, demand, now_ms)

    def refusal(
        self, loads: list[ServerLoad], demand: Demand, now_ms: float
    ) -> str | None:
        """Return why none of the servers will take a request, None if one may soon."""
        names: set[str] = set()
        for load in loads:
            excluding = self._excluding(load, demand, now_ms)
            if all(rule.passes(load, demand) for rule in excluding):
                return None
            names.add(excluding[0].name)
        return f'no server: {", ".join(sorted(names))}' if names else 'no server'

    def excluded_by(
        self, load: ServerLoad, demand: Demand, now_ms: float
    ) -> str | None:
        """Return the name of the first rule that excludes a server, None if none."""
        return next((rule.name for rule in self._excluding(load, demand, now_ms)), None)

    def allows_any(
        self, loads: Iterable[ServerLoad], demand: Demand, now_ms: float
    ) -> bool:
        """Return whether a server that the demand allows is excluded by no rule."""
        return bool(self.allowed(allowed_by_demand(loads, demand), demand, now_ms))

    def revoked_by(self, load: ServerLoad, demand: Demand, now_ms: float) -> str | None:
        """Return the name of the rule that revokes a place, None if none does."""
        for rule in self._rules:
            if rule.is_active and rule.revokes(load, demand, now_ms):
                return rule.name
        return None

    def _excluding(
        self, load: ServerLoad, demand: Demand, now_ms: float
    ) -> list[PlacementRule]:
        return [
            rule
            for rule in self._rules
            if rule.concerns(demand) and rule.excludes(load, demand, now_ms)
        ]
