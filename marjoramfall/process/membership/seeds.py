"""Remember addresses without a known member, to be probed now and then."""

MAX_SEEDS = 4096
# Longer than regions lose contact, so that a partition heals without the list.
SEED_TTL_MS = 600_000


class SeedList:
    """Give out addresses in turn, those named by other members first."""

    def __init__(self) -> None:
        self._expires: dict[str, float] = {}
        self._urgent: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._expires)

    def add(self, address: str, now_ms: float, *, is_urgent: bool = False) -> None:
        """Add an address or keep it for longer."""
        if address in self._expires or len(self._expires) < MAX_SEEDS:
            self._expires[address] = now_ms + SEED_TTL_MS
            if is_urgent:
                self._urgent[address] = None

    def remove(self, address: str) -> None:
        """Drop an address whose member is known."""
        self._expires.pop(address, None)
        self._urgent.pop(address, None)

    def take(self, limit: int, now_ms: float, *, fill_limit: bool) -> list[str]:
        """Return up to `limit` addresses; only one usual one without hurry."""
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
