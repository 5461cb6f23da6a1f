"""Expect of unmeasured servers what the others of their service show."""

from collections.abc import Collection

from marjoramfall.gateway.servers.server_load import ServerLoad
from marjoramfall.gateway.servers.server_speeds import US_PER_MS, SpeedPrior

# Fewer say little of what the others are like.
MIN_KNOWN_SERVERS = 3
LIKELY_QUANTILE = 0.5
CAUTIOUS_QUANTILE = 0.9


def expect_speeds(loads: Collection[ServerLoad]) -> None:
    """Tell the servers of a service that nobody has measured what to expect."""
    unknown = [load for load in loads if not load.speeds.is_known]
    if not unknown:
        return
    prior = speed_prior([load for load in loads if load.speeds.is_known])
    if prior is not None:
        for load in unknown:
            load.speeds.expect(prior)


def speed_prior(known: list[ServerLoad]) -> SpeedPrior | None:
    """Return what measured servers let expect of others, None if they are few."""
    if len(known) < MIN_KNOWN_SERVERS:
        return None
    events_ms = sorted(load.speeds.event_ms for load in known)
    tokens_us = sorted(load.speeds.token_ms * US_PER_MS for load in known)
    return SpeedPrior(
        event_ms=_quantile(events_ms, LIKELY_QUANTILE),
        cautious_event_ms=_quantile(events_ms, CAUTIOUS_QUANTILE),
        token_us=_quantile(tokens_us, LIKELY_QUANTILE),
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
