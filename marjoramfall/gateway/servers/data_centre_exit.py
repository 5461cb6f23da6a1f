"""Decide which requests of a service leave the data centre, and how many."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from marjoramfall.gateway.servers.demand import Demand
from marjoramfall.gateway.servers.server_load import ServerLoad

# What a plain call must gain before it leaves: shorter times are lost in the
# differences between two calls at the same server.
MIN_GAIN_MS = 10.0
# The same as a part of the time at home, for services whose calls take long.
MIN_GAIN_SHARE = 0.25
# Added to it while all calls stay, so that a short peak sends none away.
START_GAIN_MS = 5.0
# Part of the relative gain by which the share changes at each update. Reports of
# other groups are up to 0.6 s old, so that a larger step would overshoot.
SHARE_STEP = 0.5
# Weight of a new sample in the moving averages of the expected times.
SMOOTHING = 0.4
# A change of the share by as much is logged.
LOGGED_CHANGE = 0.1
# A first response at home is on time if it takes at most this part of the time left,
# as the load that is known may be 0.6 s old.
ON_TIME_SHARE = 0.5
# A server that fails a larger part of its requests keeps none at home.
MAX_ERROR_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class SideTimes:
    """Hold the expected times of a call in this data centre and in the others."""

    home_ms: float
    away_ms: float

    def toward(self, newer: 'SideTimes') -> 'SideTimes':
        """Return the moving averages after newer times."""
        return SideTimes(
            self.home_ms + SMOOTHING * (newer.home_ms - self.home_ms),
            self.away_ms + SMOOTHING * (newer.away_ms - self.away_ms),
        )


class DataCentreExit:
    """Keep requests in the data centre unless their callers gain by leaving it.

    A plain call leaves it with the probability `share`, which makes the expected
    times of both sides equal but for the price of leaving. A request for a model
    leaves it if no free server here serves it on time.
    """

    def __init__(
        self, service_id: str, *, draw: Callable[[], float] = random.random
    ) -> None:
        self._service_id = service_id
        self._draw = draw
        self._times: SideTimes | None = None
        self._logged_share = 0.0
        self.share = 0.0
        # Set where servers of several data centres are known by late reports.
        self.is_active = False

    def update(self, loads: Iterable[ServerLoad], *, is_informed: bool) -> None:
        """Adapt the share of plain calls to what is known of the usable servers.

        Without news of the other groups of entries (`is_informed`) the servers of
        other data centres only look idle, and calls stay.
        """
        home, away = _split(list(loads))
        if not self.is_active or not home or not away or not is_informed:
            self._times = None
            self._set_share(0)
            return
        usual_ms = _mean_call_ms(home)
        newer = SideTimes(_expected_ms(home, usual_ms), _expected_ms(away, usual_ms))
        self._times = newer if self._times is None else self._times.toward(newer)
        self._set_share(min(self._next_share(), _room_share(home, away)))

    def candidates(
        self, free: list[ServerLoad], demand: Demand, now_ms: float
    ) -> list[ServerLoad]:
        """Return the servers with a free slot among which the request chooses."""
        if not self.is_active:
            return free
        home, away = _split(free)
        if not home or not away:
            return free
        if home[0].is_model:
            return [load for load in home if _keeps(load, demand, now_ms)] or free
        side = away if self._draw() < self.share else home
        return [load for load in side if _keeps_call(load, demand, now_ms)] or free

    def _next_share(self) -> float:
        times = self._times
        price_ms = max(MIN_GAIN_MS, MIN_GAIN_SHARE * times.home_ms)
        gain_ms = times.home_ms - times.away_ms - price_ms
        if not self.share and gain_ms < START_GAIN_MS:
            return 0
        return max(0, self.share + SHARE_STEP * gain_ms / times.home_ms)

    def _set_share(self, share: float) -> None:
        previous = self._logged_share
        self.share = share
        is_turn = bool(share) != bool(previous)
        if not is_turn and abs(share - previous) < LOGGED_CHANGE:
            return
        self._logged_share = share
        times = self._times
        logger.bind(
            service=self._service_id,
            share=round(share, 2),
            previous=round(previous, 2),
            home_ms=round(times.home_ms, 1) if times else None,
            away_ms=round(times.away_ms, 1) if times else None,
        ).info('share of calls that leave the data centre changed')


def _split(loads: list[ServerLoad]) -> tuple[list[ServerLoad], list[ServerLoad]]:
    home = [load for load in loads if load.distance.is_local]
    return home, [load for load in loads if not load.distance.is_local]


def _keeps(load: ServerLoad, demand: Demand, now_ms: float) -> bool:
    """Return whether a server at home serves a model request on time.

    One that is late already stays wherever it ends in time.
    """
    if not _keeps_call(load, demand, now_ms):
        return False
    left_ms = demand.target_ms - now_ms
    is_late = left_ms <= 0
    return is_late or load.first_response_ms(demand) <= ON_TIME_SHARE * left_ms


def _keeps_call(load: ServerLoad, demand: Demand, now_ms: float) -> bool:
    is_sound = not load.unreachable_report_count and load.error_share < MAX_ERROR_SHARE
    return is_sound and load.meets_deadline(demand, now_ms)


def _mean_call_ms(loads: list[ServerLoad]) -> float:
    total_ms = sum(load.speeds.event_ms * load.server.slots for load in loads)
    return total_ms / _slots(loads)


def _expected_ms(loads: list[ServerLoad], usual_ms: float) -> float:
    """Return the mean time of a call, weighted by the slots of the servers.

    One that nobody has measured counts with the usual time of a call at home.
    """
    total_ms = sum(
        (load.speeds.event_ms if load.speeds.is_measured else usual_ms)
        * (load.server.slots + load.running)
        for load in loads
    )
    return total_ms / _slots(loads)


def _room_share(home: list[ServerLoad], away: list[ServerLoad]) -> float:
    """Return the share of the calls that the other data centres could hold."""
    return _slots(away) / (_slots(home) + _slots(away))


def _slots(loads: list[ServerLoad]) -> int:
    return sum(load.server.slots for load in loads)
