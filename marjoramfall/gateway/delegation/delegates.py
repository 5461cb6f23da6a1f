"""Choose the peer that serves a request whose servers this entry can't reach."""

import random
from collections.abc import Iterator

from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.delegation.offers import DelegateOffer
from marjoramfall.gateway.delegation.service_paths import ServicePaths
from marjoramfall.gateway.homes import Homes
from marjoramfall.gateway.peers.peer_state import PeerState
from marjoramfall.gateway.peers.peer_table import PeerTable

# A request that could not be sent to so many servers goes to a peer, even if the
# path to the service does not count as lost yet.
MAX_UNREACHED_SERVERS = 2
MAX_DELEGATIONS = 3
# Fewer peers of the group would be overloaded by the requests of all others.
MIN_GROUP_OFFERS = 3


class Delegates:
    """Know the peers that reach the services, and spread requests over them."""

    def __init__(self, peers: PeerTable, paths: ServicePaths) -> None:
        self._peers = peers
        self._paths = paths
        self.homes = Homes({}, data_centre='')

    def choose(self, call: Call) -> DelegateOffer | None:
        """Return the peer to send a request to, None to serve it here."""
        has_path = (
            not self._paths.is_lost(call.service_id)
            and call.unreached_servers < MAX_UNREACHED_SERVERS
        )
        if has_path:
            return None
        offers = self._open_offers(call)
        return random.choice(offers) if offers else None

    def is_live(self, vm: str) -> bool:
        """Return whether a peer was heard lately, or is of another group."""
        if not self._peers.groups.has_member(vm):
            return True
        return any(peer.state.vm == vm for peer in self._peers.live_peers())

    def _open_offers(self, call: Call) -> list[DelegateOffer]:
        if call.is_delegated or len(call.tried_delegates) >= MAX_DELEGATIONS:
            return []
        untried = [
            offer
            for offer in self._offers(call.service_id)
            if offer.vm not in call.tried_delegates
        ]
        return self._offers_at_home(call, untried) if call.home_regions else untried

    def _offers_at_home(
        self, call: Call, offers: list[DelegateOffer]
    ) -> list[DelegateOffer]:
        """Return the offers of peers that may hold the body of the request.

        Those in the region of this entry may, as the caller is connected here; they
        help if none at home is left.
        """
        at_home: list[DelegateOffer] = []
        near: list[DelegateOffer] = []
        for offer in offers:
            member = self._peers.member_by_vm.get(offer.vm)
            if member is None:
                continue
            if self.homes.is_in(member.data_centre, call.home_regions):
                at_home.append(offer)
            elif self.homes.is_near(member.data_centre):
                near.append(offer)
        return at_home or near

    def _offers(self, service_id: str) -> list[DelegateOffer]:
        """Return the peers of the group that reach the service.

        Those of other groups help where few are left.
        """
        offers = list(self._group_offers(service_id))
        if len(offers) < MIN_GROUP_OFFERS:
            offers.extend(self._outside_offers(service_id))
        return offers

    def _outside_offers(self, service_id: str) -> Iterator[DelegateOffer]:
        for received in self._peers.outside.live():
            for offer in received.digest.offers:
                if offer.service_id == service_id:
                    yield offer

    def _group_offers(self, service_id: str) -> Iterator[DelegateOffer]:
        for peer in self._peers.live_peers():
            for offer in offers_of(peer.state):
                if offer.service_id == service_id:
                    yield offer


def offers_of(state: PeerState) -> list[DelegateOffer]:
    """Return the services that an entry offers to reach for others."""
    if not state.delegation_address or state.is_leaving:
        return []
    return [
        DelegateOffer(service_id, state.vm, state.delegation_address)
        for service_id in state.reached_service_ids
    ]
