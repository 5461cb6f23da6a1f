"""Sum up what an entry knows of its group, or of all others, in a digest."""

from collections.abc import Callable, Iterable, Iterator, Mapping

from marjoramfall.clock import Clock
from marjoramfall.gateway.delegation.delegates import offers_of
from marjoramfall.gateway.delegation.offers import DelegateOffer, draw_offers
from marjoramfall.gateway.peers.digest_speeds import DigestSpeeds
from marjoramfall.gateway.peers.group_digest import (
    DIGEST_FORM,
    GroupDigest,
    Scope,
    aged,
    first_waiting,
    sum_uses,
    unreachable_servers,
)
from marjoramfall.gateway.peers.outside_groups import source_of
from marjoramfall.gateway.peers.peer_state import (
    DigestSpeed,
    PeerState,
    WaitingCall,
)
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.servers.retry_budgets import RetryBudgets
from marjoramfall.gateway.servers.server_speeds import Speed
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.versions.version_moves import VersionMoves


class DigestBuilder:
    """Build the digests that the relay of a group sends."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTable,
        limits: SharedLimits,
        moves: VersionMoves,
        retry_budgets: RetryBudgets,
        model_speeds: Callable[[Scope], Mapping[str, Speed]] | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._limits = limits
        self._moves = moves
        self._retry_budgets = retry_budgets
        self._model_speeds = model_speeds
        self._speeds_by_scope = {scope: DigestSpeeds(clock) for scope in Scope}

    def build(
        self, scope: Scope, own_state: PeerState, *, with_all_limits: bool
    ) -> GroupDigest:
        """Return a digest under the sequence number of the own state."""
        is_group = scope is Scope.GROUP
        states = self._group_states(own_state) if is_group else self._outside_states()
        waiting = (
            self._group_waiting(own_state) if is_group else self._outside_waiting()
        )
        peers = self._peers
        now_ms = self._clock.monotonic_ms()
        return GroupDigest(
            form=DIGEST_FORM,
            scope=scope,
            group=peers.groups.own_group,
            vm=own_state.vm,
            address=own_state.address,
            incarnation=own_state.incarnation,
            uptime_ms=own_state.uptime_ms,
            sequence=own_state.sequence,
            config_version=own_state.config_version,
            config_revision=own_state.config_revision,
            servers_revision=own_state.servers_revision,
            entry_count=self._entry_count(scope),
            silent_count=self._silent_count(scope),
            uses=sum_uses(states),
            waiting=first_waiting(waiting),
            limit_uses=self._limits.digest_uses(scope, with_all_limits=with_all_limits),
            has_all_limits=with_all_limits,
            unreachable_server_ids=unreachable_servers(states),
            moves=self._moves.reports(self._move_sources(scope), with_own=is_group),
            crash_evidence=own_state.crash_evidence,
            server_limits=own_state.server_limits,
            offers=draw_offers(
                _group_offers(states) if is_group else _outside_offers(states)
            ),
            retry_uses=self._retry_budgets.digest_uses(scope, now_ms),
            retry_reporters=self._retry_budgets.digest_reporters(scope, now_ms),
            limit_bases=self._limits.bases(scope, peers.groups.own_group, now_ms),
            speeds=self._speeds(scope) if with_all_limits else [],
        )

    def _speeds(self, scope: Scope) -> list[DigestSpeed]:
        if self._model_speeds is None:
            return []
        return self._speeds_by_scope[scope].take_due(self._model_speeds(scope))

    def _group_states(self, own_state: PeerState) -> list[PeerState]:
        return [own_state, *(peer.state for peer in self._peers.live_peers())]

    def _outside_states(self) -> list[GroupDigest]:
        return [received.digest for received in self._peers.outside.live()]

    def _group_waiting(self, own_state: PeerState) -> Iterable[WaitingCall]:
        now_ms = self._clock.monotonic_ms()
        yield from own_state.waiting
        for peer in self._peers.live_peers():
            yield from aged(peer.state.waiting, now_ms - peer.received_ms)

    def _outside_waiting(self) -> Iterable[WaitingCall]:
        now_ms = self._clock.monotonic_ms()
        for received in self._peers.outside.live():
            yield from aged(received.digest.waiting, now_ms - received.received_ms)

    def _entry_count(self, scope: Scope) -> int:
        if scope is Scope.GROUP:
            return self._peers.group_entry_count()
        return self._peers.outside.entry_count()

    def _silent_count(self, scope: Scope) -> int:
        if scope is Scope.GROUP:
            return self._peers.silent_count()
        return self._peers.outside.silent_count()

    def _move_sources(self, scope: Scope) -> set[str]:
        if scope is Scope.GROUP:
            return {
                vm
                for vm in self._peers.member_by_vm
                if self._peers.groups.has_member(vm)
            }
        return {source_of(digest) for digest in self._outside_states()}


def _group_offers(states: Iterable[PeerState]) -> Iterator[DelegateOffer]:
    for state in states:
        yield from offers_of(state)


def _outside_offers(digests: Iterable[GroupDigest]) -> Iterator[DelegateOffer]:
    for digest in digests:
        yield from digest.offers
