"""Listen for callers, and for peers that delegate their requests."""

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.body_budget import BodyBudget, max_held_bytes
from marjoramfall.gateway.callers.caller_listener import CallerListener
from marjoramfall.gateway.delegation.requests import DelegatedRequests
from marjoramfall.gateway.entry_settings import GatewaySettings
from marjoramfall.gateway.gateway import Gateway


class EntryListeners:
    """Serve requests at both addresses and end their connections together."""

    def __init__(
        self, settings: GatewaySettings, gateway: Gateway, clock: Clock
    ) -> None:
        bodies = BodyBudget(max_held_bytes(settings.memory_mb))
        self.callers = CallerListener(
            settings.front_address, gateway, clock, bodies=bodies
        )
        self._peers = CallerListener(
            settings.delegation_address,
            DelegatedRequests(gateway),
            clock,
            bodies=bodies,
        )

    @property
    def has_connections(self) -> bool:
        """Return whether any connection is open."""
        return bool(self.callers.connections or self._peers.connections)

    def start(self) -> None:
        """Start listening; raises `CannotListenError`."""
        self.callers.start()
        self._peers.start()

    def accept_pending(self) -> bool:
        """Serve the connections that wait in a backlog; return whether any did."""
        has_callers = self.callers.accept_pending()
        return self._peers.accept_pending() or has_callers

    def close_idle(self) -> None:
        """Close the connections on which no request is read or answered."""
        self.callers.close_idle()
        self._peers.close_idle()

    def end_work(self) -> None:
        """Let all requests be answered at once that are still being served."""
        self.callers.end_work()
        self._peers.end_work()

    def close(self) -> None:
        """Serve what waits in the backlogs and stop listening."""
        self.callers.close()
        self._peers.close()
