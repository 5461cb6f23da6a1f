"""Give each service its own retry budget."""

from marjoramfall.clock import Clock
from marjoramfall.request.request_executor import RetryAllowance
from marjoramfall.request.retry_budget import RetryBudget


class ServiceRetryBudgets(RetryAllowance):
    """Hold one retry budget per service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def on_request(self, service_id: str) -> None:
        """Count a first attempt."""
        self._budget(service_id).on_request(self._clock.monotonic_ms())

    def take_retry(self, service_id: str) -> bool:
        """Return whether one more retry is allowed, and count it."""
        return self._budget(service_id).take_retry(self._clock.monotonic_ms())

    def _budget(self, service_id: str) -> RetryBudget:
        return self._budgets_by_service.setdefault(service_id, RetryBudget())
