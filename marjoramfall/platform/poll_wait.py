"""Choose how long a long poll of the store waits for a change."""

import random

# A long poll that the store does not answer during an outage is detected only by
# its timeout. The timeout has to expire before the time at which changes must be in
# force again after the outage.
SHORT_WAIT_MS = 2000
# Below the store's own limit of 30 s, and long because every call loads the store.
LONG_WAIT_MS = 15_000
# The mean number of entries with a short poll. They detect the end of an outage
# early and the other entries learn it from them.
SHORT_POLL_ENTRIES = 10


def choose_wait_ms(entry_count: int) -> int:
    """Return the random wait of the next poll in a system of `entry_count` entries."""
    if random.random() * entry_count < SHORT_POLL_ENTRIES:
        return SHORT_WAIT_MS
    return LONG_WAIT_MS
