"""Count the decisions of the dispatchers of an entry."""

from collections.abc import Callable
from types import MappingProxyType

from marjoramfall.model import Configuration
from marjoramfall.process.metrics import Metrics
from marjoramfall.request.events import Action, Expire, Grant, Shed

_DECISION_BY_TYPE = MappingProxyType(
    {Grant: 'granted', Shed: 'shed', Expire: 'expired'}
)


class DecisionCounter:
    """Translate decisions to metrics; tiers of equal rank count as one."""

    def __init__(
        self, metrics: Metrics, configuration: Callable[[], Configuration]
    ) -> None:
        self._metrics = metrics
        self._configuration = configuration

    def count(self, group_id: str, action: Action) -> None:
        """Count a grant, a shed or an expiry."""
        self._metrics.count_decision(
            _DECISION_BY_TYPE[type(action)],
            group_id=group_id,
            tier_id=self._tier_id(action.tier_rank),
        )

    def _tier_id(self, rank: int | None) -> str:
        tiers = self._configuration().tiers_by_id.values()
        return next((tier.tier_id for tier in tiers if tier.rank == rank), '')
