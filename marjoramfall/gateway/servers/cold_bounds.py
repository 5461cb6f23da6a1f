"""Bound what one entry sends to a cold server."""

from dataclasses import dataclass

from marjoramfall.clock import MS_PER_SECOND

# For this long, views of which entries are live may differ: as many may each take
# themselves for the one that uses a server.
MAX_CONCURRENT_USERS = 3
# Where the bound leaves no room for that many.
MIN_RATE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Hold how far all entries together may exceed the rate of a cold server."""

    over: float = 1
    slack: float = 0

    def interval_ms(self, rate_per_s: float) -> float:
        """Return the least time between two requests of one entry.

        In any second, several entries that keep to it stay within the bound.
        """
        most = (rate_per_s * self.over + self.slack) / MAX_CONCURRENT_USERS
        rate = max(MIN_RATE_SHARE * rate_per_s, min(rate_per_s, most - 1))
        return MS_PER_SECOND / rate
