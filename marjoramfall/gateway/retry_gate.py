"""Ask the retry budget of a service for a request that failed."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.retry_budget import RetryAsk, RetryDecision
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.servers.service_queue import ServiceQueue

# The time in which the retries of an entry become known to all others; in a large
# system they pass two relays.
REPORT_DELAY_MS = 500.0
LARGE_SYSTEM_REPORT_DELAY_MS = 1000.0


class RetryGate:
    """Count requests and retries, and decide on retries by what all entries use."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTable,
        budgets: RetryBudgets,
        find_queue: Callable[[str], ServiceQueue],
        notify_peers: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._budgets = budgets
        self._find_queue = find_queue
        self._notify_peers = notify_peers

    @property
    def pause_ms(self) -> float:
        """Return how long a request that was refused waits before it asks again."""
        if self._peers.is_large:
            return LARGE_SYSTEM_REPORT_DELAY_MS
        return REPORT_DELAY_MS

    def on_request(self, call: Call) -> None:
        """Count a request for the retry budget of its service."""
        budget = self._budgets.find(call.service_id)
        budget.on_request(self._clock.monotonic_ms())

    def try_retry(
        self, call: Call, *, is_running: bool = False, has_waited: bool = False
    ) -> bool:
        """Count and allow a retry, or return False if the budget is spent.

        `is_running` is set for a request that is at a server yet, `has_waited` for one
        that others know to wait for the budget.
        """
        ask = self._build_ask(call, asking=int(not is_running), has_waited=has_waited)
        return self._decide(call, ask)

    def try_move(self, call: Call) -> bool:
        """Count and allow that a running request moves to another server."""
        ask = self._build_ask(call, asking=0, has_waited=False)
        return self._decide(call, replace(ask, is_move=True))

    @contextmanager
    def waiting(self, call: Call) -> Iterator[None]:
        """Let other entries know of a request that waits for the budget."""
        with self._budgets.find(call.service_id).waiting_request():
            self._notify_peers()
            yield

    def _decide(self, call: Call, ask: RetryAsk) -> bool:
        budget = self._budgets.find(call.service_id)
        decision = budget.decide(self._clock.monotonic_ms(), ask)
        if decision.is_allowed:
            self._notify_peers()
        else:
            _log_refusal(call, ask, decision)
        return decision.is_allowed

    def _build_ask(self, call: Call, *, asking: int, has_waited: bool) -> RetryAsk:
        service_id = call.service_id
        now_ms = self._clock.monotonic_ms()
        loads = self._find_queue(service_id).load_by_id.values()
        others = self._budgets.others_use(service_id, now_ms)
        return RetryAsk(
            # A new relay knows no other groups at first.
            entry_count=max(self._peers.expected_entry_count(), others.entries + 1),
            others=others,
            running=asking + sum(load.running for load in loads),
            own_running=asking + sum(len(load.own_requests) for load in loads),
            delay_ms=self.pause_ms,
            known_share=self._budgets.known_share(now_ms),
            is_begun=call.is_begun_stream,
            has_waited=has_waited,
        )


def _log_refusal(call: Call, ask: RetryAsk, decision: RetryDecision) -> None:
    others = ask.others
    logger.bind(
        request=call.fields.attempt_id,
        service=call.service_id,
        requests=decision.requests - others.requests,
        retries=decision.retries - others.retries,
        known_requests=decision.requests,
        known_retries=decision.retries,
        reporters=others.reporters + 1,
        entry_count=ask.entry_count,
        oldest_report_ms=round(others.oldest_age_ms),
        known_share=round(ask.known_share, 2),
        left=round(decision.left, 1),
        own_contenders=round(decision.contenders.own, 1),
        contenders=round(decision.contenders.known, 1),
        attempts_left=call.attempts_left,
        is_begun=ask.is_begun,
        has_waited=ask.has_waited,
        is_move=ask.is_move,
    ).warning('retry refused: shared retry budget spent')
