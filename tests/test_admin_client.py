import socket
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from gevent.pywsgi import WSGIServer

from marjoramfall.borders.admin_client import admin_group
from tests.admin_fakes import TOKEN, FakeBackend, make_service

ENTITIES = """
tiers: [{tier_id: gold, rank: 0, deadline_ms: 5000}]
teams: [{team_id: crew, tier_id: gold, key: secret}]
services:
- {service_id: s, kind: plain, delivery: run_once, version_id: v1}
versions: [{version_id: v1, service_id: s}, {version_id: v2, service_id: s}]
backend_servers:
- {server_id: e1, address: '10.0.0.1:80', data_centre: a, version_id: v1}
"""


class AdminGroupTest(unittest.TestCase):
    """Check the operator commands against a service on the loopback."""

    def setUp(self):
        self.backend = FakeBackend()
        service = make_service(self.backend)
        self.server = WSGIServer(('127.0.0.1', 0), service, log=None)
        self.server.start()
        self.server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.addCleanup(self.server.stop, 0)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'entities.yaml'

    def run_command(self, *arguments, token=TOKEN):
        address = f'127.0.0.1:{self.server.server_port}'
        command = ('--address', address, '--token', token, *arguments)
        return CliRunner().invoke(admin_group, command)

    def apply(self, text):
        self.file.write_text(text)
        return self.run_command('apply', str(self.file))

    def test_apply(self):
        """Guards against a second run that changes versions in service."""
        self.assertIn('5 changes', self.apply(ENTITIES).output)
        self.assertIn('0 changes', self.apply(ENTITIES).output)
        configuration = self.backend.configuration()
        self.assertEqual(configuration.versions_by_id['v1'].state, 'active')
        self.assertNotIn('secret', str(configuration.teams_by_id))
        switched = self.run_command('services', 'switch', 's', '--to', 'v2')
        self.assertEqual(switched.exit_code, 0, switched.output)
        self.assertIn('0 changes', self.apply(ENTITIES).output)

    def test_apply_faults(self):
        """Guards against a file of which only the valid part is applied."""
        applied = self.apply(f'{ENTITIES}colour: red\n')
        self.assertEqual(applied.exit_code, 2)
        self.assertIn('unknown_key', applied.output)
        applied = self.apply(ENTITIES.replace('key: secret', 'key_sha256: secret'))
        self.assertEqual(applied.exit_code, 2)
        self.assertNotIn("'secret'", applied.output)
        self.assertEqual(self.backend.state.revision, 0)

    def test_exit_statuses(self):
        """Guards against failures that a script cannot tell apart."""
        self.apply(ENTITIES)
        put = ('tiers', 'put', 'tin', '--rank', '1', '--deadline', '2s')
        cases = (
            (2, ('tiers', 'put', 'tin', '--rank', '0', '--deadline', '2s')),
            (3, ('tiers', 'delete', 'gold')),
            (3, (*put, '--base-revision', '2')),
            (4, ('move', 'cancel', 'm')),
        )
        for status, arguments in cases:
            with self.subTest(arguments=arguments):
                self.assertEqual(self.run_command(*arguments).exit_code, status)
        self.assertEqual(self.run_command('status', token='b').exit_code, 5)
        self.backend.tables.faults.outage = True
        self.assertEqual(self.run_command(*put).exit_code, 6)
        self.backend.tables.faults.outage = False
        self.backend.tables.faults.lost_requests = 100
        self.assertEqual(self.run_command(*put).exit_code, 7)
        self.server.stop(0)
        self.assertEqual(self.run_command('status').exit_code, 6)

    def test_help(self):
        """Guards against help that needs an entry."""
        runner = CliRunner()
        shown = runner.invoke(admin_group, ['move', 'start', '--help'])
        self.assertIn('--within', shown.output)
        self.assertEqual(runner.invoke(admin_group, ['status']).exit_code, 2)
