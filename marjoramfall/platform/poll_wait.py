"""Choose how long a long poll of the store waits for a change."""

# A long poll that the store does not answer during an outage is detected only by
# its timeout. The timeout has to expire before the time at which changes must be in
# force again after the outage.
SHORT_WAIT_MS = 2000
# Below the store's own limit of 30 s, and long because every call loads the store.
LONG_WAIT_MS = 15_000
# How many entries poll with a short wait. They detect the end of an outage early
# and the other entries learn it from them.
SHORT_POLL_ENTRIES = 4


def choose_wait_ms(rank: int) -> int:
    """Return the wait of the next poll of the entry with a rank, 0 for the first."""
    return SHORT_WAIT_MS if rank < SHORT_POLL_ENTRIES else LONG_WAIT_MS
