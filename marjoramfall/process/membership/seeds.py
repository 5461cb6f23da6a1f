"""Keep addresses without a known member, which are probed in turn."""

MAX_SEEDS = 4096
# Longer than regions lose contact with each other, so that a partition heals
# without the VM list of the platform.
SEED_TTL_MS = 600_000


class SeedList:
    """Return addresses in rotation, those from member updates first."""

    def __init__(self) -> None:
        self._expires: dict[str, float] = {}
        self._urgent: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._expires)

    def add(self, address: str, now_ms: float, *, is_urgent: bool = False) -> None:
        """Add an address or extend its expiry."""
        if address in self._expires or len(self._expires) < MAX_SEEDS:
            self._expires[address] = now_ms + SEED_TTL_MS
            if is_urgent:
                self._urgent[address] = None

    def remove(self, address: str) -> None:
        """Drop an address whose member is known."""
        self._expires.pop(address, None)
        self._urgent.pop(address, None)

    def take(self, limit: int, now_ms: float, *, fill_limit: bool) -> list[str]:
        """Return up to `limit` addresses; only one regular unless `fill_limit`."""
        chosen = list(self._urgent)[:limit]
        for address in chosen:
            self._urgent.pop(address)
        regular_count = limit - len(chosen)
        if not fill_limit:
            regular_count = min(regular_count, 1)
        for address in list(self._expires)[:regular_count]:
            expires_ms = self._expires.pop(address)
            if now_ms < expires_ms:
                self._expires[address] = expires_ms
                chosen.append(address)
        return chosen
