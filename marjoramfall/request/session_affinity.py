"""Track which backend server caches the prompt prefix of a session."""

from marjoramfall.request.recent_map import RecentMap

MAX_HASHES = 131_072
NO_AFFINITY = ''


class SessionAffinity:
    """Find the only server that computed the longest known prefix.

    Prefixes that several servers computed, such as system prompts, create no
    affinity; otherwise one popular prompt would route all its callers to one
    server.
    """

    def __init__(self) -> None:
        self._servers_by_hash = RecentMap(MAX_HASHES)

    def record(self, prefix_hashes: tuple[int, ...], server_id: str) -> None:
        """Record that a server is going to compute a prompt."""
        servers = self._servers_by_hash
        for prefix_hash in reversed(prefix_hashes):
            known = servers.get(prefix_hash)
            if known == server_id or known == NO_AFFINITY:
                # Shorter prefixes were recorded together with this one.
                break
            servers.put(prefix_hash, server_id if known is None else NO_AFFINITY)

    def server_of(self, prefix_hashes: tuple[int, ...]) -> str:
        """Return the server of the longest known prefix, or `NO_AFFINITY`."""
        # Each turn adds little to the prompt of its session, so the longest known
        # prefix is near the end.
        for prefix_hash in reversed(prefix_hashes):
            server_id = self._servers_by_hash.get(prefix_hash)
            if server_id is not None:
                return server_id
        return NO_AFFINITY
