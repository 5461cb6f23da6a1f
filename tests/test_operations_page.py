"""Test that the page for operators covers the product."""

import importlib
import pkgutil
import re
import tempfile
import unittest
from collections import Counter
from pathlib import Path

import marjoramfall
from marjoramfall.clock import PausedClock
from marjoramfall.errors import MarjoramfallError
from marjoramfall.process.entry import EntryProcess
from marjoramfall.settings.loader import load_settings

PAGE = Path(__file__).parent.parent.joinpath('docs/OPERATIONS.md').read_text('utf-8')
EXAMPLE = re.search('```yaml\n(# Settings of an entry.+?)```', PAGE, re.DOTALL).group(1)
METRIC = re.compile('^# TYPE (marjoramfall_[a-z_]+)', re.MULTILINE)


def error_classes(base=MarjoramfallError):
    """Return a class and all its subclasses in the package."""
    found = [base]
    for subclass in base.__subclasses__():
        if subclass.__module__.startswith('marjoramfall.'):
            found.extend(error_classes(subclass))
    return found


def load_example():
    """Return the settings of the example on the page."""
    with tempfile.NamedTemporaryFile('w', suffix='.yaml') as stream:
        stream.write(EXAMPLE)
        stream.flush()
        return load_settings(stream.name)


class OperationsPageTest(unittest.TestCase):
    """Cover the completeness of docs/OPERATIONS.md."""

    @classmethod
    def setUpClass(cls):
        """Import the whole package, so that every subclass is known."""
        for module in pkgutil.walk_packages(marjoramfall.__path__, 'marjoramfall.'):
            if not module.name.endswith('__main__'):
                importlib.import_module(module.name)
        cls.classes = error_classes()

    def test_codes_are_on_the_page(self):
        """Guards against an error that operators cannot look up."""
        absent = [kind for kind in self.classes if f'| `{kind.code}` |' not in PAGE]
        self.assertEqual(absent, [])

    def test_rows_match_classes(self):
        """Guards against a wrong status or run state on the page."""
        wrong = [
            kind.code
            for kind in self.classes
            if f'| `{kind.code}` | {kind.http_status} | `{kind.run_state}` |'
            not in PAGE
        ]
        self.assertEqual(wrong, [])

    def test_codes_are_unique(self):
        """Guards against two failures that cannot be told apart."""
        counts = Counter(kind.code for kind in self.classes)
        self.assertEqual([code for code in counts if counts[code] > 1], [])

    def test_classes_have_docstrings(self):
        """Guards against an error whose meaning is not stated."""
        self.assertEqual([kind for kind in self.classes if not kind.__doc__], [])

    def test_metrics_are_on_the_page(self):
        """Guards against a metric without a meaning for operators."""
        process = EntryProcess(load_example(), PausedClock())
        names = METRIC.findall(process.metrics.render('')[0].decode())
        self.assertGreater(len(names), 10)
        absent = [name for name in names if f'| `{name}` |' not in PAGE]
        self.assertEqual(absent, [])
