"""Track unanswered probes of this entry and those made for other members."""

from dataclasses import dataclass

from marjoramfall.process.membership.member import MembershipSettings


@dataclass(slots=True)
class Probe:
    """Hold one unanswered probe; the incarnation is empty if unknown."""

    number: int
    incarnation: str
    address: str
    sent_ms: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """Hold an indirect probe that another member, the requester, asked for.

    `requester_probe` is the number of the requester's own probe of the target.
    """

    requester_address: str
    requester_probe: int
    target_incarnation: str
    sent_ms: float


class ProbeTable:
    """Number probes and find those that need helpers or have failed."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._last_number = 0
        self._unanswered: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def start(self, incarnation: str, address: str, now_ms: float) -> int:
        """Record a new probe and return its number."""
        self._last_number += 1
        probe = Probe(self._last_number, incarnation, address, now_ms)
        self._unanswered[self._last_number] = probe
        return self._last_number

    def start_relay(self, relay: Relay) -> int:
        """Record a probe on behalf of another member and return its number."""
        self._last_number += 1
        self._relays[self._last_number] = relay
        return self._last_number

    def pop(self, number: int) -> Probe | None:
        """Remove and return an answered probe."""
        return self._unanswered.pop(number, None)

    def pop_relay(self, number: int) -> Relay | None:
        """Remove and return an answered probe made for another member."""
        return self._relays.pop(number, None)

    def is_probing(self, address: str) -> bool:
        """Return whether a probe of the address is unanswered."""
        return any(probe.address == address for probe in self._unanswered.values())

    def mark_late(self, now_ms: float) -> list[Probe]:
        """Return the probes unanswered for `reply_timeout_ms`, each only once."""
        sent_before_ms = now_ms - self._settings.reply_timeout_ms
        late = [
            probe
            for probe in self._unanswered.values()
            if probe.sent_ms <= sent_before_ms and not probe.indirect_requested
        ]
        for probe in late:
            probe.indirect_requested = True
        return late

    def pop_failed(self, now_ms: float) -> list[Probe]:
        """Remove and return probes not answered within `period_ms`."""
        sent_before_ms = now_ms - self._settings.period_ms
        failed = [
            probe
            for probe in self._unanswered.values()
            if probe.sent_ms <= sent_before_ms
        ]
        for probe in failed:
            self._unanswered.pop(probe.number)
        for number, relay in list(self._relays.items()):
            if relay.sent_ms <= sent_before_ms:
                self._relays.pop(number)
        return failed

    def clear(self) -> None:
        """Forget all probes, as their answers may have been missed."""
        self._unanswered.clear()
        self._relays.clear()
