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


class PlacementRules:
    """Hold the rules of an entry in the order in which they are asked."""

    def __init__(self, rules: Iterable[PlacementRule] = ()) -> None:
        self._rules = tuple(rules)

    def allowed(
        self, loads: list[ServerLoad], demand: Demand, now_ms: float
    ) -> list[ServerLoad]:
        """Return the servers that no rule excludes."""
        for rule in self._rules:
            if rule.is_active:
                loads = [
                    load for load in loads if not rule.excludes(load, demand, now_ms)
                ]
        return loads

    def excluded_by(
        self, load: ServerLoad, demand: Demand, now_ms: float
    ) -> str | None:
        """Return the name of the first rule that excludes a server, None if none."""
        for rule in self._rules:
            if rule.is_active and rule.excludes(load, demand, now_ms):
                return rule.name
        return None

    def allows_any(
        self, loads: Iterable[ServerLoad], demand: Demand, now_ms: float
    ) -> bool:
        """Return whether a server that the demand allows is excluded by no rule."""
        found = [
            load
            for load in loads
            if demand.allows_return(load.server)
            or (not load.is_leaving and demand.allows(load.server))
        ]
        return bool(self.allowed(found, demand, now_ms))

    def refusal(
        self, loads: Iterable[ServerLoad], demand: Demand, now_ms: float
    ) -> str:
        """Return why no server may get a request, with the rules that exclude any."""
        staying = [load for load in loads if not load.is_leaving]
        found = {self.excluded_by(load, demand, now_ms) for load in staying}
        return ': '.join(('no server', *sorted(filter(None, found))))

    def revoked_by(self, load: ServerLoad, demand: Demand, now_ms: float) -> str | None:
        """Return the name of the rule that revokes a place, None if none does."""
        for rule in self._rules:
            if rule.is_active and rule.revokes(load, demand, now_ms):
                return rule.name
        return None
