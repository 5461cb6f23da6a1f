"""Define how a request leaves a server that has fallen silent."""

from abc import ABC, abstractmethod


class Failover(ABC):
    """Find another place for a request while its server may still go on with it."""

    @property
    @abstractmethod
    def is_allowed(self) -> bool:
        """Return whether the request may be sent once more at all."""

    @abstractmethod
    def is_possible(self) -> bool:
        """Return whether anything but its server could serve the request."""

    @abstractmethod
    def reserve(self) -> bool:
        """Look for another place, and return whether one is reserved.

        The retry budget has allowed the move then, so that the exchange may end.
        """

    @abstractmethod
    def cancel(self) -> None:
        """Look no further, and free a place that is reserved."""
