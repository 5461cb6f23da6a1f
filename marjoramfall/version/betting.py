"""Test rates sequentially by betting.

The e-values are anytime-valid: they may be checked after every result.
"""

import math

# Fractions of the capital that are bet. Large fractions detect a version that
# always fails after a few results, small ones a rate slightly over the bound.
BET_FRACTIONS = (0.9, 0.5, 0.1, 0.03)
KEPT_FRACTIONS = tuple(1 - fraction for fraction in BET_FRACTIONS)
CAPITAL_LIMIT = 1e15
MAX_EXPONENT = 100  # keeps math.exp within the range of a float
MIN_CLAIMED_PROBABILITY = 0.01
SHARE_SMOOTHING = 0.02


class BettingTest:
    """Test the claim that the probability of an event is within a bound.

    Each bet fraction has a capital, which grows if the event happens and shrinks
    otherwise. The sum of the capitals is the e-value.
    """

    def __init__(self) -> None:
        self._capitals = [float(0) for _ in BET_FRACTIONS]
        self._count = 0
        self._remaining_weight = float(1)

    def observe(self, *, happened: bool, probability: float) -> None:
        """Add one result; `probability` is the claimed bound for it."""
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
        """Return the e-value, with pending results counted as non-events.

        Failures end sooner than successes, so leaving out pending results
        would overstate the failure rate just after the traffic increased.
        """
        return sum(
            capital * kept**pending
            for capital, kept in zip(self._capitals, KEPT_FRACTIONS, strict=True)
        )

    def _next_start_weight(self) -> float:
        """Return the capital that each bet fraction gets for a start at this result.

        The weights of all starts add up to at most one, so the total remains
        an e-process. A fault that begins late needs only logarithmically more
        evidence.
        """
        self._count += 1
        remaining_weight = 1 / math.log(self._count + math.e)
        start_weight = self._remaining_weight - remaining_weight
        self._remaining_weight = remaining_weight
        return start_weight / len(BET_FRACTIONS)


class RelativeTest:
    """Test the claim that an event is no more likely with the new version.

    Under this claim, the new version's share of the events is at most its
    share of the results. Rates that rise for both versions at the same time
    therefore give no evidence.
    """

    def __init__(self) -> None:
        self._events = BettingTest()
        self._non_events = BettingTest()
        self._new_result_share = float(0)

    def observe(self, *, is_new: bool, happened: bool, share: float) -> None:
        """Add one result; `share` is the new version's share of the grants.

        After a change of the share, results lag behind grants, so each bet
        uses the more conservative of the two shares.
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
        """Return the e-value against the claim."""
        return (self._events.e_value() + self._non_events.e_value()) / 2


def fault_rate_e_value(clean: int, faulty: int, rate: float) -> float:
    """Return the e-value against a fault rate of `rate` or more."""
    fractions = (0.99, 0.5, 0.2)
    total = float(0)
    for fraction in fractions:
        gain = math.log1p(fraction * rate / (1 - rate)) * clean
        loss = math.log1p(-fraction) * faulty
        total += math.exp(min(gain + loss, MAX_EXPONENT))
    return total / len(fractions)
