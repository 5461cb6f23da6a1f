"""Tell the regions to which routes and teams confine their requests."""

from collections.abc import Iterator, Mapping

from loguru import logger

from marjoramfall.gateway.model import Configuration, Route, Team

# Binds a request to no region at all, as no region has this name.
NO_REGION = frozenset(('',))
# Bounds the log line of a configuration with many wrong names.
MAX_LOGGED_NAMES = 8


class Homes:
    """Combine the homes of routes and teams, and know the region of each data centre.

    Names of regions that do not exist are left aside. A data centre whose region is
    not known is no home of any request.
    """

    def __init__(
        self, region_by_data_centre: Mapping[str, str], *, data_centre: str
    ) -> None:
        self._region_by_data_centre = region_by_data_centre
        self._regions = frozenset(region_by_data_centre.values())
        self._own_region = self._region_by_data_centre.get(data_centre)
        self._logged: list[str] = []
        self.are_used = False

    def use_config(self, config: Configuration) -> None:
        """Note whether a configuration has homes, and log wrong names once."""
        named = dict(_named_homes(config))
        self.are_used = bool(named)
        unknown = sorted(
            f'{owner}: {region}'
            for owner, regions in named.items()
            for region in regions - self._regions
        )
        if unknown and unknown != self._logged:
            shown = unknown[:MAX_LOGGED_NAMES]
            logger.bind(
                version=config.version, unknown=shown, count=len(unknown)
            ).warning('unknown home regions ignored')
        self._logged = unknown

    def find(self, route: Route, team: Team | None) -> frozenset[str]:
        """Return the homes of a request; empty if it has none."""
        of_route = route.home_regions & self._regions
        of_team = team.home_regions & self._regions if team else frozenset()
        if of_route and of_team:
            return of_route & of_team or NO_REGION
        return of_route or of_team

    def is_in(self, data_centre: str, regions: frozenset[str]) -> bool:
        """Return whether a data centre is in one of the regions."""
        return self._region_by_data_centre.get(data_centre) in regions

    def is_near(self, data_centre: str) -> bool:
        """Return whether a data centre is in the region of this entry."""
        region = self._region_by_data_centre.get(data_centre)
        return region is not None and region == self._own_region


def _named_homes(config: Configuration) -> Iterator[tuple[str, frozenset[str]]]:
    for routes in config.routes_by_host.values():
        for route in routes:
            if route.home_regions:
                yield f'route {route.name}', route.home_regions
    for team in config.team_by_name.values():
        if team.home_regions:
            yield f'team {team.name}', team.home_regions
