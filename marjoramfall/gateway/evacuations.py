"""Hold which data centres an operator has evacuated."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramfall.clock import Clock
from marjoramfall.gateway.revision import era_of, make_revision

# After this long, an order that a restored store lacks was not written again.
RESTORE_GRACE_MS = 10_000.0
# More than an operator names, wrong names included.
MAX_DATA_CENTRES = 500


@dataclass(frozen=True, slots=True)
class EvacuationNews:
    """State at a revision whether a data centre is evacuated."""

    data_centre: str
    is_evacuated: bool
    revision: int


class Evacuations:
    """Keep the newest news of each data centre, whatever order they arrive in.

    An order of an era before the one in force may be lost from the store, or only
    from the copy it came back from. It holds for `RESTORE_GRACE_MS`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._news_by_data_centre: dict[str, EvacuationNews] = {}
        self._begun_ms_by_data_centre: dict[str, float] = {}
        self._lapse_ms_by_data_centre: dict[str, float] = {}
        # The revision up to which all news are known; 0 before the first read.
        self.as_of = 0

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the data centres that are evacuated."""
        return frozenset(self._begun_ms_by_data_centre)

    @property
    def is_any(self) -> bool:
        """Return whether any data centre is evacuated."""
        return bool(self._begun_ms_by_data_centre)

    def includes(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._begun_ms_by_data_centre

    def age_ms(self, data_centre: str) -> float:
        """Return how long this entry has known of an evacuation; 0 if of none."""
        now_ms = self._clock.monotonic_ms()
        return now_ms - self._begun_ms_by_data_centre.get(data_centre, now_ms)

    def put(self, news: EvacuationNews) -> bool:
        """Apply news unless outdated, and return whether the state has changed."""
        known = self._news_by_data_centre.get(news.data_centre)
        if known is not None and known.revision >= news.revision:
            return False
        self._news_by_data_centre[news.data_centre] = news
        self._lapse_ms_by_data_centre.pop(news.data_centre, None)
        self._forget_oldest()
        was_evacuated = self.includes(news.data_centre)
        if news.is_evacuated:
            now_ms = self._clock.monotonic_ms()
            self._begun_ms_by_data_centre.setdefault(news.data_centre, now_ms)
        else:
            self._begun_ms_by_data_centre.pop(news.data_centre, None)
        return was_evacuated != news.is_evacuated

    def missing(self, listed: Iterable[str], as_of: int) -> list[EvacuationNews]:
        """Return the ends of the orders that a complete read does not list.

        Those of an earlier era are left to lapse.
        """
        absent = self.data_centres.difference(listed)
        return [
            EvacuationNews(data_centre, is_evacuated=False, revision=as_of)
            for data_centre in sorted(absent)
            if self._era(data_centre) == era_of(as_of)
        ]

    def advance(self, revision: int) -> None:
        """Record that all news up to a revision are known."""
        self.as_of = max(self.as_of, revision)
        lapse_ms = self._clock.monotonic_ms() + RESTORE_GRACE_MS
        for data_centre in self._begun_ms_by_data_centre:
            if self._era(data_centre) < era_of(self.as_of):
                self._lapse_ms_by_data_centre.setdefault(data_centre, lapse_ms)

    def lapsed(self) -> list[EvacuationNews]:
        """Return the ends of orders that a restored store does not have.

        Every entry ends them at the same revision, below all of the new era.
        """
        now_ms = self._clock.monotonic_ms()
        revision = make_revision(era_of(self.as_of), 0)
        return [
            EvacuationNews(data_centre, is_evacuated=False, revision=revision)
            for data_centre, lapse_ms in self._lapse_ms_by_data_centre.items()
            if lapse_ms <= now_ms
        ]

    def report(self) -> tuple[EvacuationNews, ...]:
        """Return all news, ends included, for transfer to a peer."""
        return tuple(self._news_by_data_centre.values())

    def _era(self, data_centre: str) -> int:
        return era_of(self._news_by_data_centre[data_centre].revision)

    def _forget_oldest(self) -> None:
        """Forget the oldest end, if there are too many news."""
        if len(self._news_by_data_centre) <= MAX_DATA_CENTRES:
            return
        ended = [
            news for news in self._news_by_data_centre.values() if not news.is_evacuated
        ]
        if ended:
            oldest = min(ended, key=lambda news: news.revision)
            self._news_by_data_centre.pop(oldest.data_centre)
