"""Send nothing to the servers of evacuated data centres."""

from marjoramfall.gateway.evacuations import Evacuations
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.placement_rules import PlacementRule
from marjoramfall.gateway.servers.server_load import ServerLoad


class EvacuationRule(PlacementRule):
    """Exclude the servers of a data centre from its evacuation to its return."""

    name = 'data centre evacuated'

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    @property
    def is_active(self) -> bool:
        """Return whether any data centre is evacuated."""
        return self._evacuations.is_any

    def excludes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the data centre of the server is evacuated."""
        return self._evacuations.includes(load.server.data_centre)

    def revokes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the data centre was evacuated after the assignment."""
        return self.excludes(load, demand, now_ms)
