"""Refuse requests with a prompt part that crashes model servers."""

import random
from collections.abc import Callable, Set
from dataclasses import dataclass

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.call import Call
from marjoramfall.gateway.crash_evidence import CrashEvidence
from marjoramfall.gateway.crash_report import (
    CrashedRequest,
    CrashReport,
    EvidenceReport,
)
from marjoramfall.gateway.crashing_parts import CrashingPart
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.outcome import GatewayFailureError

# How long after the last crash an entry tries a part again with one request. The
# entries draw different times, so that the first one tries for all.
TRIAL_INTERVAL_MS = 120_000.0
MAX_TRIAL_DELAY_FACTOR = 2.0
# New evidence is sent more than once, as datagrams may be lost.
REPORTS_PER_CHANGE = 3
UNAVAILABLE = 503
BAD_GATEWAY = 502


@dataclass(frozen=True, slots=True)
class Trial:
    """Hold which request tries a quarantined part, and since when."""

    attempt_id: str
    started_ms: float


class PartQuarantine:
    """Decide from the crashes known to all entries which prompt parts to refuse."""

    def __init__(self, clock: Clock, *, notify_peers: Callable[[], None]) -> None:
        self._clock = clock
        self._notify_peers = notify_peers
        self._evidence = CrashEvidence(clock)
        self._crashing_by_id: dict[str, CrashingPart] = {}
        self._trial_by_part: dict[str, Trial] = {}
        self._trial_interval_ms = TRIAL_INTERVAL_MS * random.uniform(
            1, MAX_TRIAL_DELAY_FACTOR
        )
        self._reports_due = 0
        self._part_ids_seen_here: set[str] = set()

    def check(self, call: Call) -> None:
        """Raise `GatewayFailureError` if a part of the prompt is quarantined."""
        if not self._crashing_by_id:
            return
        for part_id in call.fields.shared_part_ids:
            crashing = self._crashing_by_id.get(part_id)
            if crashing is not None and not self._is_trial(call, crashing):
                self._refuse(call, crashing)

    def on_crash(self, call: Call, server: BackendServer) -> None:
        """Record that a server crashed when it had just begun with a request."""
        fields = call.fields
        request = CrashedRequest(fields.shared_part_ids, fields.own_part_id)
        is_new = self._evidence.add_crash(server, request)
        logger.bind(
            request=fields.attempt_id, server=server.server_id, is_new=is_new
        ).warning('server crashed under a request')
        self._part_ids_seen_here.update(fields.shared_part_ids)
        if is_new:
            self._apply_change()

    def on_served(self, call: Call) -> None:
        """Record that the response to a request was complete."""
        part_ids = call.fields.shared_part_ids
        if part_ids and call.first_byte_ms is not None:
            if self._evidence.add_served(part_ids, call.first_byte_ms):
                self._apply_change()

    def merge(self, report: EvidenceReport | None) -> None:
        """Add the evidence of a peer."""
        if report is not None and self._evidence.merge(report):
            self._find_crashing_parts()

    def report(self, *, is_full: bool) -> EvidenceReport | None:
        """Return the evidence for peers, or None if they have it already."""
        if not is_full and not self._reports_due:
            return None
        self._reports_due = max(0, self._reports_due - 1)
        return self._evidence.report(self._crashing_by_id.keys())

    def part_ids(self) -> Set[str]:
        """Return the parts that are refused now."""
        return self._crashing_by_id.keys()

    def part_ids_seen_here(self) -> Set[str]:
        """Return those that crashed a server under a request of this entry."""
        return self._crashing_by_id.keys() & self._part_ids_seen_here

    def crashes_of(self, part_id: str) -> list[CrashReport]:
        """Return the newest crashes at which a part was."""
        return self._evidence.crashes_of(part_id)

    def _apply_change(self) -> None:
        self._reports_due = REPORTS_PER_CHANGE
        self._find_crashing_parts()
        self._notify_peers()

    def _find_crashing_parts(self) -> None:
        previous = self._crashing_by_id
        self._crashing_by_id = self._evidence.find_crashing_parts()
        self._part_ids_seen_here &= self._evidence.suspect_ids
        for part_id, crashing in self._crashing_by_id.items():
            if part_id not in previous:
                _log_quarantine(crashing)
        for part_id in previous.keys() - self._crashing_by_id.keys():
            self._trial_by_part.pop(part_id, None)
            logger.bind(part=part_id).info('prompt part released')

    def _is_trial(self, call: Call, crashing: CrashingPart) -> bool:
        """Return whether the request may try the part again, after a long time."""
        now_ms = self._clock.monotonic_ms()
        trial = self._trial_by_part.get(crashing.part_id)
        if trial is not None and trial.started_ms > crashing.last_crash_ms:
            if trial.attempt_id == call.fields.attempt_id:
                return True
        if now_ms < self._next_trial_ms(crashing):
            return False
        self._trial_by_part[crashing.part_id] = Trial(call.fields.attempt_id, now_ms)
        logger.bind(
            request=call.fields.attempt_id,
            part=crashing.part_id,
            last_crash_age_ms=round(now_ms - crashing.last_crash_ms),
        ).info('quarantined prompt part tried again')
        return True

    def _next_trial_ms(self, crashing: CrashingPart) -> float:
        trial = self._trial_by_part.get(crashing.part_id)
        last_ms = crashing.last_crash_ms
        if trial is not None:
            last_ms = max(last_ms, trial.started_ms)
        return last_ms + self._trial_interval_ms

    def _refuse(self, call: Call, crashing: CrashingPart) -> None:
        now_ms = self._clock.monotonic_ms()
        logger.bind(
            request=call.fields.attempt_id,
            part=crashing.part_id,
            crashes=len(crashing.crashes),
            last_crash_age_ms=round(now_ms - crashing.last_crash_ms),
            runs=call.runs,
        ).warning('request has a quarantined prompt part')
        reason = 'prompt part quarantined'
        if call.runs or call.first_byte_ms is not None:
            raise GatewayFailureError(BAD_GATEWAY, reason)
        # A 503 states that the request did not run.
        raise GatewayFailureError(
            UNAVAILABLE,
            reason,
            retry_after_ms=max(0, self._next_trial_ms(crashing) - now_ms),
        )


def _log_quarantine(crashing: CrashingPart) -> None:
    logger.bind(
        part=crashing.part_id,
        crashes=len(crashing.crashes),
        requests=len(crashing.own_part_ids),
        was_served=crashing.was_served,
    ).warning('prompt part quarantined')
