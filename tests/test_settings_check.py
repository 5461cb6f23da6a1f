import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from marjoramfall.settings.check import check_command
from marjoramfall.settings.loader import load_settings

VALID = """vm: entry-1
data_centre: dc-a
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8082
platform:
  tables: 127.0.0.1:9000
  objects: 127.0.0.1:9000
  vms: 127.0.0.1:9000
  timeout: 500ms
"""


class CheckCommandTest(unittest.TestCase):
    """Check that every fault is listed with its place, never a traceback."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'entry.yaml'

    def check(self, raw):
        self.file.write_bytes(raw if isinstance(raw, bytes) else raw.encode())
        return CliRunner().invoke(check_command, [str(self.file)])

    def test_valid(self):
        """Guards against units that are read as plain numbers."""
        self.assertEqual(self.check(VALID).exit_code, 0)
        self.assertEqual(load_settings(self.file).platform.timeout, 500)

    def test_faults(self):
        """Guards against a fault that is missed or shown without its place."""
        cases = (
            (':1: vm: [invalid_format]', VALID.replace('entry-1', 'Entry')),
            (':5: listen.callers: [dup', VALID.replace('operators:', 'callers:')),
            (':6: listen.peer: [unknown_key]', VALID.replace('peers:', 'peer:')),
            (':3: listen.peers: [missing_key]', VALID.replace('peers:', 'peer:')),
            (':6: listen.peers: [repeated_value]', VALID.replace(':8082', ':8081')),
            (':8: platform.tables: [invalid_value]', VALID.replace('9000', '90000')),
            (':11: platform.timeout: [invalid_value]', VALID.replace('ms\n', '\n')),
            (':11: platform.timeout: [out_of_range]', VALID.replace('0ms', '0s')),
            ('[invalid_yaml]', f'{VALID}  : ['),
            ('[invalid_yaml]', '[' * 100_000),
            ('[invalid_yaml]', f'{VALID}---\n{VALID}'),
            ('[alias_not_allowed]', 'a: &x [1]\nb: *x\n'),
            ('[not_utf8]', VALID.encode().replace(b'dc-a', b'dc-\xff')),
            ('[empty_file]', ''),
            ('[wrong_type]', '- 1'),
            ('[file_too_large]', ' ' * 2_000_000),
        )
        for expected, text in cases:
            with self.subTest(expected=expected):
                checked = self.check(text)
                self.assertEqual(checked.exit_code, 2, checked.output)
                self.assertIn(expected, checked.output)

    def test_unreadable(self):
        """Guards against a traceback for a file that cannot be opened."""
        for path in (self.file, self.file.parent):
            checked = CliRunner().invoke(check_command, [str(path)])
            self.assertEqual(checked.exit_code, 2)
            self.assertIn('[unreadable_file]', checked.output)
