"""Test requests at an entry that reaches no server while its peers reach them all.

The pattern is a partition between some entries and all backend servers: callers,
the store and the other entries are still connected to them.
"""

from functools import partial
from unittest.mock import patch

from gevent import sleep
from gevent.event import Event

from marjoramfall.gateway.delegation import service_paths
from marjoramfall.gateway.delegation.delegates import MAX_DELEGATIONS
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.peers.digest_builder import DigestBuilder
from marjoramfall.gateway.peers.group_digest import Scope, decode_digest, encode_digest
from marjoramfall.gateway.registry import ServerChange
from tests.delegation_case import (
    SERVER_COUNT,
    DelegationCase,
    begin_stream,
    end_stream,
    stop_all,
)
from tests.gateway_case import answer, start_events
from tests.gateway_fakes import (
    MODEL,
    PLAIN,
    TEAM,
    make_config,
    make_route,
    make_server,
    make_state,
)

NOT_RUN = b'HTTP/1.1 503'
UNKNOWN = b'HTTP/1.1 502'


def crash(peer, _exchange):
    """End the peer while its server works on a request."""
    peer.crash()
    sleep(5)


class TestServedByPeer(DelegationCase):
    """A request whose servers are out of reach is served by a peer."""

    def test_first_try(self):
        """Guards against failing callers of an entry that lost its servers."""
        backend = self.add_peer().add_backend(answer)
        for number in range(5):
            self.assertIn(b'200 OK', self.post(f'a-{number}'))
        self.assertEqual(len(backend.heads), 5)

    def test_headers(self):
        """Guards against headers of entries, or the caller's key, at a server."""
        backend = self.add_peer().add_backend(answer)
        self.ask('/read/1', 'X-Other: kept')
        head = backend.heads[0].lower()
        self.assertIn(b'x-other: kept', head)
        self.assertIn(b'marjoramfall-tenant: kvali', head)
        self.assertNotIn(b'x-delegated', head)
        self.assertNotIn(b'bearer', head)

    def test_body(self):
        """The peer's server gets the body, and the caller the whole answer."""
        received = []
        peer = self.add_peer()
        peer.add_backend(
            lambda exchange: received.append(exchange.body) or answer(exchange, b'done')
        )
        self.assertTrue(self.post().endswith(b'done'))
        self.assertEqual(received, [b'sum'])

    def test_no_more_tries(self):
        """Guards against requests that each wait for servers out of reach."""
        self.add_peer().add_backend(answer)
        for _ in range(3):
            self.ask('/read/1')
        self.assertTrue(self.fleet.paths.is_lost(PLAIN))
        opened = self.pool.opened_count
        for _ in range(5):
            self.ask('/read/1')
        self.assertLessEqual(self.pool.opened_count, opened + 1)

    def test_limit_counted_once(self):
        """Guards against a team charged for one request at two entries."""
        peer = self.add_peer()
        peer.add_backend(answer)
        self.post()
        self.assertEqual(self.limits.find(TEAM), peer.limits.find(TEAM))
        self.registry.put_config(make_config(2, team=self.limited_team()), 2)
        peer.registry.put_config(make_config(2, team=self.limited_team()), 2)
        self.post('a-2')
        used = [limit.used for limit in self.limits.uses()]
        self.assertEqual(used, [1])
        self.assertEqual([limit.used for limit in peer.limits.uses()], [])

    def limited_team(self):
        """Return a team with a limit of requests."""
        return TEAM.__class__(
            'kvali', None, 10, 10, counts_tokens=False, plain_tokens=1
        )

    def test_regained(self):
        """Guards against an entry that delegates for ever."""
        self.add_peer().add_backend(answer)
        for _ in range(3):
            self.ask('/read/1')
        own = self.add_backend(answer)
        self.wait_for(lambda: not self.fleet.paths.is_lost(PLAIN))
        self.ask('/read/1')
        self.assertEqual(len(own.heads), 1)

    def test_waiting_request(self):
        """Guards against a request that waits for a slot out of reach."""
        hanging = self.add_backend(lambda exchange: sleep(5), server_id='hanging')
        for _ in range(2):
            self.send('/post/1', method='POST', attempt='a-0')
        self.wait_for(lambda: len(hanging.heads) == 2)
        self.fleet.paths.on_failure(make_server('hanging'))
        backend = self.add_peer().add_backend(answer)
        self.assertIn(b'200 OK', self.post())
        self.assertEqual(len(backend.heads), 1)


