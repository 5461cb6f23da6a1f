"""Hold what operators order on where requests may go."""

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.entry_settings import GatewaySettings
from marjoramfall.gateway.evacuations import Evacuations
from marjoramfall.gateway.homes import Homes
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.registry import Registry
from marjoramfall.gateway.servers.evacuation_rule import EvacuationRule
from marjoramfall.gateway.servers.home_rule import HomeRule
from marjoramfall.gateway.servers.placement_rules import PlacementRules


class PlacementOrders:
    """Keep homes and evacuations, and the rules that follow from them."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._data_centres = settings.region_by_data_centre.keys()
        self.homes = Homes(
            settings.region_by_data_centre, data_centre=settings.data_centre
        )
        self.evacuations = Evacuations(clock)
        self.rules = PlacementRules(
            (HomeRule(self.homes), EvacuationRule(self.evacuations))
        )

    def warn_of_unknown_data_centres(self) -> None:
        """Log evacuated data centres that the settings do not name."""
        unknown = self.evacuations.data_centres.difference(self._data_centres)
        if self._data_centres and unknown:
            logger.bind(
                unknown=sorted(unknown), known=sorted(self._data_centres)
            ).warning('unknown data centre evacuated')

    def add_gauges(self, metrics: GatewayMetrics, registry: Registry) -> None:
        """Show operators what is evacuated."""
        metrics.add_gauge(
            'marjoramfall_gateway_evacuated_data_centres',
            'Data centres whose servers get nothing.',
            lambda: len(self.evacuations.data_centres),
        )
        metrics.add_gauge(
            'marjoramfall_gateway_evacuated_servers',
            'Registered servers in evacuated data centres.',
            lambda: sum(
                self.evacuations.includes(server.data_centre)
                for server in registry.servers
            ),
        )
