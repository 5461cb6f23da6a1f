"""Learn how long the callers of a route and team usually wait."""

# The longest time of late fades by this part with each request, so that callers who
# have come to wait less do not all look as if they returned.
RETENTION = 0.98
# Bounds the memory that callers of many teams take.
MAX_KEYS = 4096


class UsualTimeouts:
    """Keep the longest time that callers have named lately, by route and team."""

    def __init__(self) -> None:
        self._longest_ms_by_key: dict[tuple[str, str], float] = {}

    def observe(self, route: str, team: str, timeout_ms: float) -> float:
        """Record the time that a caller waits and return the usual one."""
        key = (route, team)
        faded_ms = RETENTION * self._longest_ms_by_key.pop(key, 0.0)
        longest_ms = max(timeout_ms, faded_ms)
        self._longest_ms_by_key[key] = longest_ms
        if len(self._longest_ms_by_key) > MAX_KEYS:
            self._longest_ms_by_key.pop(next(iter(self._longest_ms_by_key)))
        return longest_ms
