"""Define why a request gets no place at a server."""


class OverloadError(Exception):
    """Raised when no slot is expected to become free in time."""

    def __init__(
        self, reason: str, *, retry_after_ms: float, expected_wait_ms: float = 0
    ) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms
        self.expected_wait_ms = expected_wait_ms


class NoServerError(OverloadError):
    """Raised when this entry knows no server that may get the request."""


class PathLostError(OverloadError):
    """Raised when this entry no longer reaches the servers of the service."""
