"""Check that each proof's test fails once its mechanism is taken out.

Each case of `proofs/mutations.yaml` changes one place of the product in a
scratch copy of the tree and runs one test there, which has to fail. The
unchanged copy has to pass all of these tests first.
"""

import shutil
import subprocess  # noqa: S404 - runs the tests on the scratch copy
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click
import yaml
from rich.console import Console
from rich.table import Table

ROOT = Path(__file__).resolve().parent.parent
CASES = ROOT / 'proofs' / 'mutations.yaml'
COPIED = ('marjoramfall', 'marjoramfall_standins', 'tests', 'benchmarks')
TEST_TIMEOUT_S = 120


@dataclass(frozen=True, slots=True)
class Mutation:
    """Name a mechanism, how to take it out and the test that must notice."""

    promise: str
    mechanism: str
    file: str
    find: str
    replace: str
    test: str


def load_cases(file: Path) -> list[Mutation]:
    """Return the cases of a YAML file."""
    return [Mutation(**case) for case in yaml.safe_load(file.read_text())]


class ScratchTree:
    """Hold a copy of the tree that may be changed."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        for name in COPIED:
            shutil.copytree(ROOT / name, directory / name)

    def passes(self, *tests: str) -> bool:
        """Return whether the tests pass in the copy."""
        command = [sys.executable, '-m', 'nose2', '-s', 'tests', '-t', '.', *tests]
        ended = subprocess.run(  # noqa: S603 - fixed command
            command,
            cwd=self._directory,
            env={'PYTHONPATH': str(self._directory)},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
        return ended.returncode == 0

    def notices(self, mutation: Mutation) -> bool:
        """Return whether the test fails while the mechanism is taken out."""
        path = self._directory / mutation.file
        original = path.read_text()
        if original.count(mutation.find) != 1:
            raise click.ClickException(f'{mutation.file}: {mutation.find!r} not once')
        path.write_text(original.replace(mutation.find, mutation.replace))
        failed = not self.passes(mutation.test)
        path.write_text(original)
        return failed


@click.command()
@click.option(
    '--only', default='', help='Run the cases whose promise or mechanism has this.'
)
def main(only: str) -> None:
    """Run the cases; exit 1 if some test does not notice."""
    cases = [
        case
        for case in load_cases(CASES)
        if only in case.mechanism or only in case.promise
    ]
    table = Table('promise', 'mechanism taken out', 'test', 'fails without it')
    missed = 0
    with tempfile.TemporaryDirectory() as directory:
        tree = ScratchTree(Path(directory))
        if not tree.passes(*{case.test for case in cases}):
            raise click.ClickException('the tests fail on the unchanged tree')
        for case in cases:
            noticed = tree.notices(case)
            missed += not noticed
            verdict = 'yes' if noticed else 'NO'
            table.add_row(case.promise, case.mechanism, case.test, verdict)
    Console(width=160).print(table)
    sys.exit(min(missed, 1))


if __name__ == '__main__':
    main()
