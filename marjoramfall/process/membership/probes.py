"""Track unanswered probes, own ones and those relayed for other members."""

from dataclasses import dataclass

from marjoramfall.process.membership.member import MembershipSettings


@dataclass(slots=True)
class Probe:
    """Hold one unanswered probe; the incarnation is empty if unknown."""

    probe: int
    incarnation: str
    address: str
    sent_ms: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """Hold the requester of an indirect probe and its own probe number."""

    address: str
    probe: int
    target: str
    sent_ms: float


class ProbeTable:
    """Number probes and find those that need helpers or have failed."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._last = 0
        self._waiting: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def start(self, incarnation: str, address: str, now_ms: float) -> int:
        """Record a new probe and return its number."""
        self._last += 1
        probe = Probe(self._last, incarnation, address, now_ms)
        self._waiting[self._last] = probe
        return self._last

    def relay(self, relay: Relay) -> int:
        """Record a probe on behalf of another member and return its number."""
        self._last += 1
        self._relays[self._last] = relay
        return self._last

    def pop(self, probe: int) -> Probe | None:
        """Remove and return an answered probe."""
        return self._waiting.pop(probe, None)

    def pop_relay(self, probe: int) -> Relay | None:
        """Remove and return an answered probe made for another member."""
        return self._relays.pop(probe, None)

    def is_probing(self, address: str) -> bool:
        """Return whether a probe of the address is unanswered."""
        return any(probe.address == address for probe in self._waiting.values())

    def late(self, now_ms: float) -> list[Probe]:
        """Return probes past `reply_timeout_ms` without an answer, each once."""
        sent_before_ms = now_ms - self._settings.reply_timeout_ms
        late = [
            probe
            for probe in self._waiting.values()
            if probe.sent_ms <= sent_before_ms and not probe.indirect_requested
        ]
        for probe in late:
            probe.indirect_requested = True
        return late

    def failed(self, now_ms: float) -> list[Probe]:
        """Remove and return probes not answered within `period_ms`."""
        sent_before_ms = now_ms - self._settings.period_ms
        failed = [
            probe for probe in self._waiting.values() if probe.sent_ms <= sent_before_ms
        ]
        for probe in failed:
            self._waiting.pop(probe.probe)
        for number, relay in list(self._relays.items()):
            if relay.sent_ms <= sent_before_ms:
                self._relays.pop(number)
        return failed

    def clear(self) -> None:
        """Forget all probes, as their answers may have been missed."""
        self._waiting.clear()
        self._relays.clear()