class TestRefusals(DelegationCase):
    """A refusal is true whichever entry it comes from."""

    def test_peer_without_path(self):
        """Guards against a request that ends at a peer without a path either."""
        self.add_peer('entry-2').add_backend(answer, service_id=MODEL)
        backend = self.add_peer('entry-3').add_backend(answer)
        for number in range(4):
            self.assertIn(b'200 OK', self.post(f'a-{number}'))
        self.assertEqual(len(backend.heads), 4)

    def test_nobody_has_a_path(self):
        """Guards against a wait for the deadline where no entry reaches a server."""
        for vm in ('entry-2', 'entry-3'):
            self.add_peer(vm)
        response = self.post()
        self.assertTrue(response.startswith(NOT_RUN), response)
        self.assertIn(b'retry-after', response.lower())

    def test_one_hop(self):
        """Guards against a request that is passed from peer to peer."""
        second = self.add_peer('entry-2')
        third = self.add_peer('entry-3')
        third.add_backend(answer)
        for number in range(SERVER_COUNT):
            second.add_unreachable(f'{PLAIN}-{number}', PLAIN)
        second.peers.update(
            make_state(
                'entry-3',
                delegation_address=third.address,
                reached_service_ids=[PLAIN],
            )
        )
        self.peers = self.peers.__class__(
            self.clock, own_vm='entry-1', data_centre='dc-a'
        )
        self.fleet.delegates._peers = self.peers
        self.hear(second)
        self.assertTrue(self.post().startswith(NOT_RUN))

    def test_older_configuration(self):
        """Guards against a peer that does not know the newest routes yet."""
        peer = self.add_peer()
        backend = peer.add_backend(answer)
        self.registry.put_config(make_config(2), 2)
        self.assertTrue(self.post().startswith(NOT_RUN))
        peer.registry.put_config(make_config(2), 2)
        self.assertIn(b'200 OK', self.post('a-2'))
        self.assertEqual(len(backend.heads), 1)

    def test_forged_headers(self):
        """Guards against a caller that claims to be an entry."""
        backend = self.add_peer().add_backend(answer)
        forged = ('X-Delegated-Runs: 9', 'X-Delegated-Config: 99')
        self.assertIn(b'200 OK', self.ask('/read/1', *forged))
        self.assertEqual(len(backend.heads), 1)

    def test_leaving_peer(self):
        """Guards against a request sent to a peer that is about to stop."""
        backend = self.add_peer(is_leaving=True).add_backend(answer)
        self.assertTrue(self.post().startswith(NOT_RUN))
        self.assertEqual(len(backend.heads), 0)


class TestBrokenDelegation(DelegationCase):
    """A request runs at most once, even if an entry ends on the way."""

    def test_peer_crashes(self):
        """Guards against a posting that is sent again, or called not run."""
        peers = [self.add_peer(vm) for vm in ('entry-2', 'entry-3')]
        backends = [peer.add_backend(partial(crash, peer)) for peer in peers]
        response = self.post()
        self.assertTrue(response.startswith(UNKNOWN), response)
        self.assertEqual(sum(len(backend.heads) for backend in backends), 1)

    def test_server_breaks_off(self):
        """Guards against calling a request not run that its server may have run."""
        backend = self.add_peer().add_backend(lambda exchange: False)
        response = self.post()
        self.assertTrue(response.startswith(UNKNOWN), response)
        self.assertEqual(len(backend.heads), 1)

    def test_attempts(self):
        """Guards against more runs than the route allows, over both entries."""
        backend = self.add_peer().add_backend(lambda exchange: False)
        other = self.add_peer('entry-3').add_backend(lambda exchange: False)
        self.ask('/read/1')
        self.assertLessEqual(len(backend.heads) + len(other.heads), MAX_DELEGATIONS)

    def test_caller_leaves(self):
        """Guards against work at a server for a caller that has left."""
        ended = []
        backend = self.add_peer().add_backend(
            lambda exchange: ended.append(exchange.sock.recv(1))
        )
        connection = self.send('/post/1', method='POST')
        self.wait_for(lambda: backend.heads)
        connection.close()
        self.wait_for(lambda: ended == [b''])


