"""Test that entries follow a store that comes back from an older copy."""

from tests.platform_records import CONFIG, SERVER
from tests.watch_case import WatchCase, wait_until

LOST_CHANGES = 20
UNAVAILABLE = 503


def ready(seq, **changes):
    """Return the registration of a server that serves."""
    return {**SERVER, 'seq': seq, **changes}


def leaving(seq):
    """Return the registration of a server that is about to stop."""
    return {**SERVER, 'seq': seq, 'state': 'draining'}


class TestWatchOfRestoredStore(WatchCase):
    """Changes after the loss are applied, though their revisions are lower."""

    def setUp(self):
        super().setUp()
        self.copy = self.store.copy()
        for version in range(CONFIG['version'] + 1, CONFIG['version'] + LOST_CHANGES):
            self.store.put('op', 'config', {**CONFIG, 'version': version})
        self.version = version
        self.store.put('servers', 'i-2', ready(seq=1))
        self.assertTrue(self.reaches_version(version))
        self.assertTrue(wait_until(lambda: self.is_known('i-2')))

    def is_known(self, server_id):
        """Return whether the server is registered."""
        return any(server.server_id == server_id for server in self.registry.servers)

    def is_leaving(self, server_id):
        """Return whether the server is registered as leaving."""
        return any(
            server.server_id == server_id and server.is_leaving
            for server in self.registry.servers
        )

    def write_again(self):
        """Write the newest configuration and server again, as after a loss."""
        self.store.put('op', 'config', {**CONFIG, 'version': self.version})
        self.store.put('servers', 'i-2', ready(seq=1))

    def test_leaving_after_loss(self):
        """Guards against requests to a server that said after the loss that it leaves.

        The revision of that change is lower than the one known of the server.
        """
        self.store.restore(self.copy)
        self.write_again()
        self.store.put('servers', 'i-2', leaving(seq=9))
        self.assertTrue(wait_until(lambda: self.is_leaving('i-2')))

    def test_peers_hear_of_change(self):
        """Guards against a change after the loss that only the following entry knows.

        Peers fetch what has a higher revision than all that they know.
        """
        known = self.registry.servers_state.as_of
        self.store.restore(self.copy)
        self.write_again()
        self.store.put('servers', 'i-1', leaving(seq=9))
        self.assertTrue(wait_until(lambda: self.is_leaving('i-1')))
        self.assertGreater(self.registry.servers_state.changed, known)

    def test_revisions_given_out_again(self):
        """Guards against changes that are missed as the store has the revision again.

        It does not say that the history is gone, as it has passed the revision
        before this entry reaches it.
        """
        self.store.faults.status = UNAVAILABLE
        self.store.restore(self.copy)
        self.write_again()
        self.store.put('servers', 'i-1', leaving(seq=9))
        for key in range(2 * LOST_CHANGES):
            self.store.put('other', str(key), {})
        self.store.faults.status = 0
        self.assertTrue(wait_until(lambda: self.is_leaving('i-1')))
