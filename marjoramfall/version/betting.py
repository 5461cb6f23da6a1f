"""Test rates sequentially by betting, valid at any time of looking."""

import math

# Fractions of the capital that are bet. The large ones find certain failure
# after a few results, the small ones find a failure rate a little over the bound.
BET_FRACTIONS = (0.9, 0.5, 0.1, 0.03)
KEPT_FRACTIONS = tuple(1 - fraction for fraction in BET_FRACTIONS)
CAPITAL_LIMIT = 1e15
MAX_EXPONENT = 100
MIN_CLAIMED_PROBABILITY = 0.01
SHARE_SMOOTHING = 0.02


class BettingTest:
    """Bet against the claim that an event is at most as likely as stated."""

    def __init__(self) -> None:
        self._capitals = [float(0) for _ in BET_FRACTIONS]
        self._count = 0
        self._remaining_weight = float(1)

    def observe(self, *, happened: bool, probability: float) -> None:
        """Settle the bet on one result; the probability is the claimed bound."""
        start_weight = self._next_start_weight()
        if happened:
            gain = 1 / probability
            self._capitals = [
                min(
                    (capital + start_weight) * (kept + (1 - kept) * gain), CAPITAL_LIMIT
                )
                for capital, kept in zip(self._capitals, KEPT_FRACTIONS, strict=True)
            ]
        else:
            self._capitals = [
                (capital + start_weight) * kept
                for capital, kept in zip(self._capitals, KEPT_FRACTIONS, strict=True)
            ]

    def e_value(self, *, pending: int = 0) -> float:
        """Return the e-value, counting pending results as if no event came.

        Failures end sooner than successes, so leaving pending results out
        would overstate the failure rate just after the traffic grew.
        """
        return sum(
            capital * kept**pending
            for capital, kept in zip(self._capitals, KEPT_FRACTIONS, strict=True)
        )

    def _next_start_weight(self) -> float:
        """Return the capital with which each bet starts anew at this result.

        The starts sum up to one, so the total stays an e-process, and a fault
        that begins late needs only logarithmically more evidence.
        """
        self._count += 1
        remaining_weight = 1 / math.log(self._count + math.e)
        start_weight = self._remaining_weight - remaining_weight
        self._remaining_weight = remaining_weight
        return start_weight / len(BET_FRACTIONS)


class RelativeTest:
    """Bet against the claim that an event is no likelier at the new version.

    If it is no likelier, then an event belongs to the new version at most as
    often as a result does. Rates that rise for both versions at the same time
    therefore give no evidence.
    """

    def __init__(self) -> None:
        self._events = BettingTest()
        self._non_events = BettingTest()
        self._new_result_share = float(0)

    def observe(self, *, is_new: bool, happened: bool, share: float) -> None:
        """Take one result; `share` is the share of grants of the new version.

        The share of results lags the share of grants after a step, so each
        bet uses the one of the two that claims less.
        """
        if happened:
            upper = max(self._new_result_share, share, MIN_CLAIMED_PROBABILITY)
            self._events.observe(happened=is_new, probability=min(upper, 1))
        else:
            lower = min(self._new_result_share, share)
            old_share = max(1 - lower, MIN_CLAIMED_PROBABILITY)
            self._non_events.observe(happened=not is_new, probability=old_share)
        self._new_result_share += SHARE_SMOOTHING * (is_new - self._new_result_share)

    def e_value(self) -> float:
        """Return the e-value of the claim's opposite."""
        return (self._events.e_value() + self._non_events.e_value()) / 2


def fault_rate_e_value(clean: int, faulty: int, rate: float) -> float:
    """Return the e-value of a fault rate below `rate` after the counts."""
    fractions = (0.99, 0.5, 0.2)
    total = float(0)
    for fraction in fractions:
        gain = math.log1p(fraction * rate / (1 - rate)) * clean
        loss = math.log1p(-fraction) * faulty
        total += math.exp(min(gain + loss, MAX_EXPONENT))
    return total / len(fractions)