class TestDelegatedStreams(DelegationCase):
    """A stream passes two entries event by event."""

    def test_events(self):
        """Guards against events held back on the way."""
        released = Event()
        self.add_peer().add_backend(
            lambda exchange: begin_stream(exchange) or end_stream(exchange, released),
            service_id=MODEL,
        )
        connection = self.send('/review/1')
        self.assertIn(b'data: a', self.receive(connection, b'data: a'))
        released.set()
        self.assertIn(b'data: b', self.receive(connection, b'0\r\n\r\n'))

    def test_resumed_elsewhere(self):
        """Guards against a broken stream where another peer could go on."""
        released = Event()
        released.set()
        peer = self.add_peer()
        peer.add_backend(
            lambda exchange: begin_stream(exchange) or sleep(5), service_id=MODEL
        )
        connection = self.send('/review/1')
        self.receive(connection, b'data: a')
        other = self.add_peer('entry-3').add_backend(
            lambda exchange: start_events(exchange) or end_stream(exchange, released),
            service_id=MODEL,
        )
        peer.crash()
        self.assertIn(b'data: b', self.receive(connection, b'0\r\n\r\n'))
        self.assertIn(b'last-event-id: 1', other.heads[0].lower())

    def test_truncated(self):
        """Guards against a stream that breaks off at the peer and looks whole."""
        self.add_peer().add_backend(
            lambda exchange: begin_stream(exchange) or False, service_id=MODEL
        )
        response = self.receive_all(self.send('/summary/1'))
        self.assertIn(b'data: a', response)
        self.assertFalse(response.endswith(b'0\r\n\r\n'))


class TestWitness(DelegationCase):
    """An entry without a path says nothing of the servers."""

    def test_reports(self):
        """Guards against peers that avoid servers which only this entry misses."""
        self.add_peer().add_backend(answer)
        for _ in range(3):
            self.ask('/read/1')
        self.assertEqual(self.fleet.own_load.unreachable_server_ids(), [])
        self.assertNotIn(PLAIN, self.fleet.paths.reached_service_ids())

    def test_crashes(self):
        """Guards against refusing a request since links were reset under it.

        A partition that resets connections and refuses new ones looks like a crash
        of each server to the entry that it cuts off.
        """
        read = make_route('read', RepeatRule.IDEMPOTENT, timeout_ms=2000)
        self.registry.put_config(make_config(2, routes=(read,)), 2)
        backends = []
        cut_off = partial(stop_all, backends)
        backends.extend(self.add_backend(cut_off) for _ in range(4))
        self.ask('/read/1')
        self.assertIsNone(self.quarantine.report(is_full=True))

    def test_crash_of_one(self):
        """A server that refuses connections while others accept them has crashed."""
        crashing = self.add_backend(
            lambda exchange: crashing.stop() or False, server_id='crashing'
        )
        self.add_backend(answer, service_id=MODEL)
        changes = [
            ServerChange(f'{service_id}-{number}', None, 100)
            for service_id in (PLAIN, MODEL)
            for number in range(SERVER_COUNT)
        ]
        self.registry.apply_changes(changes, 100)
        self.ask('/read/1')
        self.assertIsNotNone(self.quarantine.report(is_full=True))


class TestOffers(DelegationCase):
    """Entries offer to serve requests, also to other groups."""

    def test_quiet_service(self):
        """Guards against no offers for a service that is hardly used."""
        paths = self.fleet.paths
        self.add_backend(answer, server_id='reached')
        self.wait_for(lambda: b'200 OK' in self.ask('/read/1'))
        paths.on_response(make_server('reached'), self.clock.monotonic_ms())
        with patch.object(service_paths, 'RESPONSE_VALID_MS', -1):
            self.assertIn(PLAIN, paths.reached_service_ids())
            paths.on_failure(make_server('reached'))
            self.assertNotIn(PLAIN, paths.reached_service_ids())

    def test_only_server(self):
        """Guards against giving up on the only server, as a peer offers help."""
        changes = [
            ServerChange(f'{PLAIN}-{number}', None, 100)
            for number in range(SERVER_COUNT)
        ]
        self.registry.apply_changes(changes, 100)
        slow = self.add_backend(lambda exchange: sleep(0.4) or answer(exchange))
        self.add_peer().add_backend(answer)
        self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual(len(slow.heads), 1)

    def test_digest(self):
        """Guards against a whole group that finds no entry with a path."""
        builder = DigestBuilder(
            self.clock,
            self.peers,
            self.limits,
            self.fleet._moves,
            self.retry_budgets,
        )
        own = make_state(
            'entry-1', delegation_address='10.0.0.1:7601', reached_service_ids=[MODEL]
        )
        digest = builder.build(Scope.GROUP, own, with_all_limits=False)
        known = decode_digest(encode_digest(digest))
        self.assertEqual(
            [(offer.service_id, offer.vm) for offer in known.offers],
            [(MODEL, 'entry-1')],
        )
