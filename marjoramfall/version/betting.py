"""Test rates sequentially by betting, valid at any time of looking."""

import math

# Fractions of the capital that are bet. The large ones find certain failure
# after a few results, the small ones find a failure rate a little over the bound.
BET_FRACTIONS = (0.9, 0.5, 0.1, 0.02)
CAPITAL_LIMIT = 1e15
MAX_EXPONENT = 100
MIN_PROBABILITY = 0.01
SHARE_SMOOTHING = 0.02


def restart_weight(count: int) -> float:
    """Return the capital that starts with the result of this index.

    The weights sum up to one, so the total stays an e-process, and a fault that
    begins late needs only logarithmically more evidence than an early one.
    """
    return 1 / math.log(count + math.e) - 1 / math.log(count + 1 + math.e)


class BettingTest:
    """Bet against the claim that an event is at most as likely as stated."""

    def __init__(self) -> None:
        self._capitals = [float(0) for _ in BET_FRACTIONS]
        self._count = 0

    def observe(self, *, happened: bool, probability: float) -> None:
        """Settle the bet on one result; the probability is the claimed bound."""
        start = restart_weight(self._count) / len(BET_FRACTIONS)
        gain = 1 / probability if happened else 0
        self._count += 1
        for index, fraction in enumerate(BET_FRACTIONS):
            factor = 1 - fraction + fraction * gain
            capital = (self._capitals[index] + start) * factor
            self._capitals[index] = min(capital, CAPITAL_LIMIT)

    def evidence(self, *, pending: int = 0) -> float:
        """Return the e-value, counting pending results as if no event came.

        Failures end sooner than successes, so leaving pending results out
        would overstate the failure rate just after the traffic grew.
        """
        return sum(
            capital * (1 - fraction) ** pending
            for capital, fraction in zip(self._capitals, BET_FRACTIONS, strict=True)
        )


class RelativeTest:
    """Bet against the claim that an event is no likelier at the new version.

    If it is no likelier, then an event belongs to the new version at most as
    often as a result does. Rates that rise for both versions at the same time
    therefore give no evidence.
    """

    def __init__(self) -> None:
        self._events = BettingTest()
        self._others = BettingTest()
        self._new_share = float(0)

    def observe(self, *, is_new: bool, happened: bool, share: float) -> None:
        """Take one result; `share` is the share of grants of the new version.

        The share of results lags the share of grants after a step, so each
        bet uses the one of the two that claims less.
        """
        if happened:
            upper = max(self._new_share, share, MIN_PROBABILITY)
            self._events.observe(happened=is_new, probability=min(upper, 1))
        else:
            lower = min(self._new_share, share)
            old_share = max(1 - lower, MIN_PROBABILITY)
            self._others.observe(happened=not is_new, probability=old_share)
        self._new_share += SHARE_SMOOTHING * (is_new - self._new_share)

    def evidence(self) -> float:
        """Return the e-value of the claim's opposite."""
        return (self._events.evidence() + self._others.evidence()) / 2


def clean_evidence(clean: int, faulty: int, rate: float) -> float:
    """Return the e-value of a fault rate below `rate` after the counts."""
    fractions = (0.99, 0.5, 0.2)
    total = float(0)
    for fraction in fractions:
        gain = math.log1p(fraction * rate / (1 - rate)) * clean
        loss = math.log1p(-fraction) * faulty
        total += math.exp(min(gain + loss, MAX_EXPONENT))
    return total / len(fractions)
