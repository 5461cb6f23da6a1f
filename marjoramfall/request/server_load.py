"""Count the work that is granted to each backend server."""

from dataclasses import dataclass

from marjoramfall.request.events import Grant, ServerInfo, WorkEstimate


@dataclass(slots=True, kw_only=True)
class ActiveGrant:
    """Hold the credits of one granted request until it finishes."""

    grant: Grant
    work: WorkEstimate
    started: bool = False


class ServerLoad:
    """Count the requests and tokens inside one backend server."""

    def __init__(self, info: ServerInfo) -> None:
        self.info = info
        self.running = 0
        self.tokens = 0

    @property
    def has_room(self) -> bool:
        """Return whether one more request may be granted."""
        return not self.info.leaving and self.running < self.info.max_concurrency

    def take(self, work: WorkEstimate) -> None:
        """Take the credits of a request."""
        self.running += 1
        self.tokens += work.total_tokens

    def give_back(self, work: WorkEstimate) -> None:
        """Return the credits of a request."""
        self.running -= 1
        self.tokens -= work.total_tokens
