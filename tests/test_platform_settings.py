"""Test the settings of an entry and their changes while it runs."""

import tempfile
import unittest
from pathlib import Path

from marjoramfall.clock import PausedClock
from marjoramfall.platform.settings import SettingsFaultError, load_settings
from marjoramfall.platform.settings_watch import SettingsWatch
from tests.platform_records import SETTINGS

CHANGED = SETTINGS.replace('budgetSlack = 58', 'budgetSlack = 7')


class TestSettings(unittest.TestCase):
    """Settings are checked as a whole before anything starts."""

    def load(self, text):
        """Load settings from a file with the text."""
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as settings_file:
            settings_file.write(text)
            settings_file.flush()
            return load_settings(settings_file.name)

    def test_whole(self):
        """Unknown fields are ignored and known ones read."""
        settings = self.load(SETTINGS).entry
        self.assertEqual(settings.peer_port, 7600)
        self.assertEqual(settings.bounds.retry_slack, 58)

    def test_all_faults(self):
        """Guards against one fault at a time."""
        broken = SETTINGS.replace('ip =', 'ipx =').replace('[7600,7615]', '"7600"')
        with self.assertRaises(SettingsFaultError) as caught:
            self.load(broken)
        faults = str(caught.exception).splitlines()
        self.assertEqual(len(faults), 2)

    def test_no_file(self):
        """A missing file is a fault."""
        with self.assertRaises(SettingsFaultError):
            load_settings('/nonexistent/settings.toml')


class TestSettingsWatch(unittest.TestCase):
    """Changed bounds are used while the process runs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'settings.toml')
        self.path.write_text(SETTINGS)
        self.used = []
        self.watch = SettingsWatch(
            str(self.path),
            load_settings(str(self.path)),
            PausedClock(),
            on_bounds=self.used.append,
        )

    def test_signal(self):
        """Guards against changes that wait for the next start."""
        self.path.write_text(CHANGED)
        self.watch.reload()
        self.assertEqual([bounds.retry_slack for bounds in self.used], [7])

    def test_no_signal(self):
        """Guards against missing a change that no signal announces."""
        self.watch.check()
        self.path.write_text(CHANGED)
        self.watch.check()
        self.watch.check()
        self.assertEqual(len(self.used), 1)

    def test_faulty_file(self):
        """A file that is half written changes nothing, the whole one does."""
        self.path.write_text(CHANGED[: len(CHANGED) // 2])
        self.watch.check()
        self.path.unlink()
        self.watch.check()
        self.assertEqual(self.used, [])
        self.path.write_text(CHANGED)
        self.watch.check()
        self.assertEqual(len(self.used), 1)

    def test_address(self):
        """Guards against bounds being passed over beside a changed address."""
        self.path.write_text(CHANGED.replace('7600', '7700'))
        self.watch.reload()
        self.assertEqual(len(self.used), 1)
