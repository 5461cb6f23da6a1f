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
