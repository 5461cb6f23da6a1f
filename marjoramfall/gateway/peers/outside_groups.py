"""Keep what this entry knows of the groups of entries other than its own."""

from collections.abc import Iterator
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.peers.group_digest import GroupDigest, Scope

DIGEST_INTERVAL_MS = 250.0
# Lengthens the interval with the number of groups, so that the traffic of a relay
# stays bounded.
DIGEST_INTERVAL_MS_PER_GROUP = 12.0
# A relay that was silent for this long may have been replaced.
RELAY_SILENCE_MS = 900.0
# Short, as a group without a sum of the others takes all limits for its own.
SILENCE_TIMEOUT_MS = 700.0
# Groups that are cut off may still use their share of the limits.
EXPIRY_MS = 20_000.0
# Names the sum of all other groups, as received from the relay of the own group.
OTHER_GROUPS = 'other groups'


@dataclass(slots=True)
class ReceivedDigest:
    """Hold a digest and its arrival in monotonic milliseconds."""

    digest: GroupDigest
    received_ms: float


def source_of(digest: GroupDigest) -> str:
    """Return the name under which the load of a digest is counted."""
    return digest.group if digest.scope == Scope.GROUP else OTHER_GROUPS


class OutsideGroups:
    """Keep the newest digest of each group, or the sum of them from the relay."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received_by_source: dict[str, ReceivedDigest] = {}

    @property
    def is_known(self) -> bool:
        """Return whether any digest was received."""
        return bool(self._received_by_source)

    def update(self, digest: GroupDigest) -> bool:
        """Store a digest; return False if a newer one of its sender is known."""
        source = source_of(digest)
        known = self._received_by_source.get(source)
        if known is not None and _is_outdated(digest, known.digest):
            return False
        now_ms = self._clock.monotonic_ms()
        self._received_by_source[source] = ReceivedDigest(digest, now_ms)
        return True

    def forget_role(self, *, is_relay: bool) -> None:
        """Drop the digests that an entry of this role does not receive."""
        for source in tuple(self._received_by_source):
            if (source == OTHER_GROUPS) == is_relay:
                self._received_by_source.pop(source)

    def live(self) -> Iterator[ReceivedDigest]:
        """Yield the digests received within the silence timeout of their source."""
        now_ms = self._clock.monotonic_ms()
        for received in self._received_by_source.values():
            is_group = received.digest.scope == Scope.GROUP
            timeout_ms = RELAY_SILENCE_MS if is_group else SILENCE_TIMEOUT_MS
            if now_ms - received.received_ms <= timeout_ms:
                yield received

    @property
    def is_live(self) -> bool:
        """Return whether any source was heard within its silence timeout."""
        return next(self.live(), None) is not None

    def live_sources(self) -> set[str]:
        """Return the names of the sources heard within the silence timeout."""
        return {source_of(received.digest) for received in self.live()}

    def relay_address(self, group: str) -> str | None:
        """Return the address of the relay of a group, None unless it was heard."""
        received = self._received_by_source.get(group)
        if received is None:
            return None
        silent_ms = self._clock.monotonic_ms() - received.received_ms
        return received.digest.address if silent_ms < RELAY_SILENCE_MS else None

    def entry_count(self) -> int:
        """Return the number of entries in other groups heard before they expire."""
        return sum(received.digest.entry_count for received in self._unexpired())

    def silent_count(self) -> int:
        """Return how many of these entries were not heard lately."""
        live = self.live_sources()
        return sum(
            received.digest.silent_count
            if source_of(received.digest) in live
            else received.digest.entry_count
            for received in self._unexpired()
        )

    def _unexpired(self) -> list[ReceivedDigest]:
        oldest_ms = self._clock.monotonic_ms() - EXPIRY_MS
        return [
            received
            for received in self._received_by_source.values()
            if received.received_ms >= oldest_ms
        ]


def digest_interval_ms(group_count: int) -> float:
    """Return the interval between two digests to the same receiver."""
    return max(DIGEST_INTERVAL_MS, DIGEST_INTERVAL_MS_PER_GROUP * group_count)


def _is_outdated(digest: GroupDigest, known: GroupDigest) -> bool:
    is_same_sender = (digest.vm, digest.incarnation) == (known.vm, known.incarnation)
    return is_same_sender and digest.sequence <= known.sequence
