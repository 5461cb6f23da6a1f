"""Remember which backend server holds the prompt prefix of a session."""

from collections import OrderedDict

MAX_HASHES = 131_072
SHARED = ''


class SessionHomes:
    """Find the only server that computed the longest known prefix.

    Prefixes that several servers computed, such as system prompts, bind no
    session; otherwise one popular prompt would draw all its callers to one
    server.
    """

    def __init__(self) -> None:
        self._servers_by_hash: OrderedDict[int, str] = OrderedDict()

    def record(self, prefix_hashes: tuple[int, ...], server_id: str) -> None:
        """Note that a server is going to compute a prompt."""
        servers = self._servers_by_hash
        for prefix_hash in prefix_hashes:
            known = servers.pop(prefix_hash, server_id)
            servers[prefix_hash] = known if known == server_id else SHARED
        while len(servers) > MAX_HASHES:
            servers.popitem(last=False)

    def home_of(self, prefix_hashes: tuple[int, ...]) -> str:
        """Return the server of the longest known prefix, or `SHARED`."""
        low, high = 0, len(prefix_hashes)
        while low < high:
            middle = (low + high) // 2
            if prefix_hashes[middle] in self._servers_by_hash:
                low = middle + 1
            else:
                high = middle
        return self._servers_by_hash[prefix_hashes[low - 1]] if low else SHARED
