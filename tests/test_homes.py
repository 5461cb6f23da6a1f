"""Test that requests stay in the homes of their routes and teams."""

import unittest
from dataclasses import replace

from marjoramfall.gateway.homes import NO_REGION, Homes
from tests.delegation_case import DelegationCase
from tests.gateway_case import REGIONS, GatewayCase, answer
from tests.gateway_fakes import TEAM, make_config, make_route

EAST = frozenset(('east',))
WEST = frozenset(('west',))


def make_homes():
    """Return the homes as seen by an entry in the east."""
    return Homes(REGIONS, data_centre='dc-a')


class TestCombination(unittest.TestCase):
    """Routes and teams name homes, some of which do not exist."""

    def find(self, of_route, of_team):
        """Return the homes of a request."""
        route = make_route('read', home_regions=frozenset(of_route))
        return make_homes().find(route, replace(TEAM, home_regions=frozenset(of_team)))

    def test_both_bind(self):
        """Guards against a home of one that the other does not allow."""
        self.assertEqual(self.find(['east', 'west'], ['west']), WEST)
        self.assertEqual(self.find([], ['west']), WEST)
        self.assertEqual(self.find(['east'], []), EAST)
        self.assertEqual(self.find([], []), frozenset())

    def test_none_in_common(self):
        """Guards against a request without bound, as its homes exclude each other."""
        self.assertEqual(self.find(['east'], ['west']), NO_REGION)

    def test_unknown_region(self):
        """Guards against one wrong name that takes a route out of service."""
        self.assertEqual(self.find(['moon'], []), frozenset())
        self.assertEqual(self.find(['moon', 'east'], []), EAST)
        self.assertEqual(self.find(['moon'], ['west']), WEST)

    def test_unknown_data_centre(self):
        """Guards against a server of unknown region that counts as home."""
        homes = make_homes()
        self.assertFalse(homes.is_in('dc-z', EAST | WEST))
        self.assertFalse(homes.is_near('dc-z'))


def home_config(version, regions):
    """Return a configuration whose only route has homes."""
    route = make_route('read', home_regions=regions)
    return make_config(version, routes=(route,))


class TestServers(GatewayCase):
    """Servers run in both regions."""

    def test_only_at_home(self):
        """Guards against a request that leaves its home for a free server."""
        east = self.add_backend(answer, data_centre='dc-b')
        west = self.add_backend(answer, data_centre='dc-c')
        self.registry.put_config(home_config(2, WEST), 2)
        for _ in range(3):
            self.assertIn(b'200 OK', self.ask('/read/1'))
        self.assertEqual((len(east.heads), len(west.heads)), (0, 3))

    def test_none_at_home(self):
        """Guards against a refusal that does not say that no home is left."""
        backend = self.add_backend(answer, data_centre='dc-b')
        self.registry.put_config(home_config(2, WEST), 2)
        response = self.ask('/read/1')
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertIn(b'no server: no home', response)
        self.assertEqual(backend.heads, [])


class TestDelegation(DelegationCase):
    """An entry in the east reaches no server and asks peers."""

    def ask_with_peer(self, data_centre):
        """Return the response to a request with a home in the west, and its sends."""
        self.registry.put_config(home_config(2, WEST), 2)
        peer = self.add_peer('entry-2')
        self.peers.member_by_vm.clear()
        self.hear(peer, 'entry-2', data_centre=data_centre)
        peer.registry.put_config(home_config(2, WEST), 2)
        backend = peer.add_backend(answer, data_centre='dc-c')
        for number in range(3):
            self.fleet.paths.on_failure(
                self.fleet.queue('bookings').load_by_id[f'bookings-{number}'].server
            )
        self.ask('/read/1')
        return len(backend.heads)

    def test_peer_at_home(self):
        """Guards against a request that no peer may serve."""
        self.assertEqual(self.ask_with_peer('dc-c'), 1)

    def test_peer_nearby(self):
        """Guards against a peer in the region of the entry that is not asked."""
        self.assertEqual(self.ask_with_peer('dc-b'), 1)

    def test_peer_elsewhere(self):
        """Guards against a body that is sent to a third region."""
        self.assertEqual(self.ask_with_peer('dc-z'), 0)
