"""Refuse requests that crash backend servers, by themselves or a prompt part."""

import random
from collections.abc import Callable, Set
from dataclasses import dataclass

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.crashes.crash_causes import CrashCause
from marjoramfall.gateway.crashes.crash_evidence import CrashEvidence
from marjoramfall.gateway.crashes.crash_report import (
    CrashedRequest,
    CrashReport,
    EvidenceReport,
)
from marjoramfall.gateway.model import BackendServer
from marjoramfall.gateway.servers.outcome import GatewayFailureError

# How long after the last crash an entry tries a cause again with one request. The
# entries draw different times, so that the first one tries for all.
TRIAL_INTERVAL_MS = 120_000.0
MAX_TRIAL_DELAY_FACTOR = 2.0
# New evidence is sent more than once, as datagrams may be lost.
REPORTS_PER_CHANGE = 3
UNAVAILABLE = 503
BAD_GATEWAY = 502


@dataclass(frozen=True, slots=True)
class Trial:
    """Hold which request tries what is quarantined, and since when."""

    attempt_id: str
    started_ms: float


class CrashQuarantine:
    """Decide from the crashes known to all entries which requests to refuse."""

    def __init__(self, clock: Clock, *, notify_peers: Callable[[], None]) -> None:
        self._clock = clock
        self._notify_peers = notify_peers
        self.on_new_cause: Callable[[], None] = lambda: None
        self._evidence = CrashEvidence(clock)
        self._cause_by_id: dict[str, CrashCause] = {}
        self._trial_by_cause: dict[str, Trial] = {}
        self._trial_interval_ms = TRIAL_INTERVAL_MS * random.uniform(
            1, MAX_TRIAL_DELAY_FACTOR
        )
        self._reports_due = 0
        self._cause_ids_seen_here: set[str] = set()

    def check(self, call: Call) -> None:
        """Raise `GatewayFailureError` if the request or a part is quarantined."""
        if not self._cause_by_id:
            return
        for cause_id in _cause_ids(call):
            cause = self._cause_by_id.get(cause_id)
            if cause is not None and not self._is_trial(call, cause):
                self._refuse(call, cause)

    def is_refused(self, call: Call) -> bool:
        """Return whether the request or a part is quarantined and not tried again."""
        if not self._cause_by_id:
            return False
        causes = map(self._cause_by_id.get, _cause_ids(call))
        return any(cause and not self._is_trying(call, cause) for cause in causes)

    def on_crash(self, call: Call, server: BackendServer) -> None:
        """Record that a server crashed when it had just begun with a request."""
        fields = call.fields
        request = CrashedRequest(
            fields.shared_part_ids, fields.own_part_id, call.fingerprint
        )
        is_new = self._evidence.add_crash(server, request)
        logger.bind(
            request=fields.attempt_id,
            server=server.server_id,
            fingerprint=call.fingerprint,
            is_new=is_new,
        ).warning('server crashed under a request')
        self._cause_ids_seen_here.update(_cause_ids(call))
        if is_new:
            self._apply_change()

    def on_served(self, call: Call) -> None:
        """Record that the response to a request was complete."""
        if call.first_byte_ms is None:
            return
        cause_ids = call.fields.shared_part_ids
        suspect_ids = self._evidence.suspect_ids
        # Whole requests rarely come again; few are worth keeping.
        if suspect_ids and call.fingerprint in suspect_ids:
            cause_ids = _cause_ids(call)
        if cause_ids and self._evidence.add_served(cause_ids, call.first_byte_ms):
            self._apply_change()

    def merge(self, report: EvidenceReport | None) -> None:
        """Add the evidence of a peer."""
        if report is not None and self._evidence.merge(report):
            self._find_causes()

    def report(self, *, is_full: bool) -> EvidenceReport | None:
        """Return the evidence for peers, or None if they have it already."""
        if not is_full and not self._reports_due:
            return None
        self._reports_due = max(0, self._reports_due - 1)
        return self._evidence.report(self._cause_by_id.keys())

    def cause_ids(self) -> Set[str]:
        """Return the parts and requests that are refused now."""
        return self._cause_by_id.keys()

    def cause_ids_seen_here(self) -> Set[str]:
        """Return those that crashed a server under a request of this entry."""
        return self._cause_by_id.keys() & self._cause_ids_seen_here

    def crashes_of(self, cause_id: str) -> list[CrashReport]:
        """Return the newest crashes at which a part or request was."""
        return self._evidence.crashes_of(cause_id)

    def _apply_change(self) -> None:
        self._reports_due = REPORTS_PER_CHANGE
        self._find_causes()
        self._notify_peers()

    def _find_causes(self) -> None:
        previous = self._cause_by_id
        self._cause_by_id = self._evidence.find_causes(previous.keys())
        self._cause_ids_seen_here &= self._evidence.suspect_ids
        new_ids = self._cause_by_id.keys() - previous.keys()
        for cause_id in new_ids:
            _log_quarantine(self._cause_by_id[cause_id])
        if new_ids:
            self.on_new_cause()
        for cause_id in previous.keys() - self._cause_by_id.keys():
            self._trial_by_cause.pop(cause_id, None)
            logger.bind(cause=cause_id).info('cause of crashes released')

    def _is_trying(self, call: Call, cause: CrashCause) -> bool:
        trial = self._trial_by_cause.get(cause.cause_id)
        if trial is None or trial.started_ms <= cause.last_crash_ms:
            return False
        return trial.attempt_id == call.fields.attempt_id

    def _is_trial(self, call: Call, cause: CrashCause) -> bool:
        """Return whether the request may be tried again, after a long time."""
        if self._is_trying(call, cause):
            return True
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._next_trial_ms(cause):
            return False
        self._trial_by_cause[cause.cause_id] = Trial(call.fields.attempt_id, now_ms)
        logger.bind(
            request=call.fields.attempt_id,
            cause=cause.cause_id,
            is_request=cause.is_request,
            last_crash_age_ms=round(now_ms - cause.last_crash_ms),
        ).info('quarantined cause of crashes tried again')
        return True

    def _next_trial_ms(self, cause: CrashCause) -> float:
        trial = self._trial_by_cause.get(cause.cause_id)
        last_ms = cause.last_crash_ms
        if trial is not None:
            last_ms = max(last_ms, trial.started_ms)
        return last_ms + self._trial_interval_ms

    def _refuse(self, call: Call, cause: CrashCause) -> None:
        now_ms = self._clock.monotonic_ms()
        logger.bind(
            request=call.fields.attempt_id,
            cause=cause.cause_id,
            is_request=cause.is_request,
            crashes=len(cause.crashes),
            last_crash_age_ms=round(now_ms - cause.last_crash_ms),
            runs=call.runs,
        ).warning('request refused as it crashes servers')
        reason = 'crashes servers'
        if call.runs or call.first_byte_ms is not None:
            raise GatewayFailureError(BAD_GATEWAY, reason)
        # A 503 states that the request did not run.
        raise GatewayFailureError(
            UNAVAILABLE,
            reason,
            retry_after_ms=max(0, self._next_trial_ms(cause) - now_ms),
        )


def _log_quarantine(cause: CrashCause) -> None:
    logger.bind(
        cause=cause.cause_id,
        is_request=cause.is_request,
        crashes=len(cause.crashes),
        requests=len(cause.own_part_ids),
        was_served=cause.was_served,
    ).warning('cause of crashes quarantined')


def _cause_ids(call: Call) -> tuple[str, ...]:
    """Return what may make the request crash a server."""
    return (*call.fields.shared_part_ids, call.fingerprint)
