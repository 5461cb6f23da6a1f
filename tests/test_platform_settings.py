"""Test loading the settings of an entry and reloading them while it runs."""

import tempfile
import unittest
from pathlib import Path

from marjoramfall.clock import PausedClock
from marjoramfall.platform.settings import InvalidSettingsError, load_settings
from marjoramfall.platform.settings_watch import SettingsWatch
from tests.platform_records import SETTINGS

CHANGED = SETTINGS.replace('budgetSlack = 58', 'budgetSlack = 7')


class TestSettings(unittest.TestCase):
    """The whole settings file is validated before the entry starts."""

    def load(self, text):
        """Load settings from a temporary file with this text."""
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as settings_file:
            settings_file.write(text)
            settings_file.flush()
            return load_settings(settings_file.name)

    def test_valid_settings(self):
        """Unknown fields are ignored and known fields are read."""
        settings = self.load(SETTINGS).entry
        self.assertEqual(settings.peer_port, 7600)
        self.assertEqual(settings.bounds.retry_slack, 58)

    def test_reports_every_error(self):
        """Guards against reporting only the first of several invalid fields."""
        broken = SETTINGS.replace('ip =', 'ipx =').replace('[7600,7615]', '"7600"')
        with self.assertRaises(InvalidSettingsError) as caught:
            self.load(broken)
        errors = str(caught.exception).splitlines()
        self.assertEqual(len(errors), 2)

    def test_missing_file(self):
        """A missing file is reported as invalid settings."""
        with self.assertRaises(InvalidSettingsError):
            load_settings('/nonexistent/settings.toml')


class TestSettingsWatch(unittest.TestCase):
    """Changed bounds are applied while the process runs."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, 'settings.toml')
        self.path.write_text(SETTINGS)
        self.applied_bounds = []
        self.watch = SettingsWatch(
            str(self.path),
            load_settings(str(self.path)),
            PausedClock(),
            on_bounds_change=self.applied_bounds.append,
        )

    def test_reload_on_signal(self):
        """Guards against changes that take effect only after a restart."""
        self.path.write_text(CHANGED)
        self.watch.reload()
        self.assertEqual([bounds.retry_slack for bounds in self.applied_bounds], [7])

    def test_change_without_signal(self):
        """Guards against missing a change of the file without a signal."""
        self.watch.reload_if_changed()
        self.path.write_text(CHANGED)
        self.watch.reload_if_changed()
        self.watch.reload_if_changed()
        self.assertEqual(len(self.applied_bounds), 1)

    def test_truncated_file(self):
        """A partly written or missing file changes nothing; the complete file does."""
        self.path.write_text(CHANGED[: len(CHANGED) // 2])
        self.watch.reload_if_changed()
        self.path.unlink()
        self.watch.reload_if_changed()
        self.assertEqual(self.applied_bounds, [])
        self.path.write_text(CHANGED)
        self.watch.reload_if_changed()
        self.assertEqual(len(self.applied_bounds), 1)

    def test_bounds_beside_changed_address(self):
        """Guards against ignoring changed bounds when an address changed as well."""
        self.path.write_text(CHANGED.replace('7600', '7700'))
        self.watch.reload()
        self.assertEqual(len(self.applied_bounds), 1)
