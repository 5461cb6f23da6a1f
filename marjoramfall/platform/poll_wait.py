"""Choose how long a long poll of the store may wait for a change."""

import random

# A long poll that the store swallowed in an outage is noticed only by its end,
# which has to come before changes are due again.
SHORT_WAIT_MS = 2000
# Below the store's own limit of 30 s. Every call has its price.
LONG_WAIT_MS = 15_000
# So many entries notice early in the mean, and the others hear it from them.
SHORT_POLL_ENTRIES = 10


def choose_wait_ms(entry_count: int) -> int:
    """Return the wait of the next poll in a system of so many entries."""
    if random.random() * entry_count < SHORT_POLL_ENTRIES:
        return SHORT_WAIT_MS
    return LONG_WAIT_MS
