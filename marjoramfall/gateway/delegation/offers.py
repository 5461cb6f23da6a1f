"""Define how entries offer to serve requests of entries without a path."""

import random
from collections.abc import Iterable

import msgspec

# Each digest offers this many entries for a service, drawn anew each time, so that
# requests spread over all of them.
MAX_OFFERS_PER_SERVICE = 3


class DelegateOffer(msgspec.Struct, array_like=True, frozen=True):
    """Offer an entry that reaches a service; `address` is `host:port`."""

    service_id: str
    vm: str
    address: str


def draw_offers(offers: Iterable[DelegateOffer]) -> list[DelegateOffer]:
    """Return some offers for each service."""
    shuffled = list(offers)
    random.shuffle(shuffled)
    drawn: list[DelegateOffer] = []
    for offer in shuffled:
        known = sum(other.service_id == offer.service_id for other in drawn)
        if known < MAX_OFFERS_PER_SERVICE:
            drawn.append(offer)
    return drawn
