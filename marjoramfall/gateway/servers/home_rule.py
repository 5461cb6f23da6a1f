"""Send requests whose route or team has homes only to servers there."""

from marjoramfall.gateway.homes import Homes
from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.placement_rules import PlacementRule
from marjoramfall.gateway.servers.server_load import ServerLoad


class HomeRule(PlacementRule):
    """Exclude the servers in other regions than the homes of a request."""

    name = 'no home'

    def __init__(self, homes: Homes) -> None:
        self._homes = homes

    @property
    def is_active(self) -> bool:
        """Return whether any route or team has homes."""
        return self._homes.are_used

    def excludes(self, load: ServerLoad, demand: Demand, now_ms: float) -> bool:
        """Return whether the server is in no home of the request."""
        regions = demand.home_regions
        return bool(regions) and not self._homes.is_in(load.server.data_centre, regions)
