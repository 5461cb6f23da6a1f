"""Keep addresses without a known member, which are probed in turn."""

MAX_SEEDS = 4096
# Longer than network partitions between regions last, so that entries reconnect
# afterwards without the VM list of the platform.
SEED_TTL_MS = 600_000


class SeedList:
    """Return addresses in rotation, urgent ones (from member updates) first."""

    def __init__(self) -> None:
        self._expiry_by_address: dict[str, float] = {}
        self._urgent: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._expiry_by_address)

    def add(self, address: str, now_ms: float, *, is_urgent: bool = False) -> None:
        """Add an address or extend its expiry; an urgent one is returned next."""
        if (
            address in self._expiry_by_address
            or len(self._expiry_by_address) < MAX_SEEDS
        ):
            self._expiry_by_address[address] = now_ms + SEED_TTL_MS
            if is_urgent:
                self._urgent[address] = None

    def remove(self, address: str) -> None:
        """Drop an address whose member is known."""
        self._expiry_by_address.pop(address, None)
        self._urgent.pop(address, None)

    def take(self, limit: int, now_ms: float, *, fill_limit: bool) -> list[str]:
        """Return up to `limit` addresses, the urgent ones first.

        Of the others, at most one is returned unless `fill_limit` is set.
        """
        chosen = list(self._urgent)[:limit]
        for address in chosen:
            self._urgent.pop(address)
        rotation_count = limit - len(chosen)
        if not fill_limit:
            rotation_count = min(rotation_count, 1)
        for address in list(self._expiry_by_address)[:rotation_count]:
            expires_ms = self._expiry_by_address.pop(address)
            if now_ms < expires_ms:
                self._expiry_by_address[address] = expires_ms
                chosen.append(address)
        return chosen
